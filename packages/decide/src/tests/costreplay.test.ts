/** Placement by cost against placement by counts, on replayed loads. */
import * as chai from 'chai';
import * as v from 'valibot';
import * as loadPattern from './replay/loadpattern.js';
import * as replay from './replay/replay.js';

const {expect} = chai;

const USUAL_PACE = [{fromMs: 0, pace: 1}];
const LONG = {
  route: 'draft',
  perS: 14,
  sharedTokens: 10_000,
  ownTokens: 1_000,
  outputTokens: 300,
  spread: 2,
  prefixes: 40,
  hotShare: 0,
  goalMs: 800,
  bursts: [],
};
const SHORT = {
  route: 'summary',
  perS: 25,
  sharedTokens: 700,
  ownTokens: 130,
  outputTokens: 200,
  spread: 2,
  prefixes: 60,
  hotShare: 0,
  goalMs: 300,
  bursts: [],
};

function results(pattern: unknown) {
  const parsed = v.parse(loadPattern.patternSchema, pattern);
  const counts = new replay.Replay(parsed, 'counts').run();
  const cost = new replay.Replay(parsed, 'cost').run();
  if (process.env.SHOW_REPLAYS) console.table({counts, cost});
  return {counts, cost};
}

describe('placement by cost, replayed', () => {
  it('serves a burst of long prompts with a hot prefix sooner', () => {
    const bursts = [{fromMs: 6_000, toMs: 12_000, multiple: 10}];
    const {counts, cost} = results({
      seed: 1,
      lengthMs: 16_000,
      routers: 6,
      copyUsPerToken: 1.2,
      endpoints: [{count: 10, slots: 48, paces: USUAL_PACE}],
      kinds: [{...LONG, goalMs: 400, hotShare: 0.25, bursts}, SHORT],
    });
    expect(cost.inTimeShare).to.be.greaterThan(counts.inTimeShare + 0.1);
    expect(cost.firstEventP95Ms).to.be.lessThan(counts.firstEventP95Ms / 2);
    expect(cost.readTokens).to.be.at.most(counts.readTokens);
  });

  it('reads few prefixes again where contexts cannot be copied', () => {
    const bursts = [{fromMs: 6_000, toMs: 12_000, multiple: 6}];
    const {counts, cost} = results({
      seed: 1,
      lengthMs: 16_000,
      routers: 6,
      endpoints: [{count: 10, slots: 48, paces: USUAL_PACE}],
      kinds: [{...LONG, goalMs: 400, hotShare: 0.25, bursts}, SHORT],
    });
    expect(cost.readTokens).to.be.lessThan(counts.readTokens);
    expect(cost.firstEventP95Ms).to.be.lessThan(counts.firstEventP95Ms);
  });

  it('gives slower endpoints less', () => {
    const {counts, cost} = results({
      seed: 2,
      lengthMs: 30_000,
      routers: 6,
      copyUsPerToken: 1.2,
      endpoints: [
        {count: 5, slots: 48, paces: USUAL_PACE},
        {count: 3, slots: 48, paces: [{fromMs: 0, pace: 1.3}]},
        {count: 2, slots: 48, paces: [{fromMs: 0, pace: 2.5}]},
      ],
      kinds: [
        {...LONG, perS: 40},
        {...SHORT, perS: 80},
      ],
    });
    expect(cost.inTimeShare).to.be.greaterThan(counts.inTimeShare);
    expect(cost.firstEventP95Ms).to.be.lessThan(counts.firstEventP95Ms);
    expect(cost.closeShare).to.be.greaterThan(0.5);
    expect(cost.withinTwiceShare).to.be.greaterThan(0.9);
  });

  it('leaves an endpoint that becomes slow, and comes back', () => {
    const paces = [
      {fromMs: 0, pace: 1},
      {fromMs: 8_000, pace: 5},
      {fromMs: 20_000, pace: 1},
    ];
    const {counts, cost} = results({
      seed: 3,
      lengthMs: 30_000,
      routers: 6,
      copyUsPerToken: 1.2,
      endpoints: [
        {count: 8, slots: 48, paces: USUAL_PACE},
        {count: 2, slots: 48, paces},
      ],
      kinds: [
        {...LONG, perS: 40},
        {...SHORT, perS: 80},
      ],
    });
    expect(cost.inTimeShare).to.be.greaterThan(counts.inTimeShare);
    expect(cost.firstEventP95Ms).to.be.lessThan(counts.firstEventP95Ms);
  });
});
