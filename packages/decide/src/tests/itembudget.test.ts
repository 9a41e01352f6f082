/** Tests of the budget for connections that send very many small items. */
import * as chai from 'chai';
import * as decide from '../index.js';

const {expect} = chai;

const OPTIONS = {itemsPerS: 1_000, burstItems: 500, maxDebtItems: 2_000};

describe('the count of items of a connection', () => {
  /** Adds items at a steady rate for 2 s; returns those beyond what is free. */
  function excessAt(itemsPerS: number): number {
    const count = new decide.ItemCount();
    let excess = 0;
    for (let index = 0; index < 2 * itemsPerS; index++) {
      const nowMs = (index * 1_000) / itemsPerS;
      if (count.add(1, () => nowMs)) excess += count.take(nowMs);
    }
    return excess;
  }

  it('is free at the rate of a fast stream', () => {
    expect(excessAt(500)).to.equal(0);
    expect(excessAt(2_000)).to.equal(0);
  });

  it('is charged far above it', () => {
    expect(excessAt(20_000)).to.be.above(30_000);
  });

  it('does not add up over a long time', () => {
    const count = new decide.ItemCount();
    expect(count.add(200, () => 0)).to.equal(false);
    expect(count.add(200, () => 60_000)).to.equal(false);
  });

  it('reads no clock for few items', () => {
    const count = new decide.ItemCount();
    count.add(100, () => {
      throw new Error('the clock was read');
    });
  });
});

describe('the budget of items', () => {
  it('allows a burst, and then delays by its rate', () => {
    const budget = new decide.ItemBudget(OPTIONS);
    budget.charge(500, 0);
    expect(budget.delayMs(0)).to.equal(0);
    budget.charge(300, 0);
    expect(budget.delayMs(0)).to.equal(300);
    expect(budget.delayMs(200)).to.be.closeTo(100, 1e-6);
    expect(budget.delayMs(300)).to.equal(0);
  });

  it('keeps readers in turn to its rate, however many they are', () => {
    const budget = new decide.ItemBudget(OPTIONS);
    let nowMs = 0;
    let items = 0;
    while (nowMs < 60_000) {
      budget.charge(100, nowMs);
      items += 100;
      nowMs += Math.max(5, budget.delayMs(nowMs));
    }
    expect(items / 60).to.be.within(900, 1_100);
  });

  it('bounds the debt of a burst of many connections', () => {
    const budget = new decide.ItemBudget(OPTIONS);
    for (let count = 0; count < 1_000; count++) budget.charge(1_000, 0);
    expect(budget.delayMs(0)).to.equal(2_000);
  });
});
