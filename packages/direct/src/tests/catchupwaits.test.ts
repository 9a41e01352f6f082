/** The catch-up: when state is fetched, and that it is idle in between. */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const PEER: direct.Router = {
  name: 'router-2',
  address: '127.0.0.2',
  zone: 'zone-a',
};
const SELF: direct.Router = {...PEER, name: 'router-1', address: '127.0.0.1'};

/** Uptime from which differences are fetched only if they last, in ms. */
const STARTED_MS = 15_000;

/** A clock that counts the waits. */
class CountingClock extends virtualClock.VirtualClock {
  sleepCount = 0;

  override sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    this.sleepCount += 1;
    return super.sleep(delayMs, signal);
  }
}

/** A router with tables of version 1, whose fetches all fail. */
class Router {
  readonly clock = new CountingClock();
  /** Times of the fetches, in ms. */
  readonly fetchTimesMs: number[] = [];
  isReader = false;
  readonly catchUp: direct.FleetCatchUp;
  private readonly kernel = new core.Kernel();

  constructor() {
    const {kernel} = this;
    const hash = core.hash32;
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, this.clock);
    kernel.register(
      direct.MEMBERSHIP,
      new decide.PingMembership({self: SELF, firstEpoch: 1, hash}),
    );
    kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
    kernel.register(
      direct.ENDPOINT_REGISTRY,
      new direct.InMemoryEndpointRegistry(kernel),
    );
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    kernel.register(
      direct.FLEET_REGISTRY,
      new direct.InMemoryFleetRegistry(kernel, SELF),
    );
    kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
    kernel.register(direct.FEED_FOLLOWERS, {
      isReader: () => this.isReader,
      isReadingTables: () => this.isReader,
      isReadingEndpoints: () => this.isReader,
      isStoreLost: () => false,
      withdraw: () => Promise.resolve(),
    });
    kernel.register(direct.STATE_SOURCE, {
      fetchTables: () => this.fetch(),
      fetchState: () => this.fetch(),
    });
    this.catchUp = new direct.FleetCatchUp(kernel);
    kernel.register(direct.CATCH_UP, this.catchUp);
    const limits = {maxBodyBytes: 1, idleMs: 1};
    const tables = {version: 1, routes: [], pools: [], limits};
    kernel.find(direct.ACTIVE_TABLES).activate(tables, 'test');
  }

  private fetch(): Promise<{type: 'failed'; detail: string}> {
    this.fetchTimesMs.push(this.clock.nowMs());
    return Promise.resolve({type: 'failed', detail: 'no reply'});
  }

  /** Receives a digest of another router; resolves once tasks have run. */
  async receive({version = 1, isEqual = true}): Promise<void> {
    const {kernel} = this;
    const members = kernel.find(direct.MEMBERSHIP).fingerprint();
    const endpoints = kernel.find(direct.ENDPOINT_REGISTRY).fingerprint();
    this.catchUp.onDigest(PEER, {
      version,
      endpointsFingerprint: endpoints,
      membersFingerprint: isEqual ? members : members + 1,
      uptimeS: 60,
    });
    await timers.setImmediate();
  }
}

describe('the catch-up', () => {
  let router: Router;

  beforeEach(async () => {
    router = new Router();
    await router.catchUp.start();
    await router.clock.advance(STARTED_MS);
  });

  it('waits without polling while all routers know the same', async () => {
    const sleepCount = router.clock.sleepCount;
    for (let count = 0; count < 30; count++) {
      await router.receive({});
      await router.clock.advance(330);
    }
    expect(router.clock.sleepCount - sleepCount).to.be.at.most(1);
    expect(router.fetchTimesMs).to.deep.equal([]);
    await router.catchUp.stop();
  });

  it('fetches newer tables at once, also when it was idle', async () => {
    await router.receive({version: 2});
    await router.clock.advance(1);
    expect(router.fetchTimesMs).to.deep.equal([STARTED_MS]);
    await router.clock.advance(1_000);
    await router.receive({version: 2});
    await router.clock.advance(1);
    expect(router.fetchTimesMs).to.have.length(2);
    await router.catchUp.stop();
  });

  it('leaves newer tables to the store for a while if it reads them', async () => {
    router.isReader = true;
    await router.receive({version: 2});
    await router.clock.advance(790);
    expect(router.fetchTimesMs).to.deep.equal([]);
    await router.clock.advance(130);
    expect(router.fetchTimesMs).to.have.length(1);
    await router.catchUp.stop();
  });

  it('fetches what differs once it has lasted', async () => {
    await router.receive({});
    await router.clock.advance(1_000);
    await router.receive({isEqual: false});
    await router.clock.advance(190);
    expect(router.fetchTimesMs).to.deep.equal([]);
    await router.clock.advance(130);
    expect(router.fetchTimesMs).to.have.length(1);
    await router.catchUp.stop();
  });

  it('fetches nothing if a difference goes away', async () => {
    await router.receive({});
    await router.clock.advance(1_000);
    await router.receive({isEqual: false});
    await router.clock.advance(100);
    await router.receive({});
    await router.clock.advance(3_000);
    expect(router.fetchTimesMs).to.deep.equal([]);
    await router.catchUp.stop();
  });
});
