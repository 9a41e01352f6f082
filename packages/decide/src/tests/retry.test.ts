/** Retries: limited to a share of first tries, with jittered backoff. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as retry from '../retry.js';

const TRIES = 10_000;

function countRetries(policy: retry.RetryPolicy): number {
  let retries = 0;
  for (let tries = 0; tries < TRIES; tries += 1) {
    policy.recordFirstTry();
    while (retries < 3 * TRIES && policy.trySpend()) retries += 1;
  }
  return retries;
}

describe('retries', () => {
  const random = new core.SeededRandom(1);

  it('stay within a share of first tries when all tries fail', () => {
    const policy = new retry.BudgetedRetry({
      retryShare: 0.1,
      initialRetries: 5,
      random,
    });
    chai.expect(countRetries(policy)).to.equal(5 + TRIES / 10);
    chai.expect(countRetries(new retry.NaiveRetry())).to.equal(3 * TRIES);
  });

  it('have an initial budget, and accumulate up to a limit', () => {
    const policy = new retry.BudgetedRetry({
      retryShare: 0.1,
      initialRetries: 2,
      random,
    });
    const spendAll = () => {
      let count = 0;
      while (policy.trySpend()) count += 1;
      return count;
    };
    chai.expect(spendAll()).to.equal(2);
    for (let turn = 0; turn < 100 * TRIES; turn += 1) policy.recordFirstTry();
    chai.expect(spendAll()).to.equal(102);
  });

  it('wait for a random time up to a limit that doubles', () => {
    const policy = new retry.BudgetedRetry({
      baseBackoffMs: 10,
      maxBackoffMs: 100,
      random,
    });
    for (const [count, limitMs] of [
      [1, 10],
      [3, 40],
      [9, 100],
    ] as const) {
      const delaysMs = Array.from({length: 1_000}, () =>
        policy.backoffMs(count),
      );
      chai.expect(Math.max(...delaysMs)).to.be.within(0.95 * limitMs, limitMs);
      chai.expect(Math.min(...delaysMs)).to.be.below(0.05 * limitMs);
    }
  });
});
