/** Tests that a router catches up although routers that it asks do not serve it. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as tablesDifference from '../tablesdifference.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const SELF = {name: 'r0', address: '10.0.0.1', zone: 'z0'};

/** Time-out of a router that does not respond, in ms. */
const SILENCE_MS = 1_000;

function tablesOf(version: number): direct.Tables {
  const limits = {maxBodyBytes: 1, idleMs: 1};
  return {version, routes: [], pools: [], limits};
}

/** Routers of which some never respond. */
class PartlySilentSource implements direct.StateSource {
  readonly asked: string[] = [];
  stateFetches = 0;
  /** How long a fetch from a silent router takes to fail, in ms. */
  silenceMs = SILENCE_MS;
  /** How long a fetch of state takes, in ms. */
  stateMs = 0;
  /** Version of the tables that it serves. */
  served = 2;

  constructor(
    private readonly clock: core.Clock,
    private readonly silent: ReadonlySet<string>,
  ) {}

  async fetchTables(
    address: string,
  ): Promise<direct.Fetched<direct.tablesUpdate.TablesUpdate>> {
    this.asked.push(address);
    if (this.silent.has(address)) {
      await this.clock.sleep(this.silenceMs);
      return {type: 'failed', detail: 'no answer'};
    }
    await this.clock.sleep(5);
    return {type: 'fetched', value: {tables: tablesOf(this.served)}};
  }

  async fetchState(
    address: string,
    signal: AbortSignal,
  ): Promise<direct.Fetched<direct.routerState.RouterState>> {
    this.stateFetches += 1;
    await this.clock.sleep(this.stateMs, signal);
    return {type: 'failed', detail: 'not served'};
  }
}

/** Serves updates in turn and keeps the requests. */
class ScriptedSource implements direct.StateSource {
  readonly requests: direct.tablesUpdate.TablesRequest[] = [];

  constructor(private readonly updates: direct.tablesUpdate.TablesUpdate[]) {}

  fetchTables(
    address: string,
    request: direct.tablesUpdate.TablesRequest,
  ): Promise<direct.Fetched<direct.tablesUpdate.TablesUpdate>> {
    this.requests.push(request);
    const value = this.updates.shift() ?? {};
    return Promise.resolve({type: 'fetched', value});
  }

  fetchState(): Promise<direct.Fetched<direct.routerState.RouterState>> {
    return Promise.resolve({type: 'failed', detail: 'not served'});
  }
}

function setUp(silent: readonly string[], scripted?: ScriptedSource) {
  const kernel = new core.Kernel();
  const clock = new virtualClock.VirtualClock();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, clock);
  kernel.register(core.RANDOM, new core.SeededRandom(1));
  kernel.register(
    direct.MEMBERSHIP,
    new decide.PingMembership({self: SELF, firstEpoch: 1, hash: core.hash32}),
  );
  kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
  kernel.register(
    direct.ENDPOINT_REGISTRY,
    new direct.InMemoryEndpointRegistry(kernel),
  );
  kernel.register(
    direct.FLEET_REGISTRY,
    new direct.InMemoryFleetRegistry(kernel, SELF),
  );
  kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
  kernel.register(direct.FEED_FOLLOWERS, {
    isReader: () => false,
    isReadingTables: () => false,
    isReadingEndpoints: () => false,
    isStoreLost: () => false,
    withdraw: () => Promise.resolve(),
  });
  const source = new PartlySilentSource(clock, new Set(silent));
  kernel.register(direct.STATE_SOURCE, scripted ?? source);
  const catchUp = new direct.FleetCatchUp(kernel);
  kernel.register(direct.CATCH_UP, catchUp);
  const hear = (address: string, zone: string, version = 2) =>
    catchUp.onDigest(
      {name: address, address, zone},
      {
        version,
        endpointsFingerprint: 0,
        membersFingerprint: 0,
        uptimeS: 60,
      },
    );
  const version = () => kernel.find(direct.ACTIVE_TABLES).version();
  return {kernel, clock, source, hear, version};
}

describe('catching up with newer tables', () => {
  it('asks the next router that has them at once if one does not serve them', async () => {
    const {kernel, clock, source, hear, version} = setUp(['a', 'b']);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(1), 'store');
    await kernel.start();
    for (const address of ['a', 'b', 'c']) hear(address, 'z0');
    await clock.advance(2 * SILENCE_MS + 200);
    expect(version()).to.equal(2);
    expect(source.asked).to.include('c');
    await kernel.stop();
  });

  it('asks a router of its own failure domain first', async () => {
    const {kernel, clock, source, hear} = setUp([]);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(1), 'store');
    await kernel.start();
    hear('far-1', 'z1');
    hear('near', 'z0');
    hear('far-2', 'z1');
    await clock.advance(200);
    expect(source.asked).to.deep.equal(['near']);
    await kernel.stop();
  });

  it('does not wait for a slow fetch of state', async () => {
    const {kernel, clock, source, hear, version} = setUp([]);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(2), 'store');
    source.stateMs = 6_000;
    await kernel.start();
    // Its members differ, so the state is fetched from it.
    hear('slow', 'z0');
    await clock.advance(300);
    source.served = 3;
    hear('near', 'z0', 3);
    await clock.advance(1_000);
    expect(version()).to.equal(3);
    await kernel.stop();
  });

  it('asks another router if the response of the first takes long', async () => {
    const {kernel, clock, source, hear, version} = setUp(['near']);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(1), 'store');
    // Bytes arrive all the time, so only the limit for the body ends it.
    source.silenceMs = 5_000;
    await kernel.start();
    hear('near', 'z0');
    hear('far', 'z1');
    await clock.advance(2_000);
    expect(version()).to.equal(2);
    await kernel.stop();
  });

  it('fetches endpoints that differ for long although members change', async () => {
    const {kernel, clock, source, hear} = setUp([]);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(2), 'store');
    const endpoints = kernel.find(direct.ENDPOINT_REGISTRY);
    const value = {
      id: 'e1',
      pool: 'pool',
      address: '10.9.0.1',
      port: 80,
      zone: 'z0',
      isDraining: false,
    };
    endpoints.applyFeedRecord({key: 'e1', offset: 1, value}, 0);
    await kernel.start();
    await clock.advance(20_000);
    // The endpoint is removed at the others; a router leaves every 300 ms.
    for (let epoch = 2; epoch < 12; epoch++) {
      const router = {name: `m${epoch}`, address: '10.0.0.9', zone: 'z0'};
      const note = {router, epoch, phase: 'ready' as const, isStoreLost: false};
      kernel.find(direct.MEMBERSHIP).applyNote(note, clock.nowMs());
      hear('a', 'z0');
      await clock.advance(300);
    }
    expect(source.stateFetches).to.be.above(0);
    await kernel.stop();
  });

  it('does not ask again once it has them', async () => {
    const {kernel, clock, source, hear} = setUp([]);
    kernel.find(direct.ACTIVE_TABLES).activate(tablesOf(2), 'store');
    await kernel.start();
    hear('a', 'z0');
    await clock.advance(1_000);
    expect(source.asked).to.deep.equal([]);
    await kernel.stop();
  });
});

