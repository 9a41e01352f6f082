/**
 * Large tables at many small routers over virtual time, with the costs of links
 * and processors: how long until each version is in force.
 */
import * as chai from 'chai';
import * as simulatedFleet from './simulatedfleet.js';
import * as versionLag from './versionlag.js';

const {expect} = chai;

/** Time in which a version has to be in force, in ms, by site. */
const GROWN_CONFIG_MS = 3_000;
const SMALL_CONFIG_MS = 2_000;

/** Routes of the first version, and with the large additions. */
const FIRST_ROUTES = 250;
const MORE_ROUTES = 1_050;
const MOST_ROUTES = 1_650;

const TEST_TIMEOUT_MS = 300_000;

/** Versions that follow each other. */
interface Storm {
  readonly intervalMs: number;
  readonly durationMs: number;
}

const STORMS: readonly Storm[] = [
  {intervalMs: 220, durationMs: 3_000},
  {intervalMs: 60, durationMs: 1_500},
];

interface Started {
  readonly fleet: simulatedFleet.SimulatedFleet;
  readonly watch: versionLag.LagWatch;
}

async function start(
  routes: number,
  overrides: Partial<simulatedFleet.SimulatedFleetOptions> = {},
  configMs = GROWN_CONFIG_MS,
): Promise<Started> {
  const fleet = new simulatedFleet.SimulatedFleet({
    routers: versionLag.GROWN_ROUTERS,
    zones: versionLag.GROWN_ZONES,
    endpoints: 94,
    costs: versionLag.SMALL_ROUTER_COSTS,
    tables: versionLag.grownTables(1, routes),
    ...overrides,
  });
  await fleet.start();
  await fleet.clock.advance(20_000);
  const versions = new Set(fleet.running().map(each => fleet.version(each)));
  expect([...versions], 'versions at rest').to.deep.equal([1]);
  return {fleet, watch: new versionLag.LagWatch(fleet, configMs)};
}

/** Puts versions at the interval; returns the last one. */
async function storm(
  watch: versionLag.LagWatch,
  firstVersion: number,
  {intervalMs, durationMs}: Storm,
): Promise<number> {
  let version = firstVersion;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
    watch.put(versionLag.grownTables(version++, MORE_ROUTES));
    await watch.advance(intervalMs);
  }
  return version - 1;
}

/** Expects all versions to have come into force in time at routers in touch. */
async function expectInTime(
  {fleet, watch}: Started,
  configMs = GROWN_CONFIG_MS,
): Promise<void> {
  await watch.settle(30_000);
  const report = watch.report();
  const text = JSON.stringify(report);
  await fleet.stop();
  expect(report.longestLagMs, text).to.be.at.most(configMs);
}

describe('large tables at 141 routers with links of 10 Mbit/s', function () {
  this.timeout(TEST_TIMEOUT_MS);

  for (const routes of [MORE_ROUTES, MOST_ROUTES]) {
    it(`are in force in time when the routes grow from ${FIRST_ROUTES} to ${routes}`, async () => {
      const started = await start(FIRST_ROUTES);
      started.watch.put(versionLag.grownTables(2, routes));
      await expectInTime(started);
    });
  }

  for (const each of STORMS) {
    const {intervalMs, durationMs} = each;
    it(`are in force in time while versions follow each other in ${intervalMs} ms for ${durationMs} ms`, async () => {
      const started = await start(MORE_ROUTES);
      await storm(started.watch, 2, each);
      await expectInTime(started);
    });

    it(`are in force in time while versions follow each other in ${intervalMs} ms for ${durationMs} ms and half of the routers restart in turn`, async () => {
      const started = await start(MORE_ROUTES);
      const {fleet, watch} = started;
      const restarts = fleet.routers.slice(0, 70);
      let version = 2;
      for (let first = 0; first < restarts.length; first += 7) {
        const group = restarts.slice(first, first + 7);
        for (const router of group) watch.restart(router);
        if (first % 21 === 0) {
          version = (await storm(watch, version, each)) + 1;
        } else {
          await watch.advance(1_450);
        }
      }
      await expectInTime(started);
    });
  }

  it('are in force in time while the store turns a third of the routers away and takes keys away', async () => {
    const started = await start(MORE_ROUTES);
    const {fleet, watch} = started;
    for (const [index, router] of fleet.routers.entries()) {
      router.isTurnedAway = index % 3 === 0;
    }
    for (let version = 2; version < 10; version++) {
      watch.put(versionLag.grownTables(version, MORE_ROUTES, version - 1));
      await watch.advance(900);
    }
    await expectInTime(started);
  });

  it('are in force in time when routers that were cut off for 5 s return', async () => {
    const started = await start(FIRST_ROUTES);
    const {fleet, watch} = started;
    const cutRouters = fleet.routers.filter(({name}) => name.endsWith('6'));
    for (const router of cutRouters) router.isCut = router.isTurnedAway = true;
    await fleet.clock.advance(1_000);
    fleet.putConfig(versionLag.grownTables(2, MORE_ROUTES));
    await fleet.clock.advance(4_000);
    for (const router of cutRouters) router.isCut = router.isTurnedAway = false;
    // All others have had 4 s, and these are in touch 3 s from now.
    watch.putNow(2);
    await expectInTime(started);
  });

  for (const routes of [FIRST_ROUTES, MORE_ROUTES, MOST_ROUTES]) {
    it(`with ${routes} routes are in force 3 s after the whole fleet started`, async () => {
      const fleet = new simulatedFleet.SimulatedFleet({
        routers: versionLag.GROWN_ROUTERS,
        zones: versionLag.GROWN_ZONES,
        endpoints: 94,
        costs: versionLag.SMALL_ROUTER_COSTS,
        tables: versionLag.grownTables(1, routes),
      });
      await fleet.start();
      const haveTables = () =>
        fleet.running().every(router => fleet.version(router) === 1);
      const startMs = await fleet.clock.until(haveTables, 30_000);
      const failed = fleet.routers.reduce(
        (sum, {transfers}) => sum + transfers.failedFetches,
        0,
      );
      await fleet.stop();
      expect(startMs, `${failed} failed fetches`).to.be.at.most(3_000);
    });
  }
});

describe('large tables at 19 routers with links of 700 Mbit/s', function () {
  this.timeout(TEST_TIMEOUT_MS);

  for (const routes of [MORE_ROUTES, MOST_ROUTES]) {
    it(`are in force in time when the routes grow from ${FIRST_ROUTES} to ${routes}`, async () => {
      const started = await start(
        FIRST_ROUTES,
        {routers: 19, zones: 3, costs: versionLag.SMALL_SITE_COSTS},
        SMALL_CONFIG_MS,
      );
      started.watch.put(versionLag.grownTables(2, routes));
      await expectInTime(started, SMALL_CONFIG_MS);
    });
  }
});
