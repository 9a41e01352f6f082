/** A line of waiting requests: each wait ends once, and no place is lost. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as waitQueue from '../waitqueue.js';

const {expect} = chai;

const SEED = 414;
const RUNS = 400;
const MAX_QUEUED = 4;

/** A clock whose time and sleepers move on when the test says so. */
class StepClock implements core.Clock {
  private timeMs = 0;
  private readonly sleepers = new Map<() => void, number>();

  nowMs(): number {
    return this.timeMs;
  }

  wallMs(): number {
    return this.timeMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.sleepers.delete(wake);
        resolve();
      };
      this.sleepers.set(wake, this.timeMs + delayMs);
      signal?.addEventListener('abort', wake);
    });
  }

  advance(byMs: number): void {
    this.timeMs += byMs;
    for (const [wake, dueMs] of this.sleepers) {
      if (dueMs <= this.timeMs) wake();
    }
  }
}

/** Lets all that is due run. */
const settle = () => new Promise(resolve => setImmediate(resolve));

interface Waiter {
  readonly leaves: AbortController;
  result?: waitQueue.WaitResult<number>;
}

/** A line before a few places, with a count of those given and held. */
class Bench {
  readonly waiters: Waiter[] = [];
  readonly clock = new StepClock();
  taken = 0;
  private readonly own: waitQueue.WaitQueue<number>;

  constructor(private readonly places: number) {
    const queue = new decide.FairQueue<waitQueue.QueueEntry<number>>({
      maxQueued: MAX_QUEUED,
    });
    this.own = new waitQueue.WaitQueue(queue, this.clock);
  }

  get size(): number {
    return this.own.size;
  }

  wait(customer: string, priority: number, waitMs: number): Waiter {
    const waiter: Waiter = {leaves: new AbortController()};
    this.waiters.push(waiter);
    void this.own
      .wait({
        customer,
        priority,
        untilMs: this.clock.nowMs() + waitMs,
        callerGone: waiter.leaves.signal,
        tryGrant: () => this.choose(),
      })
      .then(result => (waiter.result = result));
    return waiter;
  }

  /** Gives one place back that is held. */
  release(): void {
    if (this.taken > 0) this.taken -= 1;
    this.own.grantWaiting();
  }

  pump(): void {
    this.own.grantWaiting();
  }

  isAhead(priority: number): boolean {
    return this.own.hasWaiter(priority);
  }

  granted(): number {
    return this.waiters.filter(({result}) => result?.type === 'granted').length;
  }

  private choose(): number | undefined {
    if (this.taken >= this.places) return undefined;
    this.taken += 1;
    return this.taken;
  }
}

const STEP = fc.record({
  type: fc.constantFrom('wait', 'wait', 'wait', 'release', 'leave', 'advance'),
  customer: fc.constantFrom('a', 'a', 'b', 'c'),
  priority: fc.nat(2),
  waitMs: fc.integer({min: 1, max: 30}),
  pick: fc.nat(100),
  /** Whether the tasks go on before the next step. */
  isSettled: fc.boolean(),
});

describe('a line', () => {
  it('gives places in order of priority', async () => {
    const bench = new Bench(1);
    const late = bench.wait('a', 2, 100);
    const urgent = bench.wait('b', 0, 100);
    expect(bench.isAhead(0)).to.equal(true);
    bench.pump();
    await settle();
    expect(urgent.result?.type).to.equal('granted');
    expect(late.result).to.equal(undefined);
    expect(bench.isAhead(1)).to.equal(false);
    bench.release();
    await settle();
    expect(late.result?.type).to.equal('granted');
  });

  it('lets customers take turns', async () => {
    const bench = new Bench(1);
    const flood = [0, 1, 2].map(() => bench.wait('a', 1, 100));
    const single = bench.wait('b', 1, 100);
    bench.pump();
    bench.release();
    await settle();
    const types = flood.map(({result}) => result?.type);
    expect(types).to.deep.equal(['granted', undefined, undefined]);
    expect(single.result?.type).to.equal('granted');
  });

  it('ends a wait when its time is up, and gives it no place', async () => {
    const bench = new Bench(1);
    const waiter = bench.wait('a', 1, 10);
    bench.clock.advance(11);
    bench.pump();
    await settle();
    expect(waiter.result?.type).to.equal('expired');
    expect(bench.taken).to.equal(0);
  });

  it('ends the wait of a caller that leaves, or has left before', async () => {
    const bench = new Bench(1);
    const leaving = bench.wait('a', 1, 10);
    leaving.leaves.abort();
    await settle();
    expect(leaving.result?.type).to.equal('gone');
    const queue = new decide.FifoQueue<waitQueue.QueueEntry<number>>({
      maxQueued: 1,
    });
    const own = new waitQueue.WaitQueue(queue, bench.clock);
    const callerGone = AbortSignal.abort();
    const wait = {customer: 'a', priority: 1, untilMs: 1e6, callerGone};
    const result = own.wait({...wait, tryGrant: () => 1});
    own.grantWaiting();
    expect((await result).type).to.equal('gone');
    expect(own.size).to.equal(0);
  });

  it('refuses at once where it is full of as deserving ones', async () => {
    const bench = new Bench(0);
    const first = bench.wait('a', 1, 100);
    for (const customer of ['a', 'b', 'b']) bench.wait(customer, 1, 100);
    const refused = bench.wait('a', 1, 100);
    const fresh = bench.wait('c', 1, 100);
    await settle();
    expect(refused.result?.type).to.equal('refused');
    expect(fresh.result, 'a customer with none displaces').to.equal(undefined);
    expect(first.result).to.equal(undefined);
    expect(bench.size).to.equal(MAX_QUEUED);
  });

  it('leaks no place in any order of grant, expiry, leaving, loss', async () => {
    const steps = fc.array(STEP, {maxLength: 60});
    const places = fc.integer({min: 0, max: 3});
    const property = fc.asyncProperty(places, steps, async (most, all) => {
      const bench = new Bench(most);
      let released = 0;
      for (const step of all) {
        const {type, customer, priority, waitMs, pick} = step;
        if (type === 'wait') bench.wait(customer, priority, waitMs);
        else if (type === 'advance') bench.clock.advance(waitMs);
        else if (type === 'leave') {
          bench.waiters[pick % bench.waiters.length]?.leaves.abort();
        } else {
          if (bench.taken > 0) released += 1;
          bench.release();
        }
        if (step.isSettled) await settle();
        expect(bench.taken).to.be.at.most(most);
      }
      bench.clock.advance(1_000);
      await settle();
      const ended = bench.waiters.filter(({result}) => result !== undefined);
      expect(ended.length).to.equal(bench.waiters.length);
      expect(bench.size).to.equal(0);
      expect(bench.granted()).to.equal(released + bench.taken);
    });
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
