/** Tests of differences for routers whose version is not known to the other. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as direct from '../index.js';
import * as rowHashes from '../rowhashes.js';
import * as tablesDifference from '../tablesdifference.js';
import * as routedTables from './routedtables.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 500};

const HOST = '127.0.0.1';

/** A storm of versions; those that a router received, by index. */
const historiesArbitrary = (content: fc.Arbitrary<routedTables.Content>) =>
  fc.record({
    contents: fc.array(content, {minLength: 1, maxLength: 10}),
    senderSkips: fc.array(fc.boolean(), {minLength: 10, maxLength: 10}),
    receiverSkips: fc.array(fc.boolean(), {minLength: 10, maxLength: 10}),
  });

/** A router that received the versions that it did not skip. */
function routerWith(
  contents: readonly routedTables.Content[],
  skips: readonly boolean[],
): direct.IndexedTables {
  const router = routedTables.createRouter();
  for (const [index, content] of contents.entries()) {
    if (!skips[index]) router.activate({...content, version: index}, 'store');
  }
  return router;
}

describe('the difference between routers of any two histories', () => {
  for (const {title, content, isOrderFree} of [
    {
      title: 'leads to the same matching of requests',
      content: routedTables.contentArbitrary,
      isOrderFree: true,
    },
    {
      title: 'leads to the same matching of requests if versions share rows',
      content: routedTables.recurringContentArbitrary,
      isOrderFree: true,
    },
    {
      title: 'or the whole tables do so where the order of rows decides',
      content: routedTables.contestedContentArbitrary,
      isOrderFree: false,
    },
  ]) {
    it(title, () => {
      fc.assert(
        fc.property(
          historiesArbitrary(content),
          ({contents, senderSkips, receiverSkips}) => {
            const sender = routerWith(contents, senderSkips);
            const receiver = routerWith(contents, receiverSkips);
            const before = receiver.version();
            const isWholeNeeded = routedTables.fetchFrom(sender, receiver);
            if (isOrderFree) expect(isWholeNeeded).to.equal(false);
            const version = Math.max(before, sender.version());
            expect(receiver.version()).to.equal(version);
            if (version === direct.NO_VERSION) return;
            const whole = {...contents[version]!, version};
            routedTables.expectTables(receiver, whole);
            // The receiver serves patches and differences in turn.
            const next = {...contents[0]!, version: version + 1};
            sender.activate(next, 'store');
            receiver.activate(next, 'store');
            const third = routerWith(contents, senderSkips);
            routedTables.fetchFrom(receiver, third);
            routedTables.expectTables(third, next);
          },
        ),
        PROPERTY_PARAMETERS,
      );
    });
  }

  it('holds only the rows that differ', () => {
    const rows = routedTables.manyRoutes(300);
    const limits = {maxBodyBytes: 1, idleMs: 1};
    const base = {pools: [], limits};
    const changed = rows.map((row, index) =>
      index === 7 ? {...row, timeoutMs: 2} : row,
    );
    const sender = routedTables.createRouter();
    const receiver = routedTables.createRouter();
    sender.activate({...base, version: 3, routes: changed.slice(1)}, 'store');
    receiver.activate({...base, version: 2, routes: rows}, 'store');
    const {difference} = routedTables.updateFor(sender, receiver);
    expect(difference?.routes.map(({name}) => name)).to.deep.equal(['route-7']);
    expect(difference?.dropped).to.have.members(
      [rows[0]!, rows[7]!].map(row => rowHashes.hashOf(row)),
    );
  });

  it('has no effect once another version has come into force', () => {
    const sender = routedTables.createRouter();
    const receiver = routedTables.createRouter();
    sender.activate(routedTables.largeTables(5, 4), 'store');
    receiver.activate(routedTables.largeTables(2, 3), 'store');
    const update = routedTables.updateFor(sender, receiver);
    receiver.activate(routedTables.largeTables(3, 9), 'store');
    const kernel = new core.Kernel();
    kernel.register(direct.ACTIVE_TABLES, receiver);
    expect(direct.tablesUpdate.apply(kernel, update, 'router')).to.equal(true);
    routedTables.expectTables(receiver, routedTables.largeTables(3, 9));
  });
});

async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => {
    server.listen({host: HOST, port: 0}, resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('the listener for other routers', () => {
  let listener: direct.PeerStateListener;
  let source: direct.HttpStateSource;
  let tables: direct.IndexedTables;
  let peerPort: number;
  const {signal} = new AbortController();

  beforeEach(async () => {
    peerPort = await freePort();
    const routerSettings = {
      address: HOST,
      peerPort,
    } as direct.settings.Settings;
    const kernel = new core.Kernel();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, new core.SystemClock());
    kernel.register(core.READ_PACER, core.UNPACED);
    kernel.register(direct.CALLER_BOUNDS, {of: () => core.UNBOUNDED});
    tables = new direct.IndexedTables(kernel);
    kernel.register(direct.ACTIVE_TABLES, tables);
    tables.activate(routedTables.largeTables(4, 300), 'store');
    listener = new direct.PeerStateListener(kernel, routerSettings);
    source = new direct.HttpStateSource(routerSettings);
    await listener.start();
  });

  afterEach(() => listener.stop());

  async function fetchUpdate(request: direct.tablesUpdate.TablesRequest) {
    const fetched = await source.fetchTables(HOST, request, signal);
    if (fetched.type === 'failed') throw new Error(fetched.detail);
    return fetched.value;
  }

  async function post(body: Buffer): Promise<number> {
    return new Promise((resolve, reject) => {
      const path = '/tables?have=3';
      const request = http.request({
        host: HOST,
        port: peerPort,
        path,
        method: 'POST',
        headers: {'content-length': body.length},
      });
      request.once('error', reject);
      request.once('response', response => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
      request.end(body);
    });
  }

  it('asks for a summary once, and serves the difference to the next router with the same version at once', async () => {
    expect(await fetchUpdate({version: 3})).to.deep.equal({
      isSummaryNeeded: true,
    });
    const summary = tablesDifference.summarize(
      routedTables.largeTables(3, 299),
    )!;
    const {difference} = await fetchUpdate({version: 3, summary});
    expect(difference?.routes).to.have.length(1);
    expect(await fetchUpdate({version: 3})).to.deep.equal({difference});
    tables.activate(routedTables.largeTables(5, 900), 'store');
    expect(await fetchUpdate({version: 3})).to.deep.equal({
      isSummaryNeeded: true,
    });
  });

  it('serves the whole tables to a router that has none', async () => {
    const update = await fetchUpdate({version: direct.NO_VERSION});
    expect(update.tables?.routes).to.have.length(300);
  });

  it('answers 400 to a malformed summary, which changes nothing', async () => {
    const tooLarge = tablesDifference.MAX_SUMMARY_BYTES + 8;
    expect(await post(Buffer.alloc(13))).to.equal(400);
    expect(await post(Buffer.alloc(tooLarge))).to.equal(400);
    expect(await fetchUpdate({version: 3})).to.deep.equal({
      isSummaryNeeded: true,
    });
    expect(tables.version()).to.equal(4);
  });
});
