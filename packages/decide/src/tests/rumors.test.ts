/** Rumors: the order in which items are sent, and which one makes room. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as rumors from '../rumors.js';

const {expect} = chai;

const PROPERTY_OPTIONS = {seed: 417, numRuns: 500};

interface WaitingItem {
  readonly key: string;
  readonly item: number;
  readonly sendsLeft: number;
}

/** The rules of the queue, on a list that is searched as a whole. */
class ListModel {
  private waiting: WaitingItem[] = [];

  constructor(private readonly maxItems: number) {}

  get size(): number {
    return this.waiting.length;
  }

  add(key: string, item: number, repeats: number): void {
    this.waiting = this.waiting.filter(other => other.key !== key);
    if (this.waiting.length >= this.maxItems) this.evictOne();
    this.waiting.push({key, item, sendsLeft: repeats});
  }

  take(maxItems: number): number[] {
    const batch = this.waiting.slice(0, maxItems);
    const resent = batch
      .filter(({sendsLeft}) => sendsLeft > 1)
      .map(entry => ({...entry, sendsLeft: entry.sendsLeft - 1}));
    this.waiting = [...this.waiting.slice(maxItems), ...resent];
    return batch.map(({item}) => item);
  }

  private evictOne(): void {
    const fewest = Math.min(...this.waiting.map(({sendsLeft}) => sendsLeft));
    const index = this.waiting.findIndex(each => each.sendsLeft === fewest);
    this.waiting.splice(index, 1);
  }
}

const additionArbitrary = fc.record({
  type: fc.constant('add' as const),
  key: fc.integer({min: 0, max: 11}).map(String),
  repeats: fc.integer({min: 1, max: 8}),
});
const takeArbitrary = fc.record({
  type: fc.constant('take' as const),
  maxItems: fc.integer({min: 0, max: 6}),
});
const stepsArbitrary = fc.array(fc.oneof(additionArbitrary, takeArbitrary), {
  maxLength: 120,
});

describe('rumors', () => {
  it('are sent in rotation, and the first of those sent most makes room', () => {
    const maxItemsArbitrary = fc.integer({min: 1, max: 8});
    const property = fc.property(
      maxItemsArbitrary,
      stepsArbitrary,
      (maxItems, steps) => {
        const queue = new rumors.BoundedRumorQueue<number>(maxItems);
        const model = new ListModel(maxItems);
        steps.forEach((step, index) => {
          if (step.type === 'take') {
            const items = queue.take(step.maxItems);
            expect(items).to.deep.equal(model.take(step.maxItems));
          } else {
            queue.add(step.key, index, step.repeats);
            model.add(step.key, index, step.repeats);
          }
          expect(queue.size).to.equal(model.size);
        });
      },
    );
    fc.assert(property, PROPERTY_OPTIONS);
  });

  it('keeps a message within the limit on its items, and sends a large one alone', () => {
    const queue = new rumors.BoundedRumorQueue<number>(8);
    for (const cost of [9, 3, 4, 2]) queue.add(String(cost), cost, 1);
    const limit = {maxCost: 7, costOf: (item: number) => item};
    expect(queue.take(8, limit)).to.deep.equal([9]);
    expect(queue.take(8, limit)).to.deep.equal([3, 4]);
    expect(queue.take(8, limit)).to.deep.equal([2]);
  });
});
