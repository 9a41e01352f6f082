/** Ejection: growing times, one trial, the guard, and damping of flaps. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as ejection from '../ejection.js';

const SEED = 416;
const RUNS = 300;
const POOL = ['engine-0', 'engine-1', 'engine-2', 'engine-3', 'engine-4'];
const ONE = 'engine-0';

const step = fc.record({
  type: fc.constantFrom(
    ...['live', 'live', 'missed', 'began', 'succeeded'],
    ...['failed', 'failed', 'failed'],
  ),
  endpoint: fc.constantFrom(...POOL),
  laterMs: fc.nat(300),
});

function fail(health: ejection.Ejection, times: number, nowMs: number): void {
  for (let time = 0; time < times; time++) health.failed(ONE, nowMs);
}

/** The first whole second after `nowMs` at which the endpoint has settled. */
function settledAfterMs(health: ejection.Ejection, nowMs: number): number {
  let afterMs = 0;
  while (!health.isSettled(ONE, nowMs + afterMs)) afterMs += 1_000;
  return afterMs;
}

function apply(
  health: ejection.Ejection,
  type: string,
  endpoint: string,
  nowMs: number,
): void {
  if (type === 'live') health.observe(endpoint, true, nowMs);
  else if (type === 'missed') health.observe(endpoint, false, nowMs);
  else if (type === 'began') health.began(endpoint, nowMs);
  else if (type === 'succeeded') health.succeeded(endpoint, nowMs);
  else health.failed(endpoint, nowMs);
}

describe('ejection', () => {
  it('ejects after failures in a row, twice as long each time', () => {
    const health = new ejection.ObservedEjection();
    fail(health, 2, 0);
    health.succeeded(ONE);
    fail(health, 2, 0);
    chai.expect(health.isEjected(ONE, 0)).to.be.false;
    let nowMs = 0;
    const lastedMs: number[] = [];
    for (let time = 0; time < 7; time++) {
      // The first makes three in a row; the rest come too late to count.
      fail(health, 5, nowMs);
      const fromMs = nowMs;
      while (health.isEjected(ONE, nowMs)) nowMs += 500;
      lastedMs.push(nowMs - fromMs);
    }
    chai
      .expect(lastedMs)
      .to.deep.equal([1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
    health.succeeded(ONE);
    fail(health, 3, nowMs);
    chai.expect(health.isEjected(ONE, nowMs + 999)).to.be.true;
    chai.expect(health.isEjected(ONE, nowMs + 1_000)).to.be.false;
  });

  it('lets one request try, which clears or ejects again', () => {
    for (const isGood of [true, false]) {
      const health = new ejection.ObservedEjection();
      fail(health, 3, 0);
      chai.expect(health.usable(POOL, 999)).to.not.include(ONE);
      chai.expect(health.usable(POOL, 1_000)).to.include(ONE);
      health.began(ONE, 1_000);
      chai.expect(health.usable(POOL, 1_001)).to.not.include(ONE);
      if (isGood) health.succeeded(ONE);
      else health.failed(ONE, 1_100);
      chai.expect(health.usable(POOL, 1_100).includes(ONE)).to.equal(isGood);
      chai.expect(health.usable(POOL, 3_099).includes(ONE)).to.equal(isGood);
      chai.expect(health.usable(POOL, 3_100)).to.include(ONE);
    }
  });

  it('lets another try where the trial has no outcome', () => {
    const health = new ejection.ObservedEjection();
    fail(health, 3, 0);
    health.began(ONE, 1_000);
    chai.expect(health.isEjected(ONE, 1_999)).to.be.true;
    chai.expect(health.isEjected(ONE, 2_000)).to.be.false;
  });

  it('uses no missing endpoint, and all others where most would go', () => {
    const steps = fc.array(step, {minLength: 20, maxLength: 60});
    let guarded = 0;
    const property = fc.property(steps, list => {
      const health = new ejection.ObservedEjection({failuresToEject: 1});
      const naive = new ejection.NaiveEjection();
      for (const one of [health, naive]) {
        for (const endpoint of POOL) one.observe(endpoint, true, 0);
      }
      let nowMs = 0;
      for (const {type, endpoint, laterMs} of list) {
        nowMs += laterMs;
        apply(health, type, endpoint, nowMs);
        apply(naive, type, endpoint, nowMs);
        const live = naive.usable(POOL);
        const kept = live.filter(name => !health.isEjected(name, nowMs));
        const isGuarded = 2 * kept.length < live.length;
        if (isGuarded) guarded += 1;
        chai
          .expect(health.usable(POOL, nowMs))
          .to.deep.equal(isGuarded ? live : kept);
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
    chai.expect(guarded).to.be.above(RUNS);
  });

  it('settles what the first look shows at once, and later ones after', () => {
    const health = new ejection.ObservedEjection();
    health.observe(ONE, true, 100);
    health.observe('engine-1', false, 100);
    chai.expect(health.isSettled(ONE, 100)).to.be.true;
    chai.expect(health.isSettled('engine-1', 100)).to.be.false;
    health.observe('engine-2', true, 60_000);
    chai.expect(health.isSettled('engine-2', 64_999)).to.be.false;
    chai.expect(health.isSettled('engine-2', 65_000)).to.be.true;
  });

  it('settles later after each flap, and forgets old flaps', () => {
    const health = new ejection.ObservedEjection();
    health.observe(ONE, true, 0);
    const flap = (nowMs: number) => {
      health.observe(ONE, false, nowMs);
      chai.expect(health.isSettled(ONE, nowMs)).to.be.false;
      health.observe(ONE, true, nowMs);
      return settledAfterMs(health, nowMs);
    };
    const flaps = [10_000, 20_000, 40_000, 70_000, 140_000, 210_000].map(flap);
    chai
      .expect(flaps)
      .to.deep.equal([5_000, 10_000, 20_000, 40_000, 60_000, 60_000]);
    health.observe(ONE, true, 300_000);
    chai.expect(health.isSettled(ONE, 300_000)).to.be.true;
    chai.expect(flap(900_000)).to.equal(5_000);
    const naive = new ejection.NaiveEjection();
    chai.expect(naive.isSettled()).to.be.true;
  });
});
