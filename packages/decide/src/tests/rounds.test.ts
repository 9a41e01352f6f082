/** Rounds: limited rate, near peers in every round, all peers in time. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as rounds from '../rounds.js';

const {expect} = chai;

const PROPERTY_OPTIONS = {seed: 417, numRuns: 200};
const MAX_PER_SECOND = 60;
const MIN_PACE_MS = 400;

function createPeers(near: number, far: number): rounds.DigestPeer[] {
  const createGroup = (count: number, isNear: boolean) =>
    [...Array(count).keys()].map(index => ({
      name: `${isNear}-${index}`,
      isNear,
    }));
  return [...createGroup(near, true), ...createGroup(far, false)];
}

describe('rounds of digests', () => {
  const sizes = [fc.nat(80), fc.nat(330)] as const;

  it('keep to the rate, include all near peers, and reach all in time', () => {
    const property = fc.property(...sizes, (near, far) => {
      const peers = createPeers(near, far);
      const nearFirst = new rounds.NearFirstRounds({
        maxPerSecond: MAX_PER_SECOND,
      });
      const receivers = new Set<string>();
      let elapsedMs = 0;
      let farIntervalMs = 0;
      do {
        const round = nearFirst.nextRound(peers, MIN_PACE_MS);
        const perSecond = (round.names.length * 1_000) / round.intervalMs;
        expect(perSecond).to.be.at.most(MAX_PER_SECOND + 1);
        for (const {name, isNear} of peers) {
          if (isNear) expect(round.names).to.include(name);
        }
        for (const name of round.names) receivers.add(name);
        ({farIntervalMs} = round);
        elapsedMs += round.intervalMs;
      } while (elapsedMs < farIntervalMs);
      expect(receivers.size).to.equal(peers.length);
    });
    fc.assert(property, PROPERTY_OPTIONS);
  });

  it('include all peers after a change, and still keep to the rate', () => {
    const nearFirst = new rounds.NearFirstRounds({
      maxPerSecond: MAX_PER_SECOND,
    });
    const round = nearFirst.nextRound(createPeers(35, 105), MIN_PACE_MS, true);
    expect(round.names).to.have.length(140);
    expect((140 * 1_000) / round.intervalMs).to.be.at.most(MAX_PER_SECOND + 1);
    expect(round.nearIntervalMs).to.be.below(1_000);
  });

  it('include a whole small fleet each time, like the baseline', () => {
    const peers = createPeers(5, 13);
    const nearFirst = new rounds.NearFirstRounds({
      maxPerSecond: MAX_PER_SECOND,
    });
    const baseline = new rounds.FullRounds();
    expect(nearFirst.nextRound(peers, MIN_PACE_MS)).to.deep.equal(
      baseline.nextRound(peers, MIN_PACE_MS),
    );
  });

  it('reach the near peers of 140 within 1 s and the others within 6 s', () => {
    const nearFirst = new rounds.NearFirstRounds({
      maxPerSecond: MAX_PER_SECOND,
    });
    const round = nearFirst.nextRound(createPeers(35, 105), MIN_PACE_MS);
    expect(round.intervalMs).to.be.below(1_000);
    expect(round.farIntervalMs).to.be.below(6_000);
  });
});
