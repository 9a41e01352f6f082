/**
 * How soon all routers of a large fleet know that endpoints leave, while most of
 * the routers have just been killed, or many endpoints leave at once.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';

const {expect} = chai;

/** Time in which a router has to know that an endpoint leaves, in ms. */
const LIMIT_MS = 2_000;

const MEASURE_MS = 12_000;

async function startFleet(
  options: simulatedFleet.SimulatedFleetOptions,
): Promise<simulatedFleet.SimulatedFleet> {
  const fleet = new simulatedFleet.SimulatedFleet(options);
  await fleet.start();
  const areReady = () => fleet.running().every(each => fleet.isReady(each));
  await fleet.clock.until(areReady, 12_000);
  await fleet.clock.advance(20_000);
  return fleet;
}

/** Time until no running router counts an endpoint as ready, in ms. */
async function timeUntilUnused(
  fleet: simulatedFleet.SimulatedFleet,
  ids: readonly string[],
): Promise<{totalMs: number; late: number}> {
  const startMs = fleet.clock.nowMs();
  const isUsed = (router: simulatedFleet.SimulatedRouter) =>
    ids.some(id => fleet.readyIds(router).has(id));
  await fleet.clock.advance(LIMIT_MS);
  const late = fleet.running().filter(isUsed).length;
  await fleet.clock.until(() => !fleet.running().some(isUsed), MEASURE_MS);
  return {totalMs: fleet.clock.nowMs() - startMs, late};
}

/** The routers that read the store for the others. */
function readersOf(
  fleet: simulatedFleet.SimulatedFleet,
): readonly simulatedFleet.SimulatedRouter[] {
  return fleet
    .running()
    .filter(({kernel}) => kernel.find(direct.FEED_FOLLOWERS).isReadingTables());
}

/** Kills a share of the routers, the readers of the store among them. */
function killShare(
  fleet: simulatedFleet.SimulatedFleet,
  share: number,
  seed: number,
  survivingReaders = 0,
): void {
  const random = new core.SeededRandom(seed);
  const count = Math.round(fleet.running().length * share);
  const allReaders = readersOf(fleet);
  const readers = allReaders.slice(survivingReaders);
  for (const reader of readers) fleet.kill(reader);
  const others = fleet.running().filter(each => !allReaders.includes(each));
  for (let index = readers.length; index < count; index++) {
    const [router] = others.splice(random.nextInt(others.length), 1);
    fleet.kill(router!);
  }
}

describe('endpoints that leave', () => {
  for (const {routers, zones, seed} of [
    {routers: 141, zones: 4, seed: 1},
    {routers: 141, zones: 4, seed: 2},
    {routers: 141, zones: 4, seed: 3},
    {routers: 19, zones: 3, seed: 1},
    {routers: 19, zones: 3, seed: 2},
    {routers: 19, zones: 3, seed: 3},
  ]) {
    it(`is unused in time once removed, 0.6 of ${routers} routers and all readers killed 1 s before (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = await startFleet({routers, endpoints: 88, zones, seed});
      killShare(fleet, 0.6, seed);
      await fleet.clock.advance(1_000);
      fleet.endpoints.put('e7', undefined);
      const {totalMs, late} = await timeUntilUnused(fleet, ['e7']);
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.stop();
    });
  }

  for (const {routers, zones, seed} of [
    {routers: 141, zones: 4, seed: 1},
    {routers: 141, zones: 4, seed: 2},
    {routers: 141, zones: 4, seed: 3},
    {routers: 19, zones: 3, seed: 1},
    {routers: 19, zones: 3, seed: 2},
    {routers: 19, zones: 3, seed: 3},
  ]) {
    it(`is unused in time where one reader of ${routers} routers survives (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = await startFleet({routers, endpoints: 88, zones, seed});
      killShare(fleet, 0.6, seed, 1);
      await fleet.clock.advance(1_000 + 200 * seed);
      fleet.endpoints.put('e7', undefined);
      const {totalMs, late} = await timeUntilUnused(fleet, ['e7']);
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.stop();
    });
  }

  for (const {count, seed, loss} of [
    {count: 1, seed: 5, loss: 0.1},
    {count: 1, seed: 6, loss: 0.1},
    {count: 1, seed: 7, loss: 0.1},
    {count: 40, seed: 5, loss: 0.02},
    {count: 40, seed: 6, loss: 0.02},
  ]) {
    it(`are unused in time where ${count} drain and 0.6 of 141 routers were killed, at ${loss} loss (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = await startFleet({
        routers: 141,
        endpoints: 88,
        zones: 4,
        seed,
        loss,
      });
      killShare(fleet, 0.6, seed, 2);
      await fleet.clock.advance(1_000);
      const ids = [...Array(count).keys()].map(index => `e${index}`);
      for (const id of ids) {
        fleet.endpoints.put(id, fleet.endpoint(id, true));
      }
      const {totalMs, late} = await timeUntilUnused(fleet, ids);
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.stop();
    });
  }

  it('costs no fetch of state by all routers where one endpoint drains and leaves', async function () {
    this.timeout(120_000);
    const fleet = await startFleet({routers: 141, endpoints: 88, zones: 4});
    await fleet.clock.advance(15_000);
    fleet.endpoints.put('e7', fleet.endpoint('e7', true));
    await fleet.clock.advance(4_000);
    const draining = fleet.stateFetches;
    fleet.endpoints.put('e7', undefined);
    await fleet.clock.advance(6_000);
    const gone = fleet.stateFetches;
    expect(gone - draining).to.be.below(20);
    await fleet.stop();
  });

  for (const seed of [1, 2, 3]) {
    it(`is unused in time once removed, where the readers are killed a second time (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = await startFleet({
        routers: 19,
        endpoints: 88,
        zones: 3,
        seed,
      });
      const killed = readersOf(fleet);
      for (const reader of killed) fleet.kill(reader);
      await fleet.clock.advance(6_000);
      for (const reader of killed) fleet.restart(reader);
      await fleet.clock.advance(10_000);
      for (const reader of readersOf(fleet)) fleet.kill(reader);
      await fleet.clock.advance(1_000);
      fleet.endpoints.put('e7', undefined);
      const {totalMs, late} = await timeUntilUnused(fleet, ['e7']);
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.stop();
    });
  }
});
