/** Property tests of what endpoints announced about themselves. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_206, numRuns: 300};
const LIFETIMES = ['a 1', 'a 2', 'b 1', 'c 1'];

describe('the notices of endpoints', () => {
  it('exclude a lifetime from its first notice until it is forgotten, and no other', () => {
    const step = fc.record({
      lifetime: fc.constantFrom(...LIFETIMES),
      isForgotten: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const notices = new decide.RecentEndpointNotices();
        const expected = new Set<string>();
        for (const {lifetime, isForgotten} of steps) {
          if (isForgotten) {
            notices.forget(lifetime);
            expected.delete(lifetime);
          } else {
            const isNew = notices.recordLeaving(lifetime);
            expect(isNew).to.equal(!expected.has(lifetime));
            expected.add(lifetime);
          }
          for (const each of LIFETIMES) {
            expect(notices.isWilling(each)).to.equal(!expected.has(each));
          }
        }
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('are kept for a limited number of lifetimes, those that gave one last', () => {
    const notices = new decide.RecentEndpointNotices(2);
    notices.recordLeaving('a 1');
    notices.recordLeaving('b 1');
    notices.recordLeaving('a 1');
    notices.recordLeaving('c 1');
    const willing = LIFETIMES.filter(lifetime => notices.isWilling(lifetime));
    expect(willing).to.deep.equal(['a 2', 'b 1']);
  });
});
