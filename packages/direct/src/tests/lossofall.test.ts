/**
 * The return of a whole fleet after a loss of power while the store does not
 * answer, over virtual time: how long from the store's return until the tables
 * are in force at all routers, and how many calls to the store that takes.
 */
import * as chai from 'chai';
import * as simulatedFleet from './simulatedfleet.js';
import * as versionLag from './versionlag.js';

const {expect} = chai;

const ROUTES = 1_050;
const SILENT_MS = 3_500;
const STEP_MS = 20;

/** Longest time until half of the routers, and all, have the tables, in ms. */
const HALF_MS = 400;
const ALL_MS = 700;

/** Sizes of fleets, with the most calls to the store for each router. */
const SIZES = [
  {routers: 17, maxCalls: 10, seeds: [1, 2, 3]},
  {routers: 122, maxCalls: 6, seeds: [1]},
];

interface Return {
  readonly halfMs: number;
  readonly allMs: number;
  /** Calls of all routers since they started. */
  readonly storeCalls: number;
}

/** Ends all routers, starts them again, and measures from the store's return. */
async function loseAll(routers: number, seed: number): Promise<Return> {
  const fleet = new simulatedFleet.SimulatedFleet({
    routers,
    zones: 3,
    endpoints: 68,
    costs: versionLag.SMALL_ROUTER_COSTS,
    tables: versionLag.grownTables(1, ROUTES),
    seed,
  });
  await fleet.start();
  await fleet.clock.advance(10_000);
  fleet.isStoreSilent = true;
  for (const router of fleet.running()) fleet.kill(router);
  await fleet.clock.advance(500);
  for (const router of [...fleet.routers]) fleet.restart(router);
  await fleet.clock.advance(SILENT_MS);
  fleet.isStoreSilent = false;
  const countServed = () =>
    fleet.running().filter(router => fleet.version(router) === 1).length;
  let elapsedMs = 0;
  let halfMs: number | undefined;
  while (countServed() < routers && elapsedMs < 30_000) {
    await fleet.clock.advance(STEP_MS);
    elapsedMs += STEP_MS;
    if (countServed() * 2 >= routers) halfMs ??= elapsedMs;
  }
  const storeCalls = fleet
    .running()
    .reduce((sum, {storeCalls}) => sum + storeCalls, 0);
  await fleet.stop();
  return {halfMs: halfMs ?? Infinity, allMs: elapsedMs, storeCalls};
}

describe('a fleet that lost power while the store does not answer', function () {
  this.timeout(120_000);

  for (const {routers, maxCalls, seeds} of SIZES) {
    it(`has the tables soon after the store's return at ${routers} routers`, async () => {
      for (const seed of seeds) {
        const found = await loseAll(routers, seed);
        const text = JSON.stringify(found);
        expect(found.halfMs, text).to.be.at.most(HALF_MS);
        expect(found.allMs, text).to.be.at.most(ALL_MS);
        expect(found.storeCalls / routers, text).to.be.at.most(maxCalls);
      }
    });
  }
});
