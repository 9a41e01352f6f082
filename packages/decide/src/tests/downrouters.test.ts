/** Tests which routers are suspects once others of their failure domain ended. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '../index.js';

const {expect} = chai;

const ROUTERS_PER_ZONE = 40;

function createMembership(): decide.PingMembership {
  const self = {name: 'self', address: '10.0.0.1', zone: 'a'};
  const membership = new decide.PingMembership({
    self,
    firstEpoch: 1,
    hash: core.hash32,
  });
  for (const zone of ['a', 'b']) {
    for (let index = 0; index < ROUTERS_PER_ZONE; index++) {
      membership.applyNote(noteOf(zone, index, 'ready'), 0);
    }
  }
  return membership;
}

function noteOf(
  zone: string,
  index: number,
  phase: decide.MemberNote['phase'],
): decide.MemberNote {
  const router = {name: `${zone}${index}`, address: '10.0.0.2', zone};
  return {router, epoch: 1, phase, isStoreLost: false};
}

describe('the suspects', () => {
  it('are the live ones of a failure domain of which a tenth went down just now', () => {
    const membership = createMembership();
    for (let index = 0; index < 3; index++) {
      membership.applyNote(noteOf('b', index, 'down'), 1_000);
    }
    expect(membership.suspects(1_000)).to.deep.equal([]);
    membership.applyNote(noteOf('b', 3, 'down'), 2_000);
    const suspects = membership.suspects(2_000);
    expect(suspects).to.have.length(ROUTERS_PER_ZONE - 4);
    expect(suspects.every(name => name.startsWith('b'))).to.equal(true);
    membership.recordPing('b9', 2_000);
    expect(membership.suspects(2_000)).not.to.include('b9');
    expect(membership.suspects(5_500)).to.deep.equal([]);
  });
});
