/** Guards against calls that wait although all endpoints are idle. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as closedLoop from './closedloop.js';
import * as faultSupport from './faultsupport.js';
import * as fleetCalls from './fleetcalls.js';

const {expect} = chai;

const ROUTERS = ['r1', 'r2', 'r3'];
const CALLS = 100;
/** Half of the period of digests that no change causes. */
const MAX_DURATION_MS = 500;

describe('a pool whose endpoints are idle', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: ROUTERS.length,
      engines: 1,
      services: 2,
    });
    const route = {
      name: 'call',
      match: {path_prefix: '/call'},
      pool: 'services',
      repeatable: false,
      wait_ms: 5_000,
    };
    await faultSupport.createRows(fleet, [['routes', route]]);
    await faultSupport.waitForRoute(fleet, '/call');
  });

  after(() => fleet.stop());

  it('serves short calls, one after another, without a wait for a digest', async () => {
    const durationsMs: number[] = [];
    for (let count = 0; count < CALLS; count += 1) {
      const router = fleet.member(ROUTERS[count % ROUTERS.length]!);
      const startMs = performance.now();
      const result = await fleetCalls.call(router, {
        path: '/call',
        idempotencyKey: core.createId(),
      });
      durationsMs.push(performance.now() - startMs);
      expect(fleetCalls.kindOf(result)).to.equal('answered');
    }
    const slowestMs = Math.round(Math.max(...durationsMs));
    closedLoop.printMeasurements({slowest_ms: slowestMs});
    expect(slowestMs).to.be.below(MAX_DURATION_MS);
  });
});
