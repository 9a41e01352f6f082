/** Roster: instances that disappear from the list, and those that return. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as roster from '../roster.js';

const {expect} = chai;
const LINGER_MS = 2_500;

function live(...names: string[]): roster.ListedInstance[] {
  return names.map(name => ({name, state: 'live'}));
}

function namesIn(
  instances: roster.Roster<roster.ListedInstance>,
  nowMs: number,
): string[] {
  return instances.currentInstances(nowMs).map(item => item.name);
}

describe('roster', () => {
  it('keeps an instance during a short absence, unlike the baseline', () => {
    const lingering = new roster.LingeringRoster({lingerMs: LINGER_MS});
    const baseline = new roster.NaiveRoster();
    for (const each of [lingering, baseline]) {
      each.update(live('a', 'b', 'c'), 0);
      each.update(live('a', 'b'), 10);
    }
    expect(namesIn(lingering, 2_000)).to.deep.equal(['a', 'b', 'c']);
    expect(namesIn(baseline, 2_000)).to.deep.equal(['a', 'b']);
    lingering.update(live('a', 'b', 'c'), 2_000);
    expect(namesIn(lingering, 9_000)).to.deep.equal(['a', 'b', 'c']);
  });

  it('drops instances that stay away, leave or cannot be reached', () => {
    const lingering = new roster.LingeringRoster({lingerMs: LINGER_MS});
    lingering.update(
      [...live('a', 'b', 'c'), {name: 'd', state: 'leaving'}],
      0,
    );
    lingering.update(live('a', 'b'), 10);
    expect(namesIn(lingering, 20)).to.deep.equal(['a', 'b', 'c']);
    expect(namesIn(lingering, 10 + LINGER_MS)).to.deep.equal(['a', 'b']);
    lingering.update(live('a'), 5_000);
    lingering.drop('b');
    expect(namesIn(lingering, 5_001)).to.deep.equal(['a']);
  });

  it('keeps instances longer if most disappear from the list at once', () => {
    const lingering = new roster.LingeringRoster({lingerMs: LINGER_MS});
    lingering.update(live('a', 'b', 'c'), 0);
    lingering.update([], 10);
    expect(namesIn(lingering, 30_000)).to.deep.equal(['a', 'b', 'c']);
  });

  it('agrees with the baseline once no instance lingers', () => {
    const lists = fc.array(
      fc.subarray(['a', 'b', 'c', 'd', 'e'], {minLength: 3}),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(lists, drawn => {
        const lingering = new roster.LingeringRoster({lingerMs: LINGER_MS});
        const baseline = new roster.NaiveRoster();
        drawn.forEach((names, index) => {
          lingering.update(live(...names), index * 100);
          baseline.update(live(...names));
          const current = namesIn(lingering, index * 100);
          expect(current.slice(0, names.length)).to.deep.equal(
            namesIn(baseline, 0),
          );
        });
        const endMs = drawn.length * 100 + 60_000;
        expect(namesIn(lingering, endMs)).to.deep.equal(namesIn(baseline, 0));
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
