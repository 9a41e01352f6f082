/** Queues: nothing is lost, customers take turns, the full queue is fair. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as deadlines from '../deadlines.js';
import * as queue from '../queue.js';

const SEED = 20_263;
const RUNS = 1_000;
const FAR_MS = 1e9;
type Item = queue.Waiting<number>;

function item(customer: string, value = 0, priority = 1, deadlineMs = FAR_MS) {
  return {customer, priority, deadlineMs, value};
}

function fill(
  own: queue.RequestQueue<number>,
  customer: string,
  count: number,
) {
  for (let value = 0; value < count; value += 1) {
    own.offer(item(customer, value));
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

/** A plain list beside the queue, which says what each step may do. */
class Model {
  private live: Item[] = [];
  private nowMs = 0;

  constructor(
    private readonly own: queue.RequestQueue<number>,
    private readonly maxQueued: number,
  ) {}

  act(step: Step): void {
    this.nowMs += 1;
    if (step.action === 'offer') this.offer(step);
    else if (step.action === 'take') this.take();
    else if (step.action === 'expire') this.expire();
    else this.remove(this.live[step.pick % Math.max(1, this.live.length)]);
    chai.expect(this.own.size).to.equal(this.live.length);
    chai.expect(this.own.size).to.be.at.most(this.maxQueued);
  }

  private drop(gone: Item): void {
    chai.expect(this.live).to.include(gone);
    this.live = this.live.filter(other => other !== gone);
  }

  private offer({customer, priority, waitMs, pick}: Step): void {
    const added = item(customer, this.nowMs, priority, this.nowMs + waitMs);
    const isSwept = pick % 2 === 0;
    if (isSwept) this.expire();
    const isFull = this.live.length >= this.maxQueued;
    const offer = this.own.offer(added);
    chai.expect(offer.type === 'queued').to.equal(!isFull);
    if (isFull && isSwept) this.checkLoser(customer, offer);
    if (offer.type === 'displaced') this.drop(offer.loser);
    if (offer.type !== 'refused') this.live.push(added);
  }

  private checkLoser(customer: string, offer: queue.Offer<number>): void {
    const of = (name: string) =>
      this.live.filter(other => other.customer === name);
    const most = Math.max(...['a', 'b', 'c'].map(name => of(name).length));
    const isSmaller = of(customer).length < most;
    chai.expect(offer.type).to.equal(isSmaller ? 'displaced' : 'refused');
    if (offer.type !== 'displaced') return;
    const rivals = of(offer.loser.customer);
    chai.expect(rivals.length).to.equal(most);
    const least = Math.max(...rivals.map(({priority}) => priority));
    const newest = rivals.findLast(({priority}) => priority === least);
    chai.expect(offer.loser).to.equal(newest);
  }

  private take(): void {
    const ready = this.live.filter(({deadlineMs}) => deadlineMs >= this.nowMs);
    const shown = this.own.peek(this.nowMs);
    const taken = this.own.take(this.nowMs);
    chai.expect(taken).to.equal(shown);
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
    const late = this.live.filter(({deadlineMs}) => deadlineMs < this.nowMs);
    chai.expect(this.own.expire(this.nowMs)).to.have.members(late);
    late.forEach(each => this.drop(each));
  }

  private remove(gone: Item | undefined): void {
    if (!gone) return;
    chai.expect(this.own.remove(gone)).to.equal(true);
    chai.expect(this.own.remove(gone)).to.equal(false);
    this.drop(gone);
  }
}

describe('queue', () => {
  it('loses nothing, is never idle, keeps a customer in order', () => {
    const play = (steps: Step[], maxQueued: number) => {
      const own = new queue.FairQueue<number>({maxQueued});
      const model = new Model(own, maxQueued);
      for (const step of steps) model.act(step);
    };
    const steps = fc.array(STEP, {maxLength: 120});
    const limits = fc.integer({min: 0, max: 12});
    fc.assert(fc.property(steps, limits, play), {seed: SEED, numRuns: RUNS});
  });

  it('serves a single request within one round', () => {
    const play = (names: string[], taken: number) => {
      const own = new queue.FairQueue<number>({maxQueued: 1_000});
      for (const name of names) own.offer(item(name));
      for (let count = 0; count < taken; count += 1) own.take(0);
      const single = item('single');
      own.offer(single);
      const round = new Set<string>();
      for (;;) {
        const next = own.take(0);
        if (next === single) return;
        chai.expect(round).not.to.include(next?.customer);
        round.add(next?.customer ?? '');
      }
    };
    const names = fc.array(fc.constantFrom('a', 'a', 'a', 'a', 'b', 'c'));
    fc.assert(fc.property(names, fc.nat(20), play), {
      seed: SEED,
      numRuns: RUNS,
    });
  });

  it('finds the earliest deadline, whatever was taken out', () => {
    const play = (times: number[], picks: number[]) => {
      const heap = new deadlines.Deadlines();
      let left = times.map(deadlineMs => ({deadlineMs, place: 0}));
      left.forEach(each => heap.add(each));
      const drop = (gone?: deadlines.Timed) => {
        if (gone) heap.remove(gone);
        left = left.filter(each => each !== gone);
        const leastMs = Math.min(...left.map(({deadlineMs}) => deadlineMs));
        chai.expect(heap.first()?.deadlineMs ?? Infinity).to.equal(leastMs);
      };
      for (const pick of picks) drop(left[pick % Math.max(1, left.length)]);
      while (left.length > 0) drop(heap.first());
    };
    const times = fc.array(fc.nat(999), {minLength: 20, maxLength: 60});
    const picks = fc.array(fc.nat(99), {minLength: 1, maxLength: 15});
    fc.assert(fc.property(times, picks, play), {seed: SEED, numRuns: RUNS});
  });

  it('makes room in a full queue at the cost of the largest customer', () => {
    const own = new queue.FairQueue<number>({maxQueued: 4});
    fill(own, 'a', 2);
    own.offer(item('a', 2, 0));
    fill(own, 'b', 1);
    const {type, ...rest} = own.offer(item('c'));
    chai.expect(type).to.equal('displaced');
    chai.expect(rest).to.have.nested.property('loser.value', 1);
    chai.expect(own.offer(item('a', 3)).type).to.equal('refused');
  });

  it('does not delay others by a surge, as first come first served does', () => {
    const wait = (own: queue.RequestQueue<number>) => {
      fill(own, 'surge', 99);
      own.offer(item('single'));
      let count = 1;
      while (own.take(0)?.customer !== 'single') count += 1;
      return count;
    };
    chai.expect(wait(new queue.FairQueue({maxQueued: 100}))).to.equal(2);
    chai.expect(wait(new queue.FifoQueue({maxQueued: 100}))).to.equal(100);
  });
});
