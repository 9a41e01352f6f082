/** The byte budget never spends more than its burst and rate allow. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as budget from '../budget.js';

const {expect} = chai;

const SEED = 411;
const RUNS = 500;
const OPTIONS = {bytesPerSecond: 1_000, burstBytes: 500};

describe('byte budget', () => {
  it('allows the whole burst at once, then only the rate', () => {
    const bucket = new budget.ByteBudget(OPTIONS);
    expect(bucket.trySpend(500, 0)).to.equal(true);
    expect(bucket.trySpend(1, 0)).to.equal(false);
    expect(bucket.trySpend(100, 99)).to.equal(false);
    expect(bucket.trySpend(100, 100)).to.equal(true);
  });

  it('accumulates no more than the burst', () => {
    const bucket = new budget.ByteBudget(OPTIONS);
    expect(bucket.trySpend(1, 0)).to.equal(true);
    expect(bucket.trySpend(501, 1e6)).to.equal(false);
    expect(bucket.trySpend(500, 1e6)).to.equal(true);
  });

  it('keeps the reserve for messages sent without one', () => {
    const bucket = new budget.ByteBudget(OPTIONS);
    expect(bucket.trySpend(200, 0, 250)).to.equal(true);
    expect(bucket.trySpend(200, 0, 250)).to.equal(false);
    expect(bucket.trySpend(200, 0)).to.equal(true);
  });

  it('spends at most burst plus rate in any period', () => {
    const step = fc.record({
      afterMs: fc.integer({min: 0, max: 400}),
      bytes: fc.integer({min: 1, max: 400}),
      reserve: fc.constantFrom(0, 0, 250),
    });
    const property = fc.property(fc.array(step, {maxLength: 60}), steps => {
      const bucket = new budget.ByteBudget(OPTIONS);
      const sent: Array<{atMs: number; bytes: number}> = [];
      let atMs = 0;
      for (const {afterMs, bytes, reserve} of steps) {
        atMs += afterMs;
        if (bucket.trySpend(bytes, atMs, reserve)) sent.push({atMs, bytes});
      }
      for (const [index, first] of sent.entries()) {
        let sum = 0;
        for (const {atMs: lastMs, bytes} of sent.slice(index)) {
          sum += bytes;
          const periodMs = lastMs - first.atMs;
          const limit = OPTIONS.burstBytes + periodMs;
          expect(sum).to.be.at.most(limit + 1e-6);
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('rejects most bytes if far more than the rate are offered', () => {
    const bucket = new budget.ByteBudget(OPTIONS);
    const offeredMs = [...Array(100).keys()].map(index => index * 10);
    const sent = offeredMs.filter(atMs => bucket.trySpend(100, atMs));
    // Without a budget, all 10 000 bytes would be sent within one second.
    expect(sent.length * 100).to.be.at.most(500 + 1_000);
  });
});
