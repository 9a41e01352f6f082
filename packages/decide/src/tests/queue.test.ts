/** Queues: no request is lost, customers take turns, a full queue is fair. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as deadlineHeap from '../deadlineheap.js';
import * as queue from '../queue.js';

const SEED = 20_263;
const RUNS = 1_000;
const NO_DEADLINE_MS = 1e9;
type Item = queue.QueuedRequest<number>;

function item(
  customer: string,
  value = 0,
  priority = 1,
  deadlineMs = NO_DEADLINE_MS,
) {
  return {customer, priority, deadlineMs, value};
}

function fill(
  requests: queue.RequestQueue<number>,
  customer: string,
  count: number,
) {
  for (let value = 0; value < count; value += 1) {
    requests.offer(item(customer, value));
  }
}

const STEP = fc.record({
  action: fc.constantFrom(
    'offer',
    'offer',
    'offer',
    'take',
    'expire',
    'remove',
  ),
  customer: fc.constantFrom('a', 'a', 'a', 'b', 'c'),
  priority: fc.nat(2),
  waitMs: fc.integer({min: 0, max: 40}),
  pick: fc.nat(100),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** Applies each step to the queue and to a plain list, and compares them. */
class Model {
  private items: Item[] = [];
  private nowMs = 0;

  constructor(
    private readonly requests: queue.RequestQueue<number>,
    private readonly maxQueued: number,
  ) {}

  applyStep(step: Step): void {
    this.nowMs += 1;
    if (step.action === 'offer') this.offer(step);
    else if (step.action === 'take') this.take();
    else if (step.action === 'expire') this.expire();
    else this.remove(this.items[step.pick % Math.max(1, this.items.length)]);
    chai.expect(this.requests.size).to.equal(this.items.length);
    chai.expect(this.requests.size).to.be.at.most(this.maxQueued);
  }

  private drop(removed: Item): void {
    chai.expect(this.items).to.include(removed);
    this.items = this.items.filter(other => other !== removed);
  }

  private offer({customer, priority, waitMs, pick}: Step): void {
    const added = item(customer, this.nowMs, priority, this.nowMs + waitMs);
    const isExpiredFirst = pick % 2 === 0;
    if (isExpiredFirst) this.expire();
    const isFull = this.items.length >= this.maxQueued;
    const offer = this.requests.offer(added);
    chai.expect(offer.type === 'queued').to.equal(!isFull);
    if (isFull && isExpiredFirst) this.checkDisplaced(customer, offer);
    if (offer.type === 'displaced') this.drop(offer.loser);
    if (offer.type !== 'refused') this.items.push(added);
  }

  private checkDisplaced(
    customer: string,
    offer: queue.OfferResult<number>,
  ): void {
    const itemsOf = (name: string) =>
      this.items.filter(other => other.customer === name);
    const largest = Math.max(
      ...['a', 'b', 'c'].map(name => itemsOf(name).length),
    );
    const hasFewer = itemsOf(customer).length < largest;
    chai.expect(offer.type).to.equal(hasFewer ? 'displaced' : 'refused');
    if (offer.type !== 'displaced') return;
    const largestQueue = itemsOf(offer.loser.customer);
    chai.expect(largestQueue.length).to.equal(largest);
    const leastUrgent = Math.max(...largestQueue.map(({priority}) => priority));
    const newest = largestQueue.findLast(
      ({priority}) => priority === leastUrgent,
    );
    chai.expect(offer.loser).to.equal(newest);
  }

  private take(): void {
    const ready = this.items.filter(({deadlineMs}) => deadlineMs >= this.nowMs);
    const peeked = this.requests.peek(this.nowMs);
    const taken = this.requests.take(this.nowMs);
    chai.expect(taken).to.equal(peeked);
    chai.expect(taken === undefined).to.equal(ready.length === 0);
    if (!taken) return;
    const {customer, priority} = taken;
    const highest = Math.min(...ready.map(other => other.priority));
    chai.expect(priority).to.equal(highest);
    const first = ready.find(
      other => other.customer === customer && other.priority === priority,
    );
    chai.expect(taken).to.equal(first);
    this.drop(taken);
  }

