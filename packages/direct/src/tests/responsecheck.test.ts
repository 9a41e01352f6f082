/** Guards against a head being believed that nothing ties to the request. */
import * as chai from 'chai';
import type * as direct from '../index.js';
import * as responseCheck from '../responsecheck.js';

const {expect} = chai;

function head(
  fields: Partial<direct.EndpointResponseHead>,
): direct.EndpointResponseHead {
  return {
    isSealed: true,
    isNotRun: false,
    isMisdirected: false,
    isLeaving: false,
    namedLimit: {type: 'none'},
    ...fields,
  };
}

/** Heads that would each be valid with the request's id. */
const CASES = [
  {status: 200, isNotRun: false},
  {status: 500, isNotRun: false},
  {status: 503, isNotRun: true},
  {status: 429, isNotRun: true},
  {status: 421, isNotRun: true},
];

describe('the head of a response', () => {
  const isRejected = (
    status: number,
    fields: Partial<direct.EndpointResponseHead>,
    requestId: string,
  ) =>
    responseCheck.rejectionOf({status, head: head(fields)}, requestId) !==
    undefined;

  it('is believed with the id of the request only', () => {
    for (const {status, isNotRun} of CASES) {
      const headOf = (requestId?: string) => ({isNotRun, requestId});
      expect(isRejected(status, headOf('a'), 'a'), `${status}`).to.equal(false);
      expect(isRejected(status, headOf('b'), 'a'), `${status}`).to.equal(true);
      expect(isRejected(status, headOf(), 'a'), `${status}`).to.equal(true);
    }
  });

  it('is not believed if the request has no id', () => {
    for (const {status, isNotRun} of CASES) {
      for (const requestId of ['', undefined, 'b']) {
        const isBelieved = !isRejected(status, {isNotRun, requestId}, '');
        expect(isBelieved, `${status} with ${requestId}`).to.equal(false);
      }
    }
  });
});
