/** Tests of the skew computation on small lists of admissions. */
import * as chai from 'chai';
import * as skew from '../skew.js';

const LOAD_MULTIPLE = 1.25;

function createAdmission(atMs: number, inFlight: number) {
  return {at_ms: atMs, in_flight: inFlight, queued: 0};
}

describe('skew', () => {
  it('bounds an engine by a multiple of the mean load, rounded up', () => {
    chai.expect(skew.loadBound(1, 8, LOAD_MULTIPLE)).to.equal(1);
    chai.expect(skew.loadBound(16, 8, LOAD_MULTIPLE)).to.equal(3);
    chai.expect(skew.loadBound(32, 8, LOAD_MULTIPLE)).to.equal(5);
  });

  it('counts admissions above the bound, the new request in the sum', () => {
    const engines = [
      {
        admissions: [
          createAdmission(0, 1),
          createAdmission(10, 2),
          createAdmission(20, 3),
        ],
        endsAtMs: [],
      },
      {admissions: [createAdmission(5, 1)], endsAtMs: []},
    ];
    const measured = skew.measureSkew(engines, {loadMultiple: LOAD_MULTIPLE});
    // At 20 ms: 3 of 4 in flight, and the bound is ceil(1.25 * 4 / 2) = 3.
    chai.expect(measured.admissionsAboveBound).to.equal(0);
    chai.expect(measured.admissions).to.equal(4);
  });

  it('reports the skew of an engine that runs all requests', () => {
    const engines = [
      {
        admissions: [
          createAdmission(0, 1),
          createAdmission(10, 2),
          createAdmission(20, 3),
        ],
        endsAtMs: [],
      },
      {admissions: [], endsAtMs: []},
    ];
    const measured = skew.measureSkew(engines, {loadMultiple: LOAD_MULTIPLE});
    // The bounds at the three admissions are 1, 2 and 2.
    chai.expect(measured.admissionsAboveBound).to.equal(1);
    chai.expect(measured.maxExcess).to.equal(1);
    chai.expect(measured.maxOverMean).to.equal(2);
  });

  it('weights the maximum and the mean by time', () => {
    const engines = [
      {admissions: [createAdmission(0, 1)], endsAtMs: [30]},
      {admissions: [createAdmission(10, 1)], endsAtMs: [30]},
    ];
    const measured = skew.measureSkew(engines, {loadMultiple: LOAD_MULTIPLE});
    // Maximum over mean: 10 ms at 1 over 0.5, then 20 ms at 1 over 1.
    chai.expect(measured.maxOverMean).to.be.closeTo(30 / 25, 1e-9);
    chai.expect(measured.meanInFlight).to.be.closeTo(25 / 30, 1e-9);
  });

  it('subtracts ended runs and ignores events of the warm-up', () => {
    const engines = [
      {
        admissions: [createAdmission(0, 5), createAdmission(50, 1)],
        endsAtMs: [10, 11, 12, 13, 14],
      },
      {admissions: [createAdmission(40, 1)], endsAtMs: []},
    ];
    const options = {loadMultiple: LOAD_MULTIPLE, startMs: 20};
    const measured = skew.measureSkew(engines, options);
    chai.expect(measured.admissions).to.equal(2);
    chai.expect(measured.admissionsAboveBound).to.equal(0);
  });
});
