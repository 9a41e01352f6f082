/** The byte budget: never more than the burst and the rate allow. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as budget from '../budget.js';

const {expect} = chai;

const SEED = 411;
const RUNS = 500;
const OPTIONS = {bytesPerSecond: 1_000, burstBytes: 500};

describe('byte budget', () => {
  it('gives the burst at once and then the rate', () => {
    const own = new budget.ByteBudget(OPTIONS);
    expect(own.spend(500, 0)).to.equal(true);
    expect(own.spend(1, 0)).to.equal(false);
    expect(own.spend(100, 99)).to.equal(false);
    expect(own.spend(100, 100)).to.equal(true);
  });

  it('saves up no more than the burst', () => {
    const own = new budget.ByteBudget(OPTIONS);
    expect(own.spend(1, 0)).to.equal(true);
    expect(own.spend(501, 1e6)).to.equal(false);
    expect(own.spend(500, 1e6)).to.equal(true);
  });

  it('leaves the reserve to messages without one', () => {
    const own = new budget.ByteBudget(OPTIONS);
    expect(own.spend(200, 0, 250)).to.equal(true);
    expect(own.spend(200, 0, 250)).to.equal(false);
    expect(own.spend(200, 0)).to.equal(true);
  });

  it('keeps any window of time within burst and rate', () => {
    const step = fc.record({
      afterMs: fc.integer({min: 0, max: 400}),
      bytes: fc.integer({min: 1, max: 400}),
      reserve: fc.constantFrom(0, 0, 250),
    });
    const property = fc.property(fc.array(step, {maxLength: 60}), steps => {
      const own = new budget.ByteBudget(OPTIONS);
      const sent: Array<{atMs: number; bytes: number}> = [];
      let atMs = 0;
      for (const {afterMs, bytes, reserve} of steps) {
        atMs += afterMs;
        if (own.spend(bytes, atMs, reserve)) sent.push({atMs, bytes});
      }
      for (const [from, first] of sent.entries()) {
        let sum = 0;
        for (const {atMs: untilMs, bytes} of sent.slice(from)) {
          sum += bytes;
          const spanMs = untilMs - first.atMs;
          const most = OPTIONS.burstBytes + spanMs;
          expect(sum).to.be.at.most(most + 1e-6);
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('lets more bytes out where nothing bounds them', () => {
    const own = new budget.ByteBudget(OPTIONS);
    const wanted = [...Array(100).keys()].map(index => index * 10);
    const sent = wanted.filter(atMs => own.spend(100, atMs));
    // Without the budget all of the 10 000 bytes leave within one second.
    expect(sent.length * 100).to.be.at.most(500 + 1_000);
  });
});
