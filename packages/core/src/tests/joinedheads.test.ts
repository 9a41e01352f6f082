/** Guards against a head that two responses share being taken for one. */
import * as chai from 'chai';
import * as joinedHeads from '../joinedheads.js';

const {expect} = chai;

describe('a head that the parser joined from two responses', () => {
  it('is found by a status line in its reason or in a header', () => {
    const joined = [
      {statusMessage: 'MisHTTP/1.1 200 OK', rawHeaders: ['id', 'b']},
      {statusMessage: 'HTTP/1.0 200', rawHeaders: []},
      {statusMessage: 'OK', rawHeaders: ['x', 'a', 'ran', 'HTTP/1.1 200 OK']},
      {statusMessage: 'OK', rawHeaders: ['retry-after', '0.HTTP/1.1 500 ']},
    ];
    for (const head of joined) {
      expect(joinedHeads.isJoinedHead(head), JSON.stringify(head)).to.equal(
        true,
      );
    }
  });

  it('is not found in the head of one response', () => {
    const single = [
      {statusMessage: 'Service Unavailable', rawHeaders: ['id', 'b']},
      {statusMessage: '', rawHeaders: ['via', 'HTTP/1.1 proxy, 1.0 fred']},
      {statusMessage: undefined, rawHeaders: ['upgrade', 'HTTP/2.0']},
    ];
    for (const head of single) {
      expect(joinedHeads.isJoinedHead(head), JSON.stringify(head)).to.equal(
        false,
      );
    }
  });
});
