/** Second sends: which requests get one, and what becomes of the two. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedPool from './simulatedpool.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const WORK_MS = 40;
const SLOWNESS = 20;

describe('a request that its endpoint holds unusually long', () => {
  let clock: virtualClock.VirtualClock;
  let endpoints: simulatedPool.SimulatedEndpoint[];
  let router: simulatedPool.SimulatedRouter;
  let outcomes: Map<string, direct.RequestOutcome>;

  const serve = (
    id: string,
    repeat: 'idempotent' | 'once',
    leavesAfterMs?: number,
  ) => {
    const run = async () => {
      const fields = {customer: 'c', priority: 1, workMs: WORK_MS};
      const times = {goalMs: 2_000, timeoutMs: 4_000};
      const request = {id, repeat, ...fields, ...times};
      outcomes.set(id, await router.serve(request, leavesAfterMs));
    };
    void run();
  };

  const ranIds = () => endpoints.flatMap(endpoint => endpoint.ranIds);

  beforeEach(async () => {
    clock = new virtualClock.VirtualClock();
    endpoints = ['e0', 'e1'].map(
      id => new simulatedPool.SimulatedEndpoint(clock, id, 4, 4),
    );
    const random = new core.SeededRandom(1);
    router = new simulatedPool.SimulatedRouter(
      clock,
      endpoints,
      simulatedPool.wiredDecisions(random),
      random,
    );
    outcomes = new Map();
    // Enough for the times to be known, and for a credit of second sends.
    for (let count = 0; count < 60; count++) {
      serve(`warm${count}`, 'idempotent');
      await clock.advance(WORK_MS);
    }
    for (const endpoint of endpoints) endpoint.ranIds.length = 0;
  });

  it('is sent to a second one, whose answer it gets', async () => {
    endpoints[0]!.slowness = SLOWNESS;
    const ids = Array.from({length: 8}, (...[, index]) => `q${index}`);
    for (const id of ids) {
      serve(id, 'idempotent');
      await clock.advance(WORK_MS * 10);
    }
    const results = ids.map(id => outcomes.get(id));
    expect(results.some(each => each?.secondSend === 'won')).to.equal(true);
    for (const each of results) {
      if (each?.secondSend) expect(each.type).to.equal('answered');
    }
    const maxAtOnce = 3;
    expect(ranIds().length).to.be.at.most(ids.length + maxAtOnce);
  });

  it('is not sent again if it must run once', async () => {
    for (const endpoint of endpoints) endpoint.slowness = SLOWNESS;
    for (const id of ['q1', 'q2', 'q3']) serve(id, 'once');
    await clock.advance(WORK_MS * SLOWNESS * 2);
    expect(ranIds().sort()).to.deep.equal(['q1', 'q2', 'q3']);
    expect(outcomes.get('q1')?.secondSend).to.equal(undefined);
  });

  it('is ended at both when its caller leaves', async () => {
    for (const endpoint of endpoints) endpoint.slowness = SLOWNESS;
    serve('q1', 'idempotent', WORK_MS * 8);
    await clock.advance(WORK_MS * 8 + 5);
    expect(ranIds()).to.deep.equal(['q1', 'q1']);
    const outcome = outcomes.get('q1');
    const kind = outcome?.type === 'failed' && outcome.failure.kind;
    expect(kind).to.equal('caller_gone');
    expect(String(outcome?.runs)).to.equal('may_run,may_run');
    expect(endpoints.map(({busySlots}) => busySlots)).to.deep.equal([0, 0]);
  });

  it('frees the place at the slower endpoint', async () => {
    endpoints[0]!.slowness = SLOWNESS;
    for (const id of ['q1', 'q2', 'q3']) {
      serve(id, 'idempotent');
      await clock.advance(WORK_MS * 10);
    }
    expect(endpoints.map(({busySlots}) => busySlots)).to.deep.equal([0, 0]);
  });
});
