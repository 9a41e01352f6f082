/** Retries: a share of first tries, and backoff with jitter. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as retry from '../retry.js';

const TRIES = 10_000;

function storm(policy: retry.RetryPolicy): number {
  let retries = 0;
  for (let tries = 0; tries < TRIES; tries += 1) {
    policy.tried();
    while (retries < 3 * TRIES && policy.spend()) retries += 1;
  }
  return retries;
}

describe('retries', () => {
  const random = new core.SeededRandom(1);

  it('stay a share of first tries when all tries fail', () => {
    const own = new retry.BudgetedRetry({share: 0.1, floor: 5, random});
    chai.expect(storm(own)).to.equal(5 + TRIES / 10);
    chai.expect(storm(new retry.NaiveRetry())).to.equal(3 * TRIES);
  });

  it('are allowed to a quiet router, and cannot be saved up for ever', () => {
    const own = new retry.BudgetedRetry({share: 0.1, floor: 2, random});
    const spent = () => {
      let count = 0;
      while (own.spend()) count += 1;
      return count;
    };
    chai.expect(spent()).to.equal(2);
    for (let tries = 0; tries < 100 * TRIES; tries += 1) own.tried();
    chai.expect(spent()).to.equal(102);
  });

  it('wait at random up to a bound that doubles', () => {
    const own = new retry.BudgetedRetry({
      baseBackoffMs: 10,
      maxBackoffMs: 100,
      random,
    });
    for (const [count, longestMs] of [
      [1, 10],
      [3, 40],
      [9, 100],
    ] as const) {
      const waits = Array.from({length: 1_000}, () => own.backoffMs(count));
      chai.expect(Math.max(...waits)).to.be.within(0.95 * longestMs, longestMs);
      chai.expect(Math.min(...waits)).to.be.below(0.05 * longestMs);
    }
  });
});
