/** Property tests of what endpoints announced about themselves. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_206, numRuns: 300};
const ENDPOINTS = ['a', 'b', 'c'];

/** Starts of each endpoint, in order; one gives none. */
const STARTS_MS = [undefined, 5, 7];

describe('the notices of endpoints', () => {
  /** Notices as a plain list of all that was announced. */
  class NoticeList {
    private readonly entries: Array<{
      lifetime: decide.EndpointLifetime;
      untilMs: number;
    }> = [];

    add(lifetime: decide.EndpointLifetime, untilMs: number): void {
      this.entries.push({lifetime, untilMs});
    }

    untilMs({id, bornMs}: decide.EndpointLifetime): number {
      const own = this.entries.filter(
        ({lifetime}) => lifetime.id === id && lifetime.bornMs === bornMs,
      );
      return Math.max(0, ...own.map(({untilMs}) => untilMs));
    }
  }

  it('exclude a lifetime until the latest end announced, for ever if it leaves, and no other', () => {
    const step = fc.record({
      id: fc.constantFrom(...ENDPOINTS),
      action: fc.constantFrom('leave', 'hold', 'hold', 'hold', 'restart'),
      holdMs: fc.nat(100),
      passedMs: fc.nat(50),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const notices = new decide.RecentEndpointNotices();
        const list = new NoticeList();
        const startCounts = new Map<string, number>();
        const current = (id: string): decide.EndpointLifetime => ({
          id,
          bornMs: STARTS_MS[startCounts.get(id) ?? 0],
        });
        let nowMs = 0;
        for (const {id, action, holdMs, passedMs} of steps) {
          nowMs += passedMs;
          const lifetime = current(id);
          const beforeMs = list.untilMs(lifetime);
          if (action === 'restart') {
            const next = (startCounts.get(id) ?? 0) + 1;
            startCounts.set(id, Math.min(next, STARTS_MS.length - 1));
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
          const lifetimes = ENDPOINTS.map(current);
          for (const each of lifetimes) {
            const isFree = list.untilMs(each) <= nowMs;
            expect(notices.isWilling(each, nowMs)).to.equal(isFree);
          }
          const endsMs = lifetimes.map(each => list.untilMs(each));
          const earliestMs = Math.min(...endsMs);
          expect(notices.earliestWillingMs(lifetimes, nowMs)).to.equal(
            earliestMs === Infinity ? undefined : Math.max(nowMs, earliestMs),
          );
        }
        expect(notices.earliestWillingMs([], nowMs)).to.equal(undefined);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('are kept for a limited number of endpoints, those that gave one last', () => {
    const notices = new decide.RecentEndpointNotices(2);
    notices.recordLeaving({id: 'a'});
    notices.recordLeaving({id: 'b'});
    notices.recordHoldOff({id: 'a'}, 9, 0);
    notices.recordLeaving({id: 'c'});
    const willing = ENDPOINTS.filter(id => notices.isWilling({id}, 10));
    expect(willing).to.deep.equal(['b']);
  });
});
