/** Ejection: exponential durations, probes, the limit per pool, and flaps. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as ejection from '../ejection.js';

const SEED = 416;
const RUNS = 300;
const POOL = ['engine-0', 'engine-1', 'engine-2', 'engine-3', 'engine-4'];
const ENDPOINT = 'engine-0';

const step = fc.record({
  type: fc.constantFrom(
    ...['live', 'live', 'unlisted', 'start', 'success'],
    ...['failure', 'failure', 'failure'],
  ),
  endpoint: fc.constantFrom(...POOL),
  delayMs: fc.nat(300),
});

function recordFailures(
  health: ejection.Ejection,
  count: number,
  nowMs: number,
): void {
  for (let n = 0; n < count; n++) health.recordFailure(ENDPOINT, nowMs);
}

/** Time in ms after `nowMs`, in whole seconds, until the endpoint settles. */
function settledAfterMs(health: ejection.Ejection, nowMs: number): number {
  let afterMs = 0;
  while (!health.isSettled(ENDPOINT, nowMs + afterMs)) afterMs += 1_000;
  return afterMs;
}

function applyStep(
  health: ejection.Ejection,
  type: string,
  endpoint: string,
  nowMs: number,
): void {
  if (type === 'live') health.observe(endpoint, true, nowMs);
  else if (type === 'unlisted') health.observe(endpoint, false, nowMs);
  else if (type === 'start') health.recordStart(endpoint, nowMs);
  else if (type === 'success') health.recordSuccess(endpoint, nowMs);
  else health.recordFailure(endpoint, nowMs);
}

describe('ejection', () => {
  it('ejects after consecutive failures, for twice as long each time', () => {
    const health = new ejection.ObservedEjection();
    recordFailures(health, 2, 0);
    health.recordSuccess(ENDPOINT);
    recordFailures(health, 2, 0);
    chai.expect(health.isEjected(ENDPOINT, 0)).to.be.false;
    let nowMs = 0;
    const durationsMs: number[] = [];
    for (let round = 0; round < 7; round++) {
      // The first failure makes three in a row; the others fall within the
      // ejection and do not count.
      recordFailures(health, 5, nowMs);
      const fromMs = nowMs;
      while (health.isEjected(ENDPOINT, nowMs)) nowMs += 500;
      durationsMs.push(nowMs - fromMs);
    }
    chai
      .expect(durationsMs)
      .to.deep.equal([1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
    health.recordSuccess(ENDPOINT);
    recordFailures(health, 3, nowMs);
    chai.expect(health.isEjected(ENDPOINT, nowMs + 999)).to.be.true;
    chai.expect(health.isEjected(ENDPOINT, nowMs + 1_000)).to.be.false;
  });

  it('probes with one request, which ends or prolongs the ejection', () => {
    for (const isSuccess of [true, false]) {
      const health = new ejection.ObservedEjection();
      recordFailures(health, 3, 0);
      chai.expect(health.filterUsable(POOL, 999)).to.not.include(ENDPOINT);
      chai.expect(health.filterUsable(POOL, 1_000)).to.include(ENDPOINT);
      health.recordStart(ENDPOINT, 1_000);
      chai.expect(health.filterUsable(POOL, 1_001)).to.not.include(ENDPOINT);
      if (isSuccess) health.recordSuccess(ENDPOINT);
      else health.recordFailure(ENDPOINT, 1_100);
      chai
        .expect(health.filterUsable(POOL, 1_100).includes(ENDPOINT))
        .to.equal(isSuccess);
      chai
        .expect(health.filterUsable(POOL, 3_099).includes(ENDPOINT))
        .to.equal(isSuccess);
      chai.expect(health.filterUsable(POOL, 3_100)).to.include(ENDPOINT);
    }
  });

  it('allows another probe if the first one has no outcome', () => {
    const health = new ejection.ObservedEjection();
    recordFailures(health, 3, 0);
    health.recordStart(ENDPOINT, 1_000);
    chai.expect(health.isEjected(ENDPOINT, 1_999)).to.be.true;
    chai.expect(health.isEjected(ENDPOINT, 2_000)).to.be.false;
  });

  it('excludes unlisted endpoints, and no others if most would be ejected', () => {
    const steps = fc.array(step, {minLength: 20, maxLength: 60});
    let unfiltered = 0;
    const property = fc.property(steps, drawn => {
      const health = new ejection.ObservedEjection({failuresToEject: 1});
      const naive = new ejection.NaiveEjection();
      for (const strategy of [health, naive]) {
        for (const endpoint of POOL) strategy.observe(endpoint, true, 0);
      }
      let nowMs = 0;
      for (const {type, endpoint, delayMs} of drawn) {
        nowMs += delayMs;
        applyStep(health, type, endpoint, nowMs);
        applyStep(naive, type, endpoint, nowMs);
        const live = naive.filterUsable(POOL);
        const allowed = live.filter(name => !health.isEjected(name, nowMs));
        const isUnfiltered = 2 * allowed.length < live.length;
        if (isUnfiltered) unfiltered += 1;
        chai
          .expect(health.filterUsable(POOL, nowMs))
          .to.deep.equal(isUnfiltered ? live : allowed);
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
    chai.expect(unfiltered).to.be.above(RUNS);
  });

  it('settles endpoints seen at start-up at once, and others after a delay', () => {
    const health = new ejection.ObservedEjection();
    health.observe(ENDPOINT, true, 100);
    health.observe('engine-1', false, 100);
    chai.expect(health.isSettled(ENDPOINT, 100)).to.be.true;
    chai.expect(health.isSettled('engine-1', 100)).to.be.false;
    health.observe('engine-2', true, 60_000);
    chai.expect(health.isSettled('engine-2', 64_999)).to.be.false;
    chai.expect(health.isSettled('engine-2', 65_000)).to.be.true;
  });

  it('settles an endpoint later after each flap, and ignores old flaps', () => {
    const health = new ejection.ObservedEjection();
    health.observe(ENDPOINT, true, 0);
    const flap = (nowMs: number) => {
      health.observe(ENDPOINT, false, nowMs);
      chai.expect(health.isSettled(ENDPOINT, nowMs)).to.be.false;
      health.observe(ENDPOINT, true, nowMs);
      return settledAfterMs(health, nowMs);
    };
    const delaysMs = [10_000, 20_000, 40_000, 70_000, 140_000, 210_000].map(
      flap,
    );
    chai
      .expect(delaysMs)
      .to.deep.equal([5_000, 10_000, 20_000, 40_000, 60_000, 60_000]);
    health.observe(ENDPOINT, true, 300_000);
    chai.expect(health.isSettled(ENDPOINT, 300_000)).to.be.true;
    chai.expect(flap(900_000)).to.equal(5_000);
    const naive = new ejection.NaiveEjection();
    chai.expect(naive.isSettled()).to.be.true;
  });
});
