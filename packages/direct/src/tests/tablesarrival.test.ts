/** How long requests wait for the first tables of their router. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const TABLES: direct.Tables = {
  version: 1,
  routes: [],
  pools: [],
  limits: {maxBodyBytes: 1, idleMs: 1},
};

describe('a request that arrives before the first tables', () => {
  let clock: virtualClock.VirtualClock;
  let tables: direct.IndexedTables;
  let arrival: direct.BoundedTablesArrival;
  let endsMs: number[];

  beforeEach(() => {
    const kernel = new core.Kernel();
    clock = new virtualClock.VirtualClock();
    kernel.register(core.CLOCK, clock);
    kernel.register(core.LOGGER, new core.SilentLogger());
    tables = new direct.IndexedTables(kernel);
    kernel.register(direct.ACTIVE_TABLES, tables);
    kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
    arrival = new direct.BoundedTablesArrival(kernel);
    endsMs = [];
  });

  const wait = (timeoutMs?: number, caller = new AbortController()) => {
    const run = async () => {
      await arrival.wait(timeoutMs, caller.signal);
      endsMs.push(clock.nowMs());
    };
    void run();
  };

  it('goes on when they are in force', async () => {
    wait(8_000);
    await clock.advance(400);
    tables.activate(TABLES, 'store');
    await clock.advance(10);
    expect(endsMs).to.have.length(1);
    expect(endsMs[0]).to.be.within(400, 410);
  });

  it('waits a bounded time, and less than a third of its own', async () => {
    wait(30_000);
    wait(1_200);
    await clock.advance(2_000);
    expect(endsMs[0]).to.be.below(400);
    expect(endsMs[1]).to.be.below(1_000);
  });

  it('ends when its caller leaves', async () => {
    const caller = new AbortController();
    wait(8_000, caller);
    await clock.advance(50);
    caller.abort();
    await clock.advance(5);
    expect(endsMs).to.deep.equal([50]);
  });

  it('does not wait if many do already', async () => {
    for (let count = 0; count < 200; count++) wait(8_000);
    await clock.advance(1);
    expect(endsMs).to.have.length(200 - 128);
  });
});