  private expire(): void {
    const expired = this.items.filter(
      ({deadlineMs}) => deadlineMs < this.nowMs,
    );
    chai.expect(this.requests.expire(this.nowMs)).to.have.members(expired);
    expired.forEach(each => this.drop(each));
  }

  private remove(removed: Item | undefined): void {
    if (!removed) return;
    chai.expect(this.requests.remove(removed)).to.equal(true);
    chai.expect(this.requests.remove(removed)).to.equal(false);
    this.drop(removed);
  }
}

describe('queue', () => {
  it("loses no request, returns one while any is ready, keeps each customer's order", () => {
    const runSteps = (steps: Step[], maxQueued: number) => {
      const requests = new queue.FairQueue<number>({maxQueued});
      const model = new Model(requests, maxQueued);
      for (const step of steps) model.applyStep(step);
    };
    const steps = fc.array(STEP, {maxLength: 120});
    const limits = fc.integer({min: 0, max: 12});
    fc.assert(fc.property(steps, limits, runSteps), {
      seed: SEED,
      numRuns: RUNS,
    });
  });

  it('serves a new customer within one round of turns', () => {
    const runSteps = (names: string[], taken: number) => {
      const requests = new queue.FairQueue<number>({maxQueued: 1_000});
      for (const name of names) requests.offer(item(name));
      for (let count = 0; count < taken; count += 1) requests.take(0);
      const single = item('single');
      requests.offer(single);
      const round = new Set<string>();
      for (;;) {
        const next = requests.take(0);
        if (next === single) return;
        chai.expect(round).not.to.include(next?.customer);
        round.add(next?.customer ?? '');
      }
    };
    const names = fc.array(fc.constantFrom('a', 'a', 'a', 'a', 'b', 'c'));
    fc.assert(fc.property(names, fc.nat(20), runSteps), {
      seed: SEED,
      numRuns: RUNS,
    });
  });

  it('finds the earliest deadline after any removals', () => {
    const runSteps = (times: number[], picks: number[]) => {
      const heap = new deadlineHeap.DeadlineHeap();
      let all = times.map(deadlineMs => ({deadlineMs, heapIndex: 0}));
      all.forEach(each => heap.add(each));
      const drop = (removed?: deadlineHeap.HeapEntry) => {
        if (removed) heap.remove(removed);
        all = all.filter(each => each !== removed);
        const earliestMs = Math.min(...all.map(({deadlineMs}) => deadlineMs));
        chai.expect(heap.peek()?.deadlineMs ?? Infinity).to.equal(earliestMs);
      };
      for (const pick of picks) drop(all[pick % Math.max(1, all.length)]);
      while (all.length > 0) drop(heap.peek());
    };
    const times = fc.array(fc.nat(999), {minLength: 20, maxLength: 60});
    const picks = fc.array(fc.nat(99), {minLength: 1, maxLength: 15});
    fc.assert(fc.property(times, picks, runSteps), {seed: SEED, numRuns: RUNS});
  });

  it('displaces a request of the customer with most requests from a full queue', () => {
    const requests = new queue.FairQueue<number>({maxQueued: 4});
    fill(requests, 'a', 2);
    requests.offer(item('a', 2, 0));
    fill(requests, 'b', 1);
    const {type, ...rest} = requests.offer(item('c'));
    chai.expect(type).to.equal('displaced');
    chai.expect(rest).to.have.nested.property('loser.value', 1);
    chai.expect(requests.offer(item('a', 3)).type).to.equal('refused');
  });

  it('does not delay other customers behind a surge, unlike a FIFO queue', () => {
    const countTurns = (requests: queue.RequestQueue<number>) => {
      fill(requests, 'surge', 99);
      requests.offer(item('single'));
      let count = 1;
      while (requests.take(0)?.customer !== 'single') count += 1;
      return count;
    };
    chai.expect(countTurns(new queue.FairQueue({maxQueued: 100}))).to.equal(2);
    chai
      .expect(countTurns(new queue.FifoQueue({maxQueued: 100})))
      .to.equal(100);
  });
});
