/** Edits in force, and boots without the log, with real processes. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as members from './members.js';
import * as waiting from './until.js';

const ROUTERS = 8;
const EDITS = 10;
const PROMISED_MS = 5_000;

function setRoute(path: string): core.Edit {
  const match = {path_prefix: path};
  const row = {name: path.slice(1), match, pool: 'shops'};
  return members.setRows([{table: 'routes', row}]);
}

async function isServed(router: standins.Member, path: string) {
  const result = await members.call(router, {method: 'GET', path});
  return members.kindOf(result) !== 'no_route';
}

describe('configuration of a fleet', () => {
  const fleet = members.createFleet();
  let routers: standins.Member[] = [];

  before(async () => {
    await fleet.start();
    await members.setOrders(fleet, ['s']);
    const names = [...Array(ROUTERS).keys()].map(index => `r${index}`);
    const service = fleet.addService({name: 's'});
    routers = await Promise.all(names.map(name => fleet.addRouter({name})));
    await service;
    const allReady = async () => {
      const ready = await Promise.all(routers.map(members.isReady));
      return ready.every(Boolean);
    };
    await waiting.until('all are ready', allReady);
  });

  after(() => fleet.stop());

  it('has an edit in force on all routers within 5 s', async () => {
    const timesMs: number[] = [];
    for (let count = 0; count < EDITS; count++) {
      const path = `/e${count}`;
      const beganMs = performance.now();
      await members.append(fleet, core.CONFIG_STREAM, setRoute(path));
      const measure = async (router: standins.Member) => {
        await waiting.until('in force', () => isServed(router, path));
        timesMs.push(performance.now() - beganMs);
      };
      await Promise.all(routers.map(measure));
    }
    timesMs.sort((left, right) => left - right);
    const median = timesMs[Math.floor(timesMs.length / 2)] ?? 0;
    const longest = timesMs.at(-1) ?? Number.NaN;
    process.stdout.write(
      `      in force: n ${timesMs.length}, p50 ${median.toFixed(1)} ms, max ${longest.toFixed(1)} ms\n`,
    );
    chai.expect(longest).to.be.lessThan(PROMISED_MS);
  });

  it('boots from peers while the log is down, and not alone', async () => {
    await fleet.controlPlatform({log_down: true});
    const router = await fleet.addRouter({name: 'late', isListed: false});
    const early = await members.call(router, {method: 'GET', path: '/e0'});
    chai.expect(members.kindOf(early)).to.equal('not_ready');
    await fleet.list('late');
    await waiting.until('late is ready', () => members.isReady(router));
    const served = await members.call(router, {method: 'GET', path: '/e0'});
    chai.expect(members.kindOf(served)).to.equal('answered');
    const counts = await members.countRuns(fleet, ['s']);
    chai.expect(members.findUntrue([early], counts)).to.deep.equal([]);
  });
});

describe('a router alone', () => {
  const fleet = members.createFleet();

  before(async () => {
    await fleet.start();
    await members.setOrders(fleet, ['s']);
    await fleet.addService({name: 's'});
  });

  after(() => fleet.stop());

  it('takes no requests before it can know, and once it is stale', async () => {
    await fleet.controlPlatform({log_down: true});
    const flags = ['--stale-config-ms', '800'];
    const router = await fleet.addRouter({name: 'r', flags});
    const results: standins.CallResult[] = [];
    const send = async () => {
      const request = {idempotencyKey: core.createId()};
      const result = await members.call(router, request);
      results.push(result);
      return members.kindOf(result);
    };
    chai.expect(await send()).to.equal('not_ready');
    await fleet.controlPlatform({log_down: false});
    await waiting.until('r is ready', () => members.isReady(router));
    await fleet.controlPlatform({log_down: true});
    const isStale = async () => (await send()) === 'stale_config';
    await waiting.until('r is stale', isStale);
    const counts = await members.countRuns(fleet, ['s']);
    chai.expect(members.findUntrue(results, counts)).to.deep.equal([]);
  });
});
