/**
 * Large fleets over virtual time whose operator evacuates failure domains: when
 * an evacuation and its end are in force at each router, while datagrams are
 * lost, routers restart or are cut off, and the store is away.
 */
import * as chai from 'chai';
import * as decide from '@oleanderrock/decide';
import * as simulatedFleet from './simulatedfleet.js';
import * as direct from '../index.js';

const {expect} = chai;

/**
 * Longest time until an order is in force at every router, in ms: a fifth of
 * what the operator allows. Datagrams that are lost, and readers that the store
 * turns away, leave it well within that.
 */
const IN_FORCE_MS = 1_000;
const IN_FORCE_DISTURBED_MS = 2_500;

const STEP_MS = 20;

/** Routers of most tests: enough that news goes from router to router. */
const ROUTERS = 70;

/** Routers of the largest fleet. */
const MOST_ROUTERS = 140;

type Options = Partial<simulatedFleet.SimulatedFleetOptions>;
type Router = simulatedFleet.SimulatedRouter;

function isEvacuated({kernel}: Router, zone: string): boolean {
  return kernel.find(direct.EVACUATED_ZONES).isEvacuated(zone);
}

describe('the evacuation of a failure domain', () => {
  let fleet: simulatedFleet.SimulatedFleet;

  const start = async (options: Options = {}) => {
    fleet = new simulatedFleet.SimulatedFleet({
      routers: ROUTERS,
      endpoints: 20,
      ...options,
    });
    await fleet.start();
    await fleet.clock.advance(4_000);
  };

  afterEach(() => fleet.stop());

  /** Time until all routers see the zone so, in ms; infinite if too long. */
  const msUntil = async (
    zone: string,
    expected: boolean,
    routers = () => fleet.connected(),
  ): Promise<number> => {
    for (let elapsedMs = 0; elapsedMs <= 8_000; elapsedMs += STEP_MS) {
      const isEverywhere = routers().every(
        router => isEvacuated(router, zone) === expected,
      );
      if (isEverywhere) return elapsedMs;
      await fleet.clock.advance(STEP_MS);
    }
    return Number.POSITIVE_INFINITY;
  };

  it('is in force at every router at once, and so is its end', async () => {
    await start({routers: MOST_ROUTERS});
    fleet.putEvacuation('z1', 'ordered');
    expect(await msUntil('z1', true)).to.be.at.most(IN_FORCE_MS);
    await fleet.clock.advance(2_000);
    fleet.putEvacuation('z1', 'withdrawn');
    expect(await msUntil('z1', false)).to.be.at.most(IN_FORCE_MS);
  });

  it('would be ignored without the record of it', async () => {
    await start({
      routers: 8,
      createEvacuations: () => new decide.NoEvacuations(),
    });
    fleet.putEvacuation('z1', 'ordered');
    expect(await msUntil('z1', true)).to.equal(Number.POSITIVE_INFINITY);
  });

  for (const seed of [1, 2]) {
    it(`is in force in time though a fifth of the datagrams is lost, seed ${seed}`, async () => {
      await start({loss: 0.2, seed});
      fleet.putEvacuation('z1', 'ordered');
      fleet.putEvacuation('z2', 'ordered');
      for (const zone of ['z1', 'z2']) {
        expect(await msUntil(zone, true)).to.be.at.most(IN_FORCE_DISTURBED_MS);
      }
      fleet.putEvacuation('z1', 'withdrawn');
      expect(await msUntil('z1', false)).to.be.at.most(IN_FORCE_DISTURBED_MS);
      expect(await msUntil('z2', true)).to.equal(0);
    });
  }

  it('is in force in time though the store turns most routers away', async () => {
    await start();
    for (const [index, router] of fleet.routers.entries()) {
      router.isTurnedAway = index % 5 !== 0;
    }
    fleet.putEvacuation('z1', 'ordered');
    expect(await msUntil('z1', true)).to.be.at.most(IN_FORCE_DISTURBED_MS);
  });

  it('is in force beside new tables and a burst of them', async () => {
    await start();
    for (let version = 2; version < 8; version++) {
      fleet.putTables(version);
      if (version === 4) fleet.putEvacuation('z1', 'ordered');
      await fleet.clock.advance(100);
    }
    expect(await msUntil('z1', true)).to.be.at.most(IN_FORCE_DISTURBED_MS);
  });

  it('holds for all zones, and for one that no table names', async () => {
    await start({routers: 12});
    const zones = ['z0', 'z1', 'z2', 'z3', 'unknown'];
    for (const zone of zones) fleet.putEvacuation(zone, 'ordered');
    for (const zone of zones) {
      expect(await msUntil(zone, true)).to.be.at.most(IN_FORCE_MS);
    }
  });

  it('holds after a record that nobody can read, which orders none', async () => {
    await start({routers: 12});
    fleet.putEvacuation('z1', 'ordered');
    await msUntil('z1', true);
    fleet.putEvacuation('z1', 'unreadable');
    fleet.putEvacuation('z2', 'unreadable');
    await fleet.clock.advance(5_000);
    expect(await msUntil('z1', true)).to.equal(0);
    expect(await msUntil('z2', false)).to.equal(0);
  });

  it('is known to a router before it is ready, and outlives all memories', async () => {
    await start({routers: 40});
    fleet.putEvacuation('z1', 'ordered');
    await msUntil('z1', true);
    const restartAndCheck = async (routers: readonly Router[]) => {
      for (const router of routers) fleet.kill(router);
      await fleet.clock.advance(500);
      const successors = routers.map(router => fleet.restart(router));
      for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += STEP_MS) {
        for (const router of successors) {
          const isServing = router.isRunning && fleet.isReady(router);
          expect(isServing && !isEvacuated(router, 'z1')).to.equal(false);
        }
        await fleet.clock.advance(STEP_MS);
      }
      expect(successors.every(router => fleet.isReady(router))).to.equal(true);
    };
    await restartAndCheck(fleet.routers.slice(0, 7));
    await restartAndCheck([...fleet.routers]);
  });

  it('ends after an outage of the store in which it was withdrawn', async () => {
    await start({routers: 40});
    fleet.putEvacuation('z1', 'ordered');
    await msUntil('z1', true);
    fleet.isStoreDown = true;
    await fleet.clock.advance(6_000);
    expect(await msUntil('z1', true)).to.equal(0);
    fleet.putEvacuation('z1', 'withdrawn');
    fleet.putEvacuation('z2', 'ordered');
    fleet.isStoreDown = false;
    expect(await msUntil('z2', true)).to.be.at.most(IN_FORCE_DISTURBED_MS);
    expect(await msUntil('z1', false)).to.be.at.most(IN_FORCE_DISTURBED_MS);
  });

  it('is not brought back by a router that was cut off when it ended', async () => {
    await start({routers: 40});
    fleet.putEvacuation('z1', 'ordered');
    await msUntil('z1', true);
    const cut = fleet.routers[5]!;
    cut.isCut = true;
    cut.isTurnedAway = true;
    fleet.putEvacuation('z1', 'withdrawn');
    expect(await msUntil('z1', false)).to.be.at.most(IN_FORCE_DISTURBED_MS);
    await fleet.clock.advance(10_000);
    expect(isEvacuated(cut, 'z1')).to.equal(true);
    cut.isCut = false;
    let isBack = false;
    const others = fleet.routers.filter(router => router !== cut);
    for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += STEP_MS) {
      await fleet.clock.advance(STEP_MS);
      isBack ||= others.some(router => isEvacuated(router, 'z1'));
    }
    expect(isBack).to.equal(false);
    expect(isEvacuated(cut, 'z1')).to.equal(false);
  });
});
