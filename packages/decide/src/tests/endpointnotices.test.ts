/** Property tests of what endpoints announced about themselves. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_206, numRuns: 300};
const LIFETIMES = ['a 1', 'a 2', 'b 1', 'c 1'];

describe('the notices of endpoints', () => {
  /** Notices as a plain list of all that was announced. */
  class NoticeList {
    private entries: Array<{lifetime: string; untilMs: number}> = [];

    add(lifetime: string, untilMs: number): void {
      this.entries.push({lifetime, untilMs});
    }

    forget(lifetime: string): void {
      this.entries = this.entries.filter(entry => entry.lifetime !== lifetime);
    }

    untilMs(lifetime: string): number {
      const own = this.entries.filter(entry => entry.lifetime === lifetime);
      return Math.max(0, ...own.map(({untilMs}) => untilMs));
    }
  }

  it('exclude a lifetime until the latest end announced, for ever if it leaves, and no other', () => {
    const step = fc.record({
      lifetime: fc.constantFrom(...LIFETIMES),
      action: fc.constantFrom('leave', 'hold', 'hold', 'hold', 'forget'),
      holdMs: fc.nat(100),
      passedMs: fc.nat(50),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const notices = new decide.RecentEndpointNotices();
        const list = new NoticeList();
        let nowMs = 0;
        for (const {lifetime, action, holdMs, passedMs} of steps) {
          nowMs += passedMs;
          const beforeMs = list.untilMs(lifetime);
          if (action === 'forget') {
            notices.forget(lifetime);
            list.forget(lifetime);
          } else if (action === 'leave') {
            const isNew = notices.recordLeaving(lifetime);
            expect(isNew).to.equal(beforeMs < Infinity);
            list.add(lifetime, Infinity);
          } else {
            const untilMs = nowMs + holdMs;
            const isNew = notices.recordHoldOff(lifetime, untilMs, nowMs);
            expect(isNew).to.equal(beforeMs <= nowMs && holdMs > 0);
            list.add(lifetime, untilMs);
          }
          for (const each of LIFETIMES) {
            const isFree = list.untilMs(each) <= nowMs;
            expect(notices.isWilling(each, nowMs)).to.equal(isFree);
          }
          const earliestMs = Math.min(...LIFETIMES.map(id => list.untilMs(id)));
          expect(notices.earliestWillingMs(LIFETIMES, nowMs)).to.equal(
            earliestMs === Infinity ? undefined : Math.max(nowMs, earliestMs),
          );
        }
        expect(notices.earliestWillingMs([], nowMs)).to.equal(undefined);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('are kept for a limited number of lifetimes, those that gave one last', () => {
    const notices = new decide.RecentEndpointNotices(2);
    notices.recordLeaving('a 1');
    notices.recordLeaving('b 1');
    notices.recordHoldOff('a 1', 9, 0);
    notices.recordLeaving('c 1');
    const willing = LIFETIMES.filter(lifetime =>
      notices.isWilling(lifetime, 10),
    );
    expect(willing).to.deep.equal(['a 2', 'b 1']);
  });
});
