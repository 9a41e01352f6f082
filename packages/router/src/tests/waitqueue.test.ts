/** Guards against waits that never end and slots that are lost in a queue. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as waitQueue from '../waitqueue.js';

const {expect} = chai;

const SEED = 414;
const RUNS = 400;
const MAX_QUEUED = 4;

/** A clock that stands still until the test advances it. */
class StepClock implements core.Clock {
  private timeMs = 0;
  private readonly sleepers = new Map<() => void, number>();

  nowMs(): number {
    return this.timeMs;
  }

  wallClockMs(): number {
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

/** Lets all due tasks run. */
const runDueTasks = () => new Promise(resolve => setImmediate(resolve));

interface Waiter {
  readonly caller: AbortController;
  result?: waitQueue.WaitResult<number>;
}

/** A wait queue for a fixed number of slots, which it counts. */
class TestQueue {
  readonly waiters: Waiter[] = [];
  readonly clock = new StepClock();
  reserved = 0;
  private readonly queue: waitQueue.WaitQueue<number>;

  constructor(private readonly slots: number) {
    const queue = new decide.FairQueue<waitQueue.QueueEntry<number>>({
      maxQueued: MAX_QUEUED,
    });
    this.queue = new waitQueue.WaitQueue(queue, this.clock);
  }

  get size(): number {
    return this.queue.size;
  }

  wait(customer: string, priority: number, waitMs: number): Waiter {
    const waiter: Waiter = {caller: new AbortController()};
    this.waiters.push(waiter);
    void this.queue
      .wait({
        customer,
        priority,
        untilMs: this.clock.nowMs() + waitMs,
        callerGone: waiter.caller.signal,
        tryGrant: () => this.reserve(),
      })
      .then(result => (waiter.result = result));
    return waiter;
  }

  /** Releases one reserved slot, if any. */
  release(): void {
    if (this.reserved > 0) this.reserved -= 1;
    this.queue.grantWaiting();
  }

  grantWaiting(): void {
    this.queue.grantWaiting();
  }

  hasWaiter(priority: number): boolean {
    return this.queue.hasWaiter(priority);
  }

  countGranted(): number {
    return this.waiters.filter(({result}) => result?.type === 'granted').length;
  }

  private reserve(): number | undefined {
    if (this.reserved >= this.slots) return undefined;
    this.reserved += 1;
    return this.reserved;
  }
}

const STEP = fc.record({
  type: fc.constantFrom('wait', 'wait', 'wait', 'release', 'leave', 'advance'),
  customer: fc.constantFrom('a', 'a', 'b', 'c'),
  priority: fc.nat(2),
  waitMs: fc.integer({min: 1, max: 30}),
  waiterIndex: fc.nat(100),
  /** Whether the due tasks run before the next step. */
  isSettled: fc.boolean(),
});

describe('a wait queue', () => {
  it('grants slots in order of priority', async () => {
    const testQueue = new TestQueue(1);
    const lowPriority = testQueue.wait('a', 2, 100);
    const urgent = testQueue.wait('b', 0, 100);
    expect(testQueue.hasWaiter(0)).to.equal(true);
    testQueue.grantWaiting();
    await runDueTasks();
    expect(urgent.result?.type).to.equal('granted');
    expect(lowPriority.result).to.equal(undefined);
    expect(testQueue.hasWaiter(1)).to.equal(false);
    testQueue.release();
    await runDueTasks();
    expect(lowPriority.result?.type).to.equal('granted');
  });

  it('grants slots to customers in turn', async () => {
    const testQueue = new TestQueue(1);
    const flooding = [0, 1, 2].map(() => testQueue.wait('a', 1, 100));
    const single = testQueue.wait('b', 1, 100);
    testQueue.grantWaiting();
    testQueue.release();
    await runDueTasks();
    const types = flooding.map(({result}) => result?.type);
    expect(types).to.deep.equal(['granted', undefined, undefined]);
    expect(single.result?.type).to.equal('granted');
  });

  it('ends a wait at its deadline without taking a slot', async () => {
    const testQueue = new TestQueue(1);
    const waiter = testQueue.wait('a', 1, 10);
    testQueue.clock.advance(11);
    testQueue.grantWaiting();
    await runDueTasks();
    expect(waiter.result?.type).to.equal('expired');
    expect(testQueue.reserved).to.equal(0);
  });

  it('ends the wait of a caller that leaves during the wait or before it', async () => {
    const testQueue = new TestQueue(1);
    const leaving = testQueue.wait('a', 1, 10);
    leaving.caller.abort();
    await runDueTasks();
    expect(leaving.result?.type).to.equal('gone');
    const queue = new decide.FifoQueue<waitQueue.QueueEntry<number>>({
      maxQueued: 1,
    });
    const fifoQueue = new waitQueue.WaitQueue(queue, testQueue.clock);
    const callerGone = AbortSignal.abort();
    const wait = {customer: 'a', priority: 1, untilMs: 1e6, callerGone};
    const result = fifoQueue.wait({...wait, tryGrant: () => 1});
    fifoQueue.grantWaiting();
    expect((await result).type).to.equal('gone');
    expect(fifoQueue.size).to.equal(0);
  });

  it('refuses at once when full, except customers with no request waiting', async () => {
    const testQueue = new TestQueue(0);
    const first = testQueue.wait('a', 1, 100);
    for (const customer of ['a', 'b', 'b']) testQueue.wait(customer, 1, 100);
    const refused = testQueue.wait('a', 1, 100);
    const newcomer = testQueue.wait('c', 1, 100);
    await runDueTasks();
    expect(refused.result?.type).to.equal('refused');
    expect(
      newcomer.result,
      'a customer with no request waiting displaces another request',
    ).to.equal(undefined);
    expect(first.result).to.equal(undefined);
    expect(testQueue.size).to.equal(MAX_QUEUED);
  });

  it('loses no slot in any order of grant, expiry, leaving and refusal', async () => {
    const steps = fc.array(STEP, {maxLength: 60});
    const slotCounts = fc.integer({min: 0, max: 3});
    const property = fc.asyncProperty(
      slotCounts,
      steps,
      async (slots, plan) => {
        const testQueue = new TestQueue(slots);
        let released = 0;
        for (const step of plan) {
          const {type, customer, priority, waitMs, waiterIndex} = step;
          if (type === 'wait') testQueue.wait(customer, priority, waitMs);
          else if (type === 'advance') testQueue.clock.advance(waitMs);
          else if (type === 'leave') {
            testQueue.waiters[
              waiterIndex % testQueue.waiters.length
            ]?.caller.abort();
          } else {
            if (testQueue.reserved > 0) released += 1;
            testQueue.release();
          }
          if (step.isSettled) await runDueTasks();
          expect(testQueue.reserved).to.be.at.most(slots);
        }
        testQueue.clock.advance(1_000);
        await runDueTasks();
        const endedWaiters = testQueue.waiters.filter(
          ({result}) => result !== undefined,
        );
        expect(endedWaiters.length).to.equal(testQueue.waiters.length);
        expect(testQueue.size).to.equal(0);
        expect(testQueue.countGranted()).to.equal(
          released + testQueue.reserved,
        );
      },
    );
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