describe('catching up from a router that does not know the version', () => {
  const wanted = {...tablesOf(2), pools: [{name: 'p'}]};
  const difference = tablesDifference.diff(1, new Set(), wanted);

  async function catchUpFrom(updates: direct.tablesUpdate.TablesUpdate[]) {
    const source = new ScriptedSource(updates);
    const {kernel, clock, hear} = setUp([], source);
    const tables = kernel.find(direct.ACTIVE_TABLES);
    tables.activate(tablesOf(1), 'store');
    await kernel.start();
    hear('a', 'z0');
    await clock.advance(400);
    await kernel.stop();
    return {requests: source.requests, tables: tables.current()};
  }

  it('sends a summary of its rows and applies the difference', async () => {
    const {requests, tables} = await catchUpFrom([
      {isSummaryNeeded: true},
      {difference},
    ]);
    const summary = tablesDifference.summarize(tablesOf(1));
    expect(requests).to.deep.equal([{version: 1}, {version: 1, summary}]);
    expect(tables).to.deep.equal(wanted);
  });

  it('applies at once a difference that the other router has kept', async () => {
    const {requests, tables} = await catchUpFrom([{difference}]);
    expect(requests).to.deep.equal([{version: 1}]);
    expect(tables).to.deep.equal(wanted);
  });

  it('fetches the whole tables if the difference does not lead to them', async () => {
    const {requests, tables} = await catchUpFrom([
      {isSummaryNeeded: true},
      {difference: {...difference, pools: []}},
      {tables: wanted},
    ]);
    expect(requests.at(-1)).to.deep.equal({version: direct.NO_VERSION});
    expect(tables).to.deep.equal(wanted);
  });

  it('fetches the whole tables if the summary is not accepted as such', async () => {
    const {requests, tables} = await catchUpFrom([
      {isSummaryNeeded: true},
      {isSummaryNeeded: true},
      {tables: wanted},
    ]);
    expect(requests.at(-1)).to.deep.equal({version: direct.NO_VERSION});
    expect(tables).to.deep.equal(wanted);
  });
});

describe('an update of large tables', () => {
  const routes = [...Array(1_050).keys()].map(index => ({
    name: `route-${index}`,
    host: `host-${index % 7}.example`,
    pathPrefix: `/${core.hash64(String(index)).slice(0, 8)}/`,
    pools: [{name: 'engines', weight: 1}],
    repeat: 'stream' as const,
    isResumable: true,
    maxRuns: 2,
    timeoutMs: 10_000,
    goalMs: 800,
    priority: 2,
    isPublic: false,
  }));

  it('is compressed, and encoded once for all routers that ask for it', () => {
    const {kernel} = setUp([]);
    const tables = kernel.find(direct.ACTIVE_TABLES);
    tables.activate({...tablesOf(2), routes}, 'store');
    const updates = new direct.tablesUpdate.EncodedUpdates(kernel);
    const whole = updates.encode(direct.NO_VERSION);
    const difference = updates.encodeDifference(1, new Set());
    const plainBytes = JSON.stringify(routes).length;
    for (const encoded of [whole, difference]) {
      expect(encoded.length).to.be.below(plainBytes / 5);
      expect(encoded.length, 'holds the rows').to.be.above(plainBytes / 50);
    }
    expect(updates.encode(direct.NO_VERSION)).to.equal(whole);
    expect(updates.encode(1)).to.equal(difference);
  });

  it('is encoded anew for the next version', () => {
    const {kernel} = setUp([]);
    const tables = kernel.find(direct.ACTIVE_TABLES);
    tables.activate({...tablesOf(2), routes}, 'store');
    const updates = new direct.tablesUpdate.EncodedUpdates(kernel);
    const whole = updates.encode(direct.NO_VERSION);
    const difference = updates.encodeDifference(1, new Set());
    tables.activate({...tablesOf(3), routes: routes.slice(1)}, 'store');
    const nextWhole = updates.encode(direct.NO_VERSION);
    const nextDifference = updates.encodeDifference(1, new Set());
    expect(nextWhole.equals(whole)).to.equal(false);
    expect(nextDifference.equals(difference)).to.equal(false);
    expect(updates.encode(1)).to.equal(nextDifference);
  });
});
