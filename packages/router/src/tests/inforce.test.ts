/** Propagation of edits, and starts without the log, with real processes. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as fleetCalls from './fleetcalls.js';
import * as polling from './polling.js';

const ROUTERS = 8;
const EDITS = 10;
const MAX_PROPAGATION_MS = 5_000;

function createRouteEdit(path: string): core.Edit {
  const match = {path_prefix: path};
  const row = {name: path.slice(1), match, pool: 'shops'};
  return fleetCalls.createRowsEdit([{table: 'routes', row}]);
}

async function hasRoute(router: standins.Member, path: string) {
  const result = await fleetCalls.call(router, {method: 'GET', path});
  return fleetCalls.kindOf(result) !== 'no_route';
}

describe('configuration of a fleet', () => {
  const fleet = fleetCalls.createFleet();
  let routers: standins.Member[] = [];

  before(async () => {
    await fleet.start();
    await fleetCalls.addOrdersRoute(fleet, ['s']);
    const names = [...Array(ROUTERS).keys()].map(index => `r${index}`);
    const service = fleet.addService({name: 's'});
    routers = await Promise.all(names.map(name => fleet.addRouter({name})));
    await service;
    const areAllReady = async () => {
      const ready = await Promise.all(routers.map(fleetCalls.isReady));
      return ready.every(Boolean);
    };
    await polling.until('all routers to be ready', areAllReady);
  });

  after(() => fleet.stop());

  it('has each edit in force at all routers within 5 s', async () => {
    const delaysMs: number[] = [];
    for (let count = 0; count < EDITS; count++) {
      const path = `/e${count}`;
      const startMs = performance.now();
      await fleetCalls.appendRecord(
        fleet,
        core.CONFIG_STREAM,
        createRouteEdit(path),
      );
      const measureDelay = async (router: standins.Member) => {
        await polling.until('the edit to be in force', () =>
          hasRoute(router, path),
        );
        delaysMs.push(performance.now() - startMs);
      };
      await Promise.all(routers.map(measureDelay));
    }
    delaysMs.sort((left, right) => left - right);
    const medianMs = delaysMs[Math.floor(delaysMs.length / 2)] ?? 0;
    const longestMs = delaysMs.at(-1) ?? Number.NaN;
    process.stdout.write(
      `      in force: n ${delaysMs.length}, p50 ${medianMs.toFixed(1)} ms, max ${longestMs.toFixed(1)} ms\n`,
    );
    chai.expect(longestMs).to.be.lessThan(MAX_PROPAGATION_MS);
  });

  it('is read from peers by a router that starts while the log is down, once listed', async () => {
    await fleet.setPlatformFaults({log_down: true});
    const router = await fleet.addRouter({name: 'late', isListed: false});
    const earlyAnswer = await fleetCalls.call(router, {
      method: 'GET',
      path: '/e0',
    });
    chai.expect(fleetCalls.kindOf(earlyAnswer)).to.equal('not_ready');
    await fleet.putOnInstanceList('late');
    await polling.until('late to be ready', () => fleetCalls.isReady(router));
    const laterAnswer = await fleetCalls.call(router, {
      method: 'GET',
      path: '/e0',
    });
    chai.expect(fleetCalls.kindOf(laterAnswer)).to.equal('answered');
    const counts = await fleetCalls.countRuns(fleet, ['s']);
    chai
      .expect(fleetCalls.findFalseNotRun([earlyAnswer], counts))
      .to.deep.equal([]);
  });
});

describe('a single router', () => {
  const fleet = fleetCalls.createFleet();

  before(async () => {
    await fleet.start();
    await fleetCalls.addOrdersRoute(fleet, ['s']);
    await fleet.addService({name: 's'});
  });

  after(() => fleet.stop());

  it('refuses requests before it has a configuration and once it is stale', async () => {
    await fleet.setPlatformFaults({log_down: true});
    const flags = ['--stale-config-ms', '800'];
    const router = await fleet.addRouter({name: 'r', flags});
    const results: standins.CallResult[] = [];
    const send = async () => {
      const request = {idempotencyKey: core.createId()};
      const result = await fleetCalls.call(router, request);
      results.push(result);
      return fleetCalls.kindOf(result);
    };
    chai.expect(await send()).to.equal('not_ready');
    await fleet.setPlatformFaults({log_down: false});
    await polling.until('r to be ready', () => fleetCalls.isReady(router));
    await fleet.setPlatformFaults({log_down: true});
    const isStale = async () => (await send()) === 'stale_config';
    await polling.until('r to be stale', isStale);
    const counts = await fleetCalls.countRuns(fleet, ['s']);
    chai.expect(fleetCalls.findFalseNotRun(results, counts)).to.deep.equal([]);
  });
});
