/**
 * Large fleets over virtual time whose endpoints are cold: what all routers
 * together send to each in any second while every request wants to go there,
 * since it has nothing to do.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';

const {expect} = chai;

const COLD_PER_SECOND = 11;
const WARMUP_MS = 3_000;

/** Most requests that a cold endpoint bears in a second. */
const MAX_IN_SECOND = 1.5 * COLD_PER_SECOND + 5;

/**
 * Least requests that it gets while it is cold, of which routers hear some time
 * after its start; three times as many could be sent in all of it.
 */
const MIN_SENT = COLD_PER_SECOND / 2;

const REQUESTS_PER_SECOND = 500;
const STEP_MS = 10;

type Options = Partial<simulatedFleet.SimulatedFleetOptions>;
type Router = simulatedFleet.SimulatedRouter;

const TABLES: direct.Tables = {
  version: 1,
  routes: [],
  pools: [{name: 'pool', warmupMs: WARMUP_MS, coldPerSecond: COLD_PER_SECOND}],
  limits: {maxBodyBytes: 1, idleMs: 1},
};

describe('cold endpoints', () => {
  let fleet: simulatedFleet.SimulatedFleet;
  let random: core.Random;
  let sentMs: Map<string, number[]>;
  /** Endpoints to which no connection can be made. */
  let absentIds: Set<string>;

  const start = async (options: Options = {}) => {
    random = new core.SeededRandom(7);
    sentMs = new Map();
    absentIds = new Set();
    fleet = new simulatedFleet.SimulatedFleet({
      routers: 70,
      endpoints: 20,
      loss: 0.02,
      tables: TABLES,
      ...options,
    });
    await fleet.start();
    await fleet.clock.advance(5_000);
  };

  afterEach(() => fleet.stop());

  /** A request that goes to one of the endpoints if it may, else elsewhere. */
  const offer = async ({kernel}: Router, id: string): Promise<void> => {
    const endpoint = kernel.find(direct.ENDPOINT_REGISTRY).find(id);
    const health = kernel.find(direct.ENDPOINT_HEALTH);
    const {clock} = fleet;
    if (!endpoint || !health.isReachable(id, clock.nowMs())) return;
    if (!direct.endpointNotices.isWilling(kernel, endpoint)) return;
    const permits = kernel.find(direct.SEND_PERMITS);
    if (permits.heldBackMs(endpoint) > 0) return;
    const permit = await permits.acquire(endpoint, 0);
    if (permit.type === 'denied') return;
    if (permit.type === 'granted') {
      await clock.sleep(permit.fromMs - clock.nowMs());
    }
    if (absentIds.has(id)) health.recordUnreachable(id, clock.nowMs());
    else sentMs.set(id, [...(sentMs.get(id) ?? []), clock.nowMs()]);
  };

  const play = async (
    durationMs: number,
    ids: readonly string[],
    routers = () => fleet.running(),
  ) => {
    const perStep = (REQUESTS_PER_SECOND * STEP_MS) / 1_000;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (let count = 0; count < perStep; count++) {
        const from = routers();
        const id = ids[random.nextInt(ids.length)]!;
        void offer(from[random.nextInt(from.length)]!, id);
      }
      await fleet.clock.advance(STEP_MS);
    }
  };

  const mostInSecond = (id: string): number => {
    const times = sentMs.get(id) ?? [];
    const counts = times.map(
      fromMs => times.filter(ms => ms >= fromMs && ms < fromMs + 1_000).length,
    );
    return Math.max(0, ...counts);
  };

  const expectBorne = (ids: readonly string[], minSent = MIN_SENT) => {
    for (const id of ids) {
      expect(mostInSecond(id), id).to.be.at.most(MAX_IN_SECOND);
      expect(sentMs.get(id)?.length ?? 0, id).to.be.at.least(minSent);
    }
  };

  const putCold = (id: string, bornMs: number, zone = 'z0') => {
    const endpoint = {...fleet.endpoint(id), bornMs, zone};
    fleet.endpoints.put(id, {...endpoint, warmupLeftMs: WARMUP_MS});
  };

  const NEW_IDS = ['n0', 'n1', 'n2'];

  for (const routers of [19, 140]) {
    it(`that are new get what they bear from ${routers} routers`, async () => {
      await start({routers});
      for (const id of NEW_IDS) putCold(id, 2);
      await play(WARMUP_MS, NEW_IDS);
      expectBorne(NEW_IDS);
    });
  }

  it('would be flooded if nobody knew of it', async () => {
    await start({
      routers: 19,
      createColdEndpoints: () => new decide.AlwaysWarmEndpoints(),
    });
    for (const id of NEW_IDS) putCold(id, 2);
    await play(WARMUP_MS, NEW_IDS);
    expect(mostInSecond('n0')).to.be.above(3 * MAX_IN_SECOND);
  });

  it('take all requests again once they are warm', async () => {
    await start({routers: 19});
    putCold('n0', 2);
    await play(WARMUP_MS + 3_000, ['n0']);
    expect(mostInSecond('n0')).to.be.above(REQUESTS_PER_SECOND / 2);
  });

  for (const routers of [19, 70]) {
    it(`that start again under their id are spared before the list tells of it, by ${routers} routers`, async () => {
      await start({routers});
      await play(1_000, ['e0']);
      absentIds.add('e0');
      await play(2_000, ['e0']);
      sentMs.clear();
      absentIds.clear();
      putCold('e0', 2);
      await play(WARMUP_MS, ['e0']);
      expectBorne(['e0'], 0);
    });
  }

  it('that come back from an evacuation are spared before they say that they are cold', async () => {
    await start();
    putCold('n0', 2, 'z1');
    await fleet.clock.advance(5_000);
    fleet.putEvacuation('z1', 'ordered');
    await fleet.clock.advance(3_000);
    await play(500, ['n0']);
    expect(sentMs.size).to.equal(0);
    fleet.putEvacuation('z1', 'withdrawn');
    await play(WARMUP_MS, ['n0']);
    expectBorne(['n0']);
  });

  it('that become cold at any moment are spared once the list has told', async () => {
    await start();
    putCold('e0', 1);
    await fleet.clock.advance(2_000);
    await play(1_000, ['e0']);
    expect(mostInSecond('e0')).to.be.at.most(MAX_IN_SECOND);
  });

  it('bear what routers send of which some restart, and others are cut off', async () => {
    await start();
    for (const id of NEW_IDS) putCold(id, 2);
    for (let turn = 0; turn < 6; turn++) {
      const router = fleet.routers[turn * 7]!;
      fleet.kill(router);
      fleet.routers[turn * 7 + 3]!.isCut = true;
      await play(500, NEW_IDS);
      fleet.restart(router);
    }
    expectBorne(NEW_IDS);
  });
});
