/** Tests of the skew on small lists of admissions. */
import * as chai from 'chai';
import * as skew from '../skew.js';

const LOAD_MULTIPLE = 1.25;

function admit(atMs: number, inFlight: number) {
  return {at_ms: atMs, in_flight: inFlight, queued: 0};
}

describe('skew', () => {
  it('bounds an engine by the multiple of the mean, rounded up', () => {
    chai.expect(skew.bound(1, 8, LOAD_MULTIPLE)).to.equal(1);
    chai.expect(skew.bound(16, 8, LOAD_MULTIPLE)).to.equal(3);
    chai.expect(skew.bound(32, 8, LOAD_MULTIPLE)).to.equal(5);
  });

  it('counts admissions above the bound, the new one in the sum', () => {
    const engines = [
      {admissions: [admit(0, 1), admit(10, 2), admit(20, 3)], endsAtMs: []},
      {admissions: [admit(5, 1)], endsAtMs: []},
    ];
    const found = skew.measure(engines, {loadMultiple: LOAD_MULTIPLE});
    // At 20 ms: 3 of 4 in flight, and the bound is ceil(1.25 * 4 / 2) = 3.
    chai.expect(found.above).to.equal(0);
    chai.expect(found.admissions).to.equal(4);
  });

  it('sees an engine that took all while the other idled', () => {
    const engines = [
      {admissions: [admit(0, 1), admit(10, 2), admit(20, 3)], endsAtMs: []},
      {admissions: [], endsAtMs: []},
    ];
    const found = skew.measure(engines, {loadMultiple: LOAD_MULTIPLE});
    // Bounds are 1, 2 and 2.
    chai.expect(found.above).to.equal(1);
    chai.expect(found.mostAbove).to.equal(1);
    chai.expect(found.maxOverMean).to.equal(2);
  });

  it('weighs the largest over the mean by time', () => {
    const engines = [
      {admissions: [admit(0, 1)], endsAtMs: [30]},
      {admissions: [admit(10, 1)], endsAtMs: [30]},
    ];
    const found = skew.measure(engines, {loadMultiple: LOAD_MULTIPLE});
    // 10 ms at 1 over 0.5, then 20 ms at 1 over 1.
    chai.expect(found.maxOverMean).to.be.closeTo(30 / 25, 1e-9);
    chai.expect(found.meanInFlight).to.be.closeTo(25 / 30, 1e-9);
  });

  it('takes ends off the sum and leaves out the warm-up', () => {
    const engines = [
      {admissions: [admit(0, 5), admit(50, 1)], endsAtMs: [10, 11, 12, 13, 14]},
      {admissions: [admit(40, 1)], endsAtMs: []},
    ];
    const options = {loadMultiple: LOAD_MULTIPLE, fromMs: 20};
    const found = skew.measure(engines, options);
    chai.expect(found.admissions).to.equal(2);
    chai.expect(found.above).to.equal(0);
  });
});
