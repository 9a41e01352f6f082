/**
 * Unit tests of a router that sends requests directly to endpoints: event
 * splitter, tables, endpoint registry and settings.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as direct from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_204, numRuns: 200};

function createKernel(): core.Kernel {
  const kernel = new core.Kernel();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, new core.SystemClock());
  return kernel;
}

function createTables(version: number): direct.Tables {
  const route = {
    host: 'Chat.Example',
    pools: [{name: 'pool', weight: 1}],
    repeat: 'idempotent' as const,
    isResumable: false,
    maxRuns: 1,
    timeoutMs: 100,
    goalMs: 100,
    priority: 1,
    isPublic: false,
  };
  return {
    version,
    routes: [
      {...route, name: 'short', pathPrefix: '/a/'},
      {...route, name: 'long', pathPrefix: '/a/b/'},
    ],
    pools: [],
    customers: [{name: 'acme', keys: ['k1', 'k2']}],
    limits: {maxBodyBytes: 1, idleMs: 1},
  };
}

function createEndpoint(id: string, isDraining = false): direct.Endpoint {
  return {
    id,
    pool: 'pool',
    address: '127.0.0.1',
    port: 1,
    zone: 'z',
    isDraining,
  };
}

describe('the event splitter', () => {
  it('returns only complete events and loses no byte, wherever chunks end', () => {
    const cutPositions = fc.array(fc.nat(400), {maxLength: 12});
    const texts = fc.array(fc.string({unit: 'grapheme-ascii', maxLength: 30}));
    fc.assert(
      fc.property(texts, cutPositions, (eventTexts, positions) => {
        const serialized = eventTexts
          .map(
            (text, index) =>
              `id: ${index + 1}\ndata: ${JSON.stringify(text)}\n\n`,
          )
          .join('');
        const bytes = Buffer.from(serialized);
        const chunkEnds = [...positions, bytes.length].sort((a, b) => a - b);
        const splitter = new direct.EventSplitter();
        const outputChunks: Buffer[] = [];
        let start = 0;
        for (const end of chunkEnds.map(chunkEnd =>
          Math.min(chunkEnd, bytes.length),
        )) {
          const completeEvents = splitter.push(bytes.subarray(start, end));
          expect(
            completeEvents.length === 0 ||
              completeEvents.toString().endsWith('\n\n'),
          ).to.equal(true);
          outputChunks.push(Buffer.from(completeEvents));
          start = end;
        }
        expect(Buffer.concat(outputChunks).toString()).to.equal(serialized);
        const lastId =
          eventTexts.length > 0 ? String(eventTexts.length) : undefined;
        expect(splitter.lastEventId).to.equal(lastId);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('discards an event truncated by a broken connection', () => {
    const splitter = new direct.EventSplitter();
    expect(
      splitter.push(Buffer.from('id: 1\ndata: x\n\nid: 2\nda')).toString(),
    ).to.equal('id: 1\ndata: x\n\n');
    splitter.reset();
    expect(
      splitter.push(Buffer.from('id: 2\ndata: y\n\n')).toString(),
    ).to.equal('id: 2\ndata: y\n\n');
    expect(splitter.lastEventId).to.equal('2');
  });
});

describe('the tables in force', () => {
  it('never return to an older version, whatever the order of arrival', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(50)), versions => {
        const activeTables = new direct.IndexedTables(createKernel());
        let highest = direct.NO_VERSION;
        for (const version of versions) {
          activeTables.activate(createTables(version), 'test');
          highest = Math.max(highest, version);
          expect(activeTables.version()).to.equal(highest);
        }
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('find the route with the longest matching path prefix, and the holder of an API key', () => {
    const activeTables = new direct.IndexedTables(createKernel());
    activeTables.activate(createTables(1), 'test');
    expect(activeTables.findRoute('chat.example', '/a/b/c?d')?.name).to.equal(
      'long',
    );
    expect(activeTables.findRoute('chat.example', '/a/bc')?.name).to.equal(
      'short',
    );
    expect(activeTables.findRoute('chat.example', '/b/')).to.equal(undefined);
    expect(activeTables.findRoute('other', '/a/')).to.equal(undefined);
    expect(activeTables.findKeyHolder('k2')?.name).to.equal('acme');
    expect(activeTables.findKeyHolder('k3')).to.equal(undefined);
  });
});

describe('the endpoint registry', () => {
  it('keeps the newest record of each key, whatever the order of arrival', () => {
    const inputs = fc.array(
      fc.record({key: fc.constantFrom('a', 'b'), isDraining: fc.boolean()}),
      {maxLength: 20},
    );
    const ranks = fc.array(fc.nat(), {minLength: 20, maxLength: 20});
    fc.assert(
      fc.property(inputs, ranks, (inputList, rankList) => {
        const records = inputList.map(({key, isDraining}, offset) => ({
          key,
          offset,
          value: createEndpoint(key, isDraining),
        }));
        const shuffled = [...records].sort(
          (left, right) => rankList[left.offset]! - rankList[right.offset]!,
        );
        const [fromOrdered, fromShuffled] = [records, shuffled].map(
          sequence => {
            const registry = new direct.InMemoryEndpointRegistry(
              createKernel(),
            );
            for (const record of sequence) registry.applyFeedRecord(record, 0);
            return registry
              .readyEndpoints('pool')
              .map(({id}) => id)
              .sort();
          },
        );
        expect(fromShuffled).to.deep.equal(fromOrdered);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('applies newer records from another router, but no older ones', () => {
    const registry = new direct.InMemoryEndpointRegistry(createKernel());
    const drained = createEndpoint('a', true);
    registry.applyFeedRecord(
      {key: 'a', offset: 5, value: createEndpoint('a')},
      0,
    );
    expect(
      registry.applyPeerRecord({key: 'a', offset: 4, value: drained}, 0),
    ).to.equal(false);
    expect(registry.readyEndpoints('pool')).to.have.length(1);
    expect(
      registry.applyPeerRecord({key: 'a', offset: 6, value: drained}, 0),
    ).to.equal(true);
    expect(registry.readyEndpoints('pool')).to.have.length(0);
    expect(registry.recentChanges(0).map(({key}) => key)).to.deep.equal(['a']);
    registry.applyFeedRecord(
      {key: 'a', offset: 7, value: createEndpoint('a')},
      0,
    );
    expect(registry.readyEndpoints('pool')).to.have.length(1);
    registry.applyPeerRecord(
      {key: 'b', offset: 8, value: createEndpoint('b')},
      0,
    );
    expect(registry.readyEndpoints('pool')).to.have.length(2);
    expect(registry.recentChanges(10_000)).to.have.length(0);
  });

  it('spreads many changes over several digests without loss', () => {
    const registry = new direct.InMemoryEndpointRegistry(createKernel());
    registry.advanceTo(1);
    const keys = [...Array(30).keys()].map(index => `e${index}`);
    for (const [index, key] of keys.entries()) {
      registry.applyFeedRecord(
        {key, offset: index + 1, value: createEndpoint(key)},
        0,
      );
    }
    const seenKeys = new Set<string>();
    for (let digest = 0; digest < 3; digest++) {
      for (const {key} of registry.recentChanges(0)) seenKeys.add(key);
    }
    expect([...seenKeys]).to.have.members(keys);
  });

  it('reports endpoints that appear or disappear, but not those of the first read', () => {
    const registry = new direct.InMemoryEndpointRegistry(createKernel());
    let count = 0;
    registry.onChange(() => (count += 1));
    registry.applyFeedRecord(
      {key: 'a', offset: 1, value: createEndpoint('a')},
      0,
    );
    registry.advanceTo(2);
    registry.applyFeedRecord(
      {key: 'a', offset: 2, value: createEndpoint('a')},
      0,
    );
    expect(count).to.equal(0);
    registry.applyFeedRecord(
      {key: 'b', offset: 3, value: createEndpoint('b')},
      0,
    );
    registry.applyFeedRecord(
      {key: 'a', offset: 4, value: createEndpoint('a', true)},
      0,
    );
    expect(count).to.equal(2);
    registry.applyFeedRecord({key: 'a', offset: 5, value: undefined}, 0);
    expect(count, 'a draining endpoint was already unavailable').to.equal(2);
  });
});

describe('the settings', () => {
  const flags = {
    name: 'r',
    address: '127.0.0.1',
    zone: 'z',
    entryListen: '127.0.0.1:1',
    readyListen: '127.0.0.1:2',
    directoryListen: '127.0.0.1:3',
    peerListen: '127.0.0.1:4',
    gossipPort: '5,9',
    seeds: '10.0.0.1:4,10.0.0.2:4',
    storeAddress: '10.0.0.9:7',
  };

  function load(
    overrides: Record<string, string> = {},
  ): direct.settings.Settings {
    const loaded = core.loadSettings(direct.settings.SETTINGS, {
      flags: {...flags, ...overrides},
      environment: {},
    });
    if (!loaded.ok) throw new Error(loaded.problems.join('; '));
    return direct.settings.toSettings(loaded.values);
  }

  it('parse listener addresses, lists of ports, and seeds', () => {
    const settings = load();
    expect(settings).to.include({entryListen: 1, peerPort: 4, gossipPort: 5});
    expect(settings.seedAddresses).to.deep.equal(['10.0.0.1', '10.0.0.2']);
    expect(() => load({storeAddress: 'store'})).to.throw(/store-address/);
  });

  it('apply changes at run time, except to listeners', () => {
    const settings = load();
    const change = direct.settings.applyChanges(
      settings,
      load({retrySlack: '99', seeds: '10.0.0.3:4', entryListen: '127.0.0.1:8'}),
    );
    expect(change).to.deep.equal({
      applied: ['retrySlack', 'seedAddresses'],
      deferred: ['entryListen'],
    });
    expect(settings).to.include({retrySlack: 99, entryListen: 1});
  });

  it('are read from a file of variables', () => {
    const text = '# comment\nA_B=1=2\n\n=x\nC=\n';
    expect(core.parseVariables(text)).to.deep.equal({A_B: '1=2', C: ''});
  });
});
