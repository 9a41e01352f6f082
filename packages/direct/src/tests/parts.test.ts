/** Parts of a router that sends straight to endpoints. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as digestCodec from '../digest.js';
import * as direct from '../index.js';

const {expect} = chai;

const RUNS = {seed: 20_261_204, numRuns: 200};

function kernel(): core.Kernel {
  const made = new core.Kernel();
  made.register(core.LOGGER, new core.SilentLogger());
  return made;
}

function tables(version: number): direct.Tables {
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

function endpoint(id: string, isDraining = false): direct.Endpoint {
  return {
    id,
    pool: 'pool',
    address: '127.0.0.1',
    port: 1,
    zone: 'z',
    isDraining,
  };
}

describe('the splitter of events', () => {
  it('passes on the same bytes however they are cut', () => {
    const cuts = fc.array(fc.nat(400), {maxLength: 12});
    const texts = fc.array(fc.string({unit: 'grapheme-ascii', maxLength: 30}));
    fc.assert(
      fc.property(texts, cuts, (data, places) => {
        const all = data
          .map((text, at) => `id: ${at + 1}\ndata: ${JSON.stringify(text)}\n\n`)
          .join('');
        const bytes = Buffer.from(all);
        const ends = [...places, bytes.length].sort((a, b) => a - b);
        const splitter = new direct.EventSplitter();
        const passed: Buffer[] = [];
        let from = 0;
        for (const end of ends.map(each => Math.min(each, bytes.length))) {
          const whole = splitter.push(bytes.subarray(from, end));
          expect(
            whole.length === 0 || whole.toString().endsWith('\n\n'),
          ).to.equal(true);
          passed.push(Buffer.from(whole));
          from = end;
        }
        expect(Buffer.concat(passed).toString()).to.equal(all);
        const last = data.length > 0 ? String(data.length) : undefined;
        expect(splitter.lastEventId).to.equal(last);
      }),
      RUNS,
    );
  });

  it('drops the half of an event whose connection broke', () => {
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

describe('the book of tables', () => {
  it('never goes back, in whatever order versions come', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(50)), versions => {
        const book = new direct.IndexedTables(kernel());
        let highest = direct.NO_VERSION;
        for (const version of versions) {
          book.activate(tables(version), 'test');
          highest = Math.max(highest, version);
          expect(book.version()).to.equal(highest);
        }
      }),
      RUNS,
    );
  });

  it('finds the longest prefix, and who holds a key', () => {
    const book = new direct.IndexedTables(kernel());
    book.activate(tables(1), 'test');
    expect(book.findRoute('chat.example', '/a/b/c?d')?.name).to.equal('long');
    expect(book.findRoute('chat.example', '/a/bc')?.name).to.equal('short');
    expect(book.findRoute('chat.example', '/b/')).to.equal(undefined);
    expect(book.findRoute('other', '/a/')).to.equal(undefined);
    expect(book.findKeyHolder('k2')?.name).to.equal('acme');
    expect(book.findKeyHolder('k3')).to.equal(undefined);
  });
});

describe('the book of endpoints', () => {
  it('holds the newest record of each key, in whatever order they come', () => {
    const records = fc.array(
      fc.record({key: fc.constantFrom('a', 'b'), isDraining: fc.boolean()}),
      {maxLength: 20},
    );
    const ranks = fc.array(fc.nat(), {minLength: 20, maxLength: 20});
    fc.assert(
      fc.property(records, ranks, (all, places) => {
        const items = all.map(({key, isDraining}, offset) => ({
          key,
          offset,
          value: endpoint(key, isDraining),
        }));
        const shuffled = [...items].sort(
          (one, other) => places[one.offset]! - places[other.offset]!,
        );
        const [inOrder, inAnother] = [items, shuffled].map(each => {
          const book = new direct.InMemoryEndpointRegistry(kernel());
          for (const item of each) book.applyFeedRecord(item, 0);
          return book
            .readyEndpoints('pool')
            .map(({id}) => id)
            .sort();
        });
        expect(inAnother).to.deep.equal(inOrder);
      }),
      RUNS,
    );
  });

  it('takes news from another router, but no old news', () => {
    const book = new direct.InMemoryEndpointRegistry(kernel());
    const drained = endpoint('a', true);
    book.applyFeedRecord({key: 'a', offset: 5, value: endpoint('a')}, 0);
    expect(
      book.applyPeerRecord({key: 'a', offset: 4, value: drained}, 0),
    ).to.equal(false);
    expect(book.readyEndpoints('pool')).to.have.length(1);
    expect(
      book.applyPeerRecord({key: 'a', offset: 6, value: drained}, 0),
    ).to.equal(true);
    expect(book.readyEndpoints('pool')).to.have.length(0);
    expect(book.recentChanges(0).map(({key}) => key)).to.deep.equal(['a']);
    book.applyFeedRecord({key: 'a', offset: 7, value: endpoint('a')}, 0);
    expect(book.readyEndpoints('pool')).to.have.length(1);
    book.applyPeerRecord({key: 'b', offset: 8, value: endpoint('b')}, 0);
    expect(book.readyEndpoints('pool')).to.have.length(2);
    expect(book.recentChanges(10_000)).to.have.length(0);
  });

  it('tells all of many changes, some in each digest', () => {
    const book = new direct.InMemoryEndpointRegistry(kernel());
    book.advanceTo(1);
    const keys = [...Array(30).keys()].map(at => `e${at}`);
    for (const [at, key] of keys.entries()) {
      book.applyFeedRecord({key, offset: at + 1, value: endpoint(key)}, 0);
    }
    const told = new Set<string>();
    for (let digest = 0; digest < 3; digest++) {
      for (const {key} of book.recentChanges(0)) told.add(key);
    }
    expect([...told]).to.have.members(keys);
  });

  it('says that one came or left, but not what is there at the start', () => {
    const book = new direct.InMemoryEndpointRegistry(kernel());
    let count = 0;
    book.onChange(() => (count += 1));
    book.applyFeedRecord({key: 'a', offset: 1, value: endpoint('a')}, 0);
    book.advanceTo(2);
    book.applyFeedRecord({key: 'a', offset: 2, value: endpoint('a')}, 0);
    expect(count).to.equal(0);
    book.applyFeedRecord({key: 'b', offset: 3, value: endpoint('b')}, 0);
    book.applyFeedRecord({key: 'a', offset: 4, value: endpoint('a', true)}, 0);
    expect(count).to.equal(2);
    book.applyFeedRecord({key: 'a', offset: 5, value: undefined}, 0);
    expect(count, 'it drained before').to.equal(2);
  });
});

describe('the digest', () => {
  it('reads back what it wrote, and nothing else', () => {
    const digest: digestCodec.Digest = {
      router: {name: 'r', address: '127.0.0.1', zone: 'z'},
      status: {phase: 'ready', version: 3, endpointsOffset: 9, uptimeS: 7},
      inFlight: new Map([['e', 2]]),
      outcomes: new Map([['e', {good: 1.5, failed: 0.5}]]),
      endpointChanges: [
        {key: 'f', offset: 8, value: undefined},
        {key: 'g', offset: 9, value: {...endpoint('g'), bornMs: 5}},
        {key: 'h', offset: 9, value: endpoint('h', true)},
      ],
      suspects: [{signature: 's', state: 'suspect', validMs: 10}],
      placements: [{prefix: 'p', endpoint: 'e'}],
    };
    const from = '127.0.0.1';
    const named = (hash: number) =>
      ['e', 'f'].find(id => direct.endpointHash(id) === hash);
    const bytes = digestCodec.encode(digest);
    expect(
      digestCodec.decode(bytes, {senderAddress: from, findIdByHash: named}),
    ).to.deep.equal(digest);
    const unknown = digestCodec.decode(bytes, {
      senderAddress: from,
      findIdByHash: () => undefined,
    });
    expect(unknown?.inFlight.size).to.equal(0);
    expect(
      digestCodec.decode(Buffer.from('{}'), {
        senderAddress: from,
        findIdByHash: named,
      }),
    ).to.equal(undefined);
    fc.assert(
      fc.property(fc.uint8Array(), noise => {
        expect(
          digestCodec.decode(Buffer.from(noise), {
            senderAddress: from,
            findIdByHash: named,
          }),
        ).to.equal(undefined);
      }),
      RUNS,
    );
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

  function load(more: Record<string, string> = {}): direct.settings.Settings {
    const loaded = core.loadSettings(direct.settings.SETTINGS, {
      flags: {...flags, ...more},
      environment: {},
    });
    if (!loaded.ok) throw new Error(loaded.problems.join('; '));
    return direct.settings.toSettings(loaded.values);
  }

  it('read listeners, lists of ports and seeds', () => {
    const own = load();
    expect(own).to.include({entryListen: 1, peerPort: 4, gossipPort: 5});
    expect(own.seedAddresses).to.deep.equal(['10.0.0.1', '10.0.0.2']);
    expect(() => load({storeAddress: 'store'})).to.throw(/store-address/);
  });

  it('take up at run time what is no listener', () => {
    const own = load();
    const change = direct.settings.applyChanges(
      own,
      load({retrySlack: '99', seeds: '10.0.0.3:4', entryListen: '127.0.0.1:8'}),
    );
    expect(change).to.deep.equal({
      applied: ['retrySlack', 'seedAddresses'],
      deferred: ['entryListen'],
    });
    expect(own).to.include({retrySlack: 99, entryListen: 1});
  });

  it('are read from a file of variables', () => {
    const text = '# comment\nA_B=1=2\n\n=x\nC=\n';
    expect(core.parseVariables(text)).to.deep.equal({A_B: '1=2', C: ''});
  });
});
