/**
 * Guards against a status that promises "not run" for a request that an endpoint
 * has run: an endpoint's own 503 and the like are no such statement unless the
 * endpoint marks them.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

/** A 421 is itself a statement of the endpoint, so it is not among them. */
const PROMISES = [408, 429, 503];

describe('an unmarked status that would promise "not run"', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  for (const status of PROMISES) {
    const failure: standins.Behaviour = {type: 'fail', status};

    it(`is not passed on where a request runs once: ${status}`, async () => {
      fleet.setBehaviour(failure);
      for (const path of ['/book/a', '/once/a']) {
        const runCount = fleet.runs().length;
        const response = await fleet.call(path);
        expect(response.status).to.equal(502);
        expect(response.headers).not.to.have.property('response-seal');
        expect(fleet.runs()).to.have.length(runCount + 1);
      }
    });

    it(`is retried where that is allowed, and not passed on at last: ${status}`, async () => {
      const behaviours = [failure];
      for (const endpoint of fleet.endpoints) {
        endpoint.chooseBehaviour = () => behaviours.shift() ?? {type: 'answer'};
      }
      expect((await fleet.call('/read/a')).status).to.equal(200);
      expect(fleet.runs()).to.have.length(2);
      for (const endpoint of fleet.endpoints) {
        endpoint.chooseBehaviour = () => failure;
      }
      expect((await fleet.call('/read/a')).status).to.equal(502);
    });

    it(`is not passed on where the others refuse: ${status}`, async () => {
      const behaviours: standins.Behaviour[] = [failure];
      for (const endpoint of fleet.endpoints) {
        endpoint.chooseBehaviour = () => behaviours.shift() ?? {type: 'shed'};
      }
      expect((await fleet.call('/read/a')).status).to.equal(502);
    });
  }
});
