/**
 * Guards against endpoints that are cold and crash under more requests than
 * they bear: four routers under many callers.
 */
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const ROUTERS = 4;
const COLD_PER_SECOND = 4;

/** Most requests in a second to a cold endpoint. */
const MAX_IN_SECOND = 1.5 * COLD_PER_SECOND + 5;

const CALL_INTERVAL_MS = 30;

describe('a cold endpoint', function () {
  this.timeout(60_000);
  let fleet: support.DirectFleet;
  let cold: standins.HostedEndpoint;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, ROUTERS);
    const pool = {name: 'pool', warmupS: 2, coldPerS: COLD_PER_SECOND};
    const services = [{...pool, healthPath: '/health'}];
    fleet.store.put('keyed.op', 'config', support.config(2, {services}));
    await polling.until('version 2', () =>
      fleet.kernels.every((kernel, router) => fleet.version(router) === 2),
    );
    cold = fleet.endpoints[0]!;
  });

  afterEach(() => fleet.stop());

  const putCold = async (warmupLeftMs: number) => {
    fleet.store.put('keyed.servers', cold.id, {...cold.entry(), warmupLeftMs});
    await polling.until('all know', () =>
      fleet.kernels.every(kernel => {
        const endpoint = kernel.find(direct.ENDPOINT_REGISTRY).find(cold.id)!;
        return kernel.find(direct.COLD_STARTS).limitOf(endpoint) !== undefined;
      }),
    );
  };

  /** Calls through all routers; returns the arrivals in each second. */
  const callFor = async (seconds: number) => {
    const arrivals: number[] = [];
    const calls: Array<Promise<support.ReceivedResponse>> = [];
    for (let second = 0; second < seconds; second++) {
      const before = cold.arrivalCount;
      const endMs = performance.now() + 1_000;
      while (performance.now() < endMs) {
        for (let router = 0; router < ROUTERS; router++) {
          calls.push(fleet.call('/read/a', {}, router));
        }
        await new Promise(resolve => setTimeout(resolve, CALL_INTERVAL_MS));
      }
      arrivals.push(cold.arrivalCount - before);
    }
    const responses = await Promise.all(calls);
    const statuses = new Set(responses.map(({status}) => status));
    return {arrivals, statuses: [...statuses]};
  };

  it('gets no more than it bears, some all the same, and others take the rest', async () => {
    await putCold(30_000);
    const {arrivals, statuses} = await callFor(3);
    for (const count of arrivals) expect(count).to.be.at.most(MAX_IN_SECOND);
    expect(Math.max(...arrivals)).to.be.above(0);
    expect(statuses).to.deep.equal([200]);
  });

  it('gets its share once it is warm', async () => {
    await putCold(1_500);
    await new Promise(resolve => setTimeout(resolve, 2_500));
    const {arrivals, statuses} = await callFor(2);
    expect(Math.max(...arrivals)).to.be.above(MAX_IN_SECOND);
    expect(statuses).to.deep.equal([200]);
  });
});
