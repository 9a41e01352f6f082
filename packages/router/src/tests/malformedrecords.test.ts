/**
 * Guards against a record, a datagram or an event of others that ends a router,
 * or leaves requests in flight that no longer are: decoders reject what cannot be
 * used, and what they let through fails one request at most.
 */
import * as dgram from 'node:dgram';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 2_000};
const ROUTER_PARAMETERS = {seed: 20_261_205, numRuns: 150};

const VALID_ENTRY = {
  service: 'pool',
  address: '127.0.0.1:1',
  zone: 'zone-a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  warmupLeftMs: 0,
  seq: 1,
  born: 1,
};

/** Texts that cannot be connected to, or that no header can carry. */
const ODD_TEXTS = [
  '127.0.0.1:99999',
  '127.0.0.1:0',
  '300.1.1.1:80',
  '1.2.3:80',
  '::1:80',
  '127.0.0.1:80:80',
  'line\nbreak',
  'nul\0',
  'h\u00f6he \u6e2c\u5b9a',
  'x'.repeat(3_000),
  '',
];

const oddText = fc.oneof(fc.constantFrom(...ODD_TEXTS), fc.string());
const oddValue = fc.oneof(oddText, fc.jsonValue());

/** A valid object with some fields replaced or left out. */
function damaged(valid: object): fc.Arbitrary<Record<string, unknown>> {
  const names = Object.keys(valid);
  return fc
    .array(fc.tuple(fc.constantFrom(...names), fc.option(oddValue)), {
      maxLength: 3,
    })
    .map(changes => {
      const result: Record<string, unknown> = {...valid};
      for (const [name, value] of changes) {
        if (value === null) delete result[name];
        else result[name] = value;
      }
      return result;
    });
}

const CONFIG = support.config(3);

describe('decoders of what others write', () => {
  const assertAll = <T>(inputs: fc.Arbitrary<T>, check: (input: T) => void) =>
    fc.assert(fc.property(inputs, check), PROPERTY_PARAMETERS);

  it('accept only endpoints that can be connected to and named in a header', () => {
    const entries = fc.tuple(oddText, fc.oneof(damaged(VALID_ENTRY), oddValue));
    assertAll(entries, ([id, entry]) => {
      const endpoint = platform.endpoints.decodeEndpoint(id, entry);
      if (!endpoint) return;
      expect(endpoint.id).to.match(/^[\x21-\x7e]+$/);
      expect(endpoint.address).to.match(/^\d+(\.\d+){3}$/);
      expect(endpoint.port).to.be.within(1, 65_535);
    });
    const decode = platform.endpoints.decodeEndpoint;
    expect(decode('e1', VALID_ENTRY)).to.include({id: 'e1', port: 1});
    for (const address of ODD_TEXTS) {
      expect(decode('e1', {...VALID_ENTRY, address}), address).to.equal(
        undefined,
      );
    }
  });

  it('do not throw on configurations, states, bodies and datagrams', () => {
    const protocol = new platform.PlatformProtocol();
    const state = {endpoints: [], endpointsOffset: 0, members: []};
    assertAll(
      fc.oneof(damaged(CONFIG), damaged(state), fc.jsonValue()),
      value => {
        platform.tables.decodeTables(value);
        protocol.readCachedPrefixes(value);
        v.safeParse(direct.routerState.stateSchema, value);
      },
    );
    assertAll(fc.uint8Array({maxLength: 200}), bytes => {
      direct.permitMessage.decode(Buffer.from(bytes));
      direct.crashNotes.decode(Buffer.from(bytes), 0);
    });
    const headers = fc.dictionary(
      fc.constantFrom(
        'attempt-id',
        'server-load',
        'server-limit',
        'retry-after',
        'prompt-prefix',
        'deadline-ms',
        'host',
      ),
      oddText,
    );
    assertAll(fc.tuple(fc.nat(999), headers), ([status, values]) => {
      protocol.readEndpointResponse(status, values);
      protocol.readCallerRequest(values);
    });
  });

  it('keep the valid items of a state whose other items are malformed', () => {
    const router = {name: 'r9', address: '10.0.0.9', zone: 'z'};
    const member = {router, epoch: 1, phase: 'ready', isStoreLost: false};
    const badRouter = {...router, address: 'nowhere.example'};
    const state = v.parse(direct.routerState.stateSchema, {
      endpoints: [],
      endpointsOffset: 0,
      members: [member, {...member, router: badRouter}, 7],
    });
    expect(state.members).to.deep.equal([member]);
  });
});

