/** Rounds: bounded, near ones always, everyone in time. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as rounds from '../rounds.js';

const {expect} = chai;

const SETTINGS = {seed: 417, numRuns: 200};
const MAX_PER_SECOND = 60;
const LEAST_MS = 400;

function createPeers(near: number, far: number): rounds.Peer[] {
  const make = (count: number, isNear: boolean) =>
    [...Array(count).keys()].map(at => ({name: `${isNear}-${at}`, isNear}));
  return [...make(near, true), ...make(far, false)];
}

describe('rounds of digests', () => {
  const sizes = [fc.nat(80), fc.nat(330)] as const;

  it('send no more than allowed, the near ones each time, all in time', () => {
    const property = fc.property(...sizes, (near, far) => {
      const peers = createPeers(near, far);
      const own = new rounds.NearFirstRounds({maxPerSecond: MAX_PER_SECOND});
      const told = new Set<string>();
      let passedMs = 0;
      let farPaceMs = 0;
      do {
        const round = own.next(peers, LEAST_MS);
        const perSecond = (round.names.length * 1_000) / round.paceMs;
        expect(perSecond).to.be.at.most(MAX_PER_SECOND + 1);
        for (const {name, isNear} of peers) {
          if (isNear) expect(round.names).to.include(name);
        }
        for (const name of round.names) told.add(name);
        ({farPaceMs} = round);
        passedMs += round.paceMs;
      } while (passedMs < farPaceMs);
      expect(told.size).to.equal(peers.length);
    });
    fc.assert(property, SETTINGS);
  });

  it('tell everyone of news, and keep to the limit all the same', () => {
    const own = new rounds.NearFirstRounds({maxPerSecond: MAX_PER_SECOND});
    const round = own.next(createPeers(35, 105), LEAST_MS, true);
    expect(round.names).to.have.length(140);
    expect((140 * 1_000) / round.paceMs).to.be.at.most(MAX_PER_SECOND + 1);
    expect(round.nearPaceMs).to.be.below(1_000);
  });

  it('tell a small fleet in every round, as the naive ones do', () => {
    const peers = createPeers(5, 13);
    const own = new rounds.NearFirstRounds({maxPerSecond: MAX_PER_SECOND});
    const naive = new rounds.FullRounds();
    expect(own.next(peers, LEAST_MS)).to.deep.equal(
      naive.next(peers, LEAST_MS),
    );
  });

  it('keep a failure domain of 141 routers within about a second', () => {
    const own = new rounds.NearFirstRounds({maxPerSecond: MAX_PER_SECOND});
    const round = own.next(createPeers(35, 105), LEAST_MS);
    expect(round.paceMs).to.be.below(1_000);
    expect(round.farPaceMs).to.be.below(6_000);
  });
});
