/** Tests for how long an endpoint counts as cold. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_206, numRuns: 200};

const note = (untilMs: number, bornMs = 1) => ({id: 'e', bornMs, untilMs});

describe('cold endpoints that are known', () => {
  it('are cold until the latest end of their newest lifetime, in any order', () => {
    const notes = fc.array(
      fc.tuple(fc.integer({min: 1, max: 9}), fc.integer({min: 1, max: 3})),
      {minLength: 1, maxLength: 12},
    );
    fc.assert(
      fc.property(notes, rows => {
        const cold = new decide.WarmingEndpoints();
        for (const [seconds, bornMs] of rows) {
          cold.applyNote(note(seconds * 1_000, bornMs), 0);
        }
        const newestBornMs = Math.max(...rows.map(([, bornMs]) => bornMs));
        const ends = rows.filter(([, bornMs]) => bornMs === newestBornMs);
        const endMs = Math.max(...ends.map(([seconds]) => seconds)) * 1_000;
        const lifetime = {id: 'e', bornMs: newestBornMs};
        expect(cold.leftMs(lifetime, 500)).to.equal(endMs - 500);
        expect(cold.leftMs({id: 'e', bornMs: 0}, 500)).to.equal(0);
        expect(cold.leftMs(lifetime, endMs)).to.equal(0);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('are news once, though each report gives an end a little later', () => {
    let newsCount = 0;
    const onNews = () => (newsCount += 1);
    const cold = new decide.WarmingEndpoints({onNews});
    expect(cold.recordCold(note(3_000), 0)).to.equal(true);
    expect(cold.recordCold(note(4_100), 1_100)).to.equal(false);
    expect(cold.recordCold(note(2_000), 100)).to.equal(false);
    expect(newsCount).to.equal(1);
    expect(cold.takeNews()).to.deep.equal([note(3_000)]);
    expect(cold.takeNews()).to.deep.equal([]);
    expect(cold.recordCold(note(9_000), 5_000)).to.equal(true);
  });

  it('are cold in a later lifetime whose clock went back', () => {
    const cold = new decide.WarmingEndpoints();
    cold.applyNote(note(3_000, 50), 0);
    cold.applyNote(note(9_000, 20), 5_000);
    expect(cold.leftMs({id: 'e', bornMs: 20}, 5_000)).to.equal(4_000);
  });

  it('are not believed to be cold for ever, and not kept once warm', () => {
    const cold = new decide.WarmingEndpoints();
    cold.applyNote(note(Number.POSITIVE_INFINITY), 0);
    expect(cold.leftMs(note(0), 0)).to.equal(60_000);
    expect(cold.all(70_000)).to.deep.equal([]);
    expect(cold.leftMs(note(0), 70_000)).to.equal(0);
    expect(cold.areAny()).to.equal(false);
  });
});

describe('an endpoint that could not be reached', () => {
  const createHealth = () =>
    new decide.DecayingHealth({
      routerCount: () => 3,
      random: new core.SeededRandom(1),
    });
  const ids = [...Array(10).keys()].map(index => `e${index}`);

  it('counts as returning for a while, whatever it answers', () => {
    const health = createHealth();
    for (const id of ids) health.recordSuccess(id, 0);
    expect(health.areAnyReturning()).to.equal(false);
    health.recordUnreachable('e1', 1_000);
    health.recordSuccess('e1', 1_500);
    expect(health.isReturning('e1', 3_000)).to.equal(true);
    expect(health.isReturning('e2', 3_000)).to.equal(false);
    expect(health.isReturning('e1', 6_000)).to.equal(false);
  });

  it('does not if most could not be, since this router was cut off', () => {
    const health = createHealth();
    for (const id of ids) health.recordSuccess(id, 0);
    for (const id of ids.slice(0, 5)) health.recordUnreachable(id, 1_000);
    expect(health.isReturning('e1', 2_000)).to.equal(true);
    health.recordUnreachable('e5', 1_000);
    expect(health.isReturning('e1', 2_000)).to.equal(false);
  });
});
