/** The roster: what vanishes from the list, and what comes back. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as roster from '../roster.js';

const {expect} = chai;
const LINGER_MS = 2_500;

function live(...names: string[]): roster.Listed[] {
  return names.map(name => ({name, state: 'live'}));
}

function namesAt(own: roster.Roster<roster.Listed>, nowMs: number): string[] {
  return own.current(nowMs).map(item => item.name);
}

describe('roster', () => {
  it('keeps an instance through a short absence, unlike the naive one', () => {
    const own = new roster.LingeringRoster({lingerMs: LINGER_MS});
    const naive = new roster.NaiveRoster();
    for (const one of [own, naive]) {
      one.update(live('a', 'b', 'c'), 0);
      one.update(live('a', 'b'), 10);
    }
    expect(namesAt(own, 2_000)).to.deep.equal(['a', 'b', 'c']);
    expect(namesAt(naive, 2_000)).to.deep.equal(['a', 'b']);
    own.update(live('a', 'b', 'c'), 2_000);
    expect(namesAt(own, 9_000)).to.deep.equal(['a', 'b', 'c']);
  });

  it('lets go of what stays away, leaves or cannot be reached', () => {
    const own = new roster.LingeringRoster({lingerMs: LINGER_MS});
    own.update([...live('a', 'b', 'c'), {name: 'd', state: 'leaving'}], 0);
    own.update(live('a', 'b'), 10);
    expect(namesAt(own, 20)).to.deep.equal(['a', 'b', 'c']);
    expect(namesAt(own, 10 + LINGER_MS)).to.deep.equal(['a', 'b']);
    own.update(live('a'), 5_000);
    own.drop('b');
    expect(namesAt(own, 5_001)).to.deep.equal(['a']);
  });

  it('doubts a list from which most instances vanish at once', () => {
    const own = new roster.LingeringRoster({lingerMs: LINGER_MS});
    own.update(live('a', 'b', 'c'), 0);
    own.update([], 10);
    expect(namesAt(own, 30_000)).to.deep.equal(['a', 'b', 'c']);
  });

  it('agrees with the naive one once nothing lingers', () => {
    const lists = fc.array(
      fc.subarray(['a', 'b', 'c', 'd', 'e'], {minLength: 3}),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(lists, steps => {
        const own = new roster.LingeringRoster({lingerMs: LINGER_MS});
        const naive = new roster.NaiveRoster();
        steps.forEach((names, at) => {
          own.update(live(...names), at * 100);
          naive.update(live(...names));
          const kept = namesAt(own, at * 100);
          expect(kept.slice(0, names.length)).to.deep.equal(namesAt(naive, 0));
        });
        const endMs = steps.length * 100 + 60_000;
        expect(namesAt(own, endMs)).to.deep.equal(namesAt(naive, 0));
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