describe('a router beside malformed records', () => {
  let fleet: support.DirectFleet;
  const unexpected: unknown[] = [];
  const onUnexpected = (error: unknown) => unexpected.push(error);

  beforeEach(async () => {
    unexpected.length = 0;
    process.on('unhandledRejection', onUnexpected);
    process.on('uncaughtExceptionMonitor', onUnexpected);
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(async () => {
    await fleet.stop();
    process.off('unhandledRejection', onUnexpected);
    process.off('uncaughtExceptionMonitor', onUnexpected);
  });

  /** Expects that no endpoint has requests in flight by the router's count. */
  const expectNothingInFlight = () => {
    const counts = fleet.kernels[0]!.find(direct.FLEET_LOAD).localCounts();
    expect([...counts]).to.deep.equal([]);
  };

  it('serves all requests, and leaves none in flight', async () => {
    const oddKeys = ['i-\u0001odd', 'i-\u6e2c', 'i 1', 'i-port', 'i-host'];
    const addresses: Record<string, string> = {
      'i-port': '127.0.0.1:99999',
      'i-host': '300.1.1.1:80',
    };
    for (const key of oddKeys) {
      const address = addresses[key] ?? VALID_ENTRY.address;
      fleet.store.put('keyed.servers', key, {...VALID_ENTRY, address});
    }
    const offset = fleet.store.put('keyed.servers', 'last', undefined);
    const registry = fleet.kernels[0]!.find(direct.ENDPOINT_REGISTRY);
    await polling.until(
      'the entries are read',
      () => registry.nextOffset() > offset,
    );
    for (let count = 0; count < 30; count++) {
      const {status} = await fleet.call('/book/a');
      expect(status).to.equal(200);
    }
    expectNothingInFlight();
    expect(unexpected).to.deep.equal([]);
  });

  it('goes on after random entries and datagrams', async () => {
    const socket = dgram.createSocket('udp4');
    await fc.assert(
      fc.asyncProperty(
        oddText,
        damaged(VALID_ENTRY),
        fc.uint8Array({maxLength: 60}),
        async (key, entry, bytes) => {
          // An entry of a real address would be an endpoint that is down.
          const {address} = entry;
          const isUsable = address === VALID_ENTRY.address;
          fleet.store.put('keyed.servers', key, {
            ...entry,
            ...(isUsable ? {address: '127.0.0.1:x'} : {}),
          });
          const topics = [Buffer.from([bytes.length % 2]), Buffer.from(bytes)];
          socket.send(topics, fleet.gossipPort, fleet.address(0));
          const {status} = await fleet.call('/read/a');
          expect(status).to.equal(200);
        },
      ),
      ROUTER_PARAMETERS,
    );
    socket.close();
    expectNothingInFlight();
    expect(unexpected).to.deep.equal([]);
  });

  it('fails one request alone if a header cannot be written, and blames no endpoint', async () => {
    const kernel = fleet.kernels[0]!;
    const name = 'acme\u0001';
    const tenants = [{name, keys: [support.API_KEY]}];
    fleet.store.put('keyed.op', 'config', support.config(2, {tenants}));
    await polling.until(
      'the configuration is in force',
      () => fleet.version(0) === 2,
    );
    const {status} = await fleet.call('/book/a');
    expect(status).to.equal(503);
    expect(fleet.runs()).to.deep.equal([]);
    const nowMs = kernel.find(core.CLOCK).nowMs();
    const outcomes = kernel.find(direct.ENDPOINT_HEALTH).localCounts(nowMs);
    for (const [id, {failed}] of outcomes) expect(failed, id).to.equal(0);
    expectNothingInFlight();
  });

  it('tells endpoints the name of a customer in UTF-8', async () => {
    const name = 'H\u00f6he \u6e2c\u5b9a';
    const tenants = [{name, keys: [support.API_KEY]}];
    fleet.store.put('keyed.op', 'config', support.config(2, {tenants}));
    await polling.until(
      'the configuration is in force',
      () => fleet.version(0) === 2,
    );
    expect((await fleet.call('/book/a')).status).to.equal(200);
    const [run] = fleet.runs();
    const bytes = Buffer.from(String(run?.headers.tenant), 'latin1');
    expect(bytes.toString('utf8')).to.equal(name);
  });

  it('does not resume a stream after an event whose id no header can carry', async () => {
    const cut: standins.Behaviour = {
      type: 'raw',
      isReset: true,
      text: ({headers}) =>
        `HTTP/1.1 200 OK\r\nattempt-id: ${String(headers['attempt-id'])}\r\n` +
        'response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n' +
        'f\r\nid: 1\u0001\ndata: x\n\r\n1\r\n\n\r\n',
    };
    fleet.setBehaviour(cut);
    const response = await fleet.call('/chat/a');
    expect(response.isComplete).to.equal(false);
    expect(fleet.runs()).to.have.length(1);
    expectNothingInFlight();
    expect(unexpected).to.deep.equal([]);
  });
});
