/** What requests cost: learned times, paces and work left. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as decide from '../index.js';
import * as endpointPaces from '../endpointpaces.js';
import * as forgettingFit from '../forgettingfit.js';
import * as forgettingRatio from '../forgettingratio.js';
import * as unansweredSends from '../unansweredsends.js';

const {expect} = chai;

const PROPERTY_OPTIONS = {seed: 20_261_206, numRuns: 100};

const FEATURES = [
  {unit: 1, priorMs: 50, minMs: 0.1, maxMs: 60_000},
  {unit: 1_000, priorMs: 10, minMs: 0.1, maxMs: 1_000},
];
const RATIO = {priorCount: 2, maxCount: 8, halfLifeMs: 10_000};
const LOAD = {running: 1, waiting: 0, slots: 8};

function createEstimates() {
  const load = new decide.SummedFleetLoad();
  const workLeft = new decide.AgingWorkLeft();
  const estimates = new decide.LearnedStartEstimates({load, workLeft});
  return {estimates, workLeft};
}

function workOf(sharedTokens: number): decide.RequestWork {
  const promptTokens = sharedTokens + 100;
  return {pool: 'p', route: 'r', promptTokens, sharedTokens};
}

/** Answers requests whose first event comes after 50 ms and 10 ms per 1,000. */
function teach(
  estimates: decide.LearnedStartEstimates,
  {endpoint = 'e', count = 40, pace = 1, tellsLoad = true} = {},
): void {
  const random = new core.SeededRandom(1);
  for (let index = 0; index < count; index++) {
    const atMs = index * 1_000;
    const work = workOf(random.nextInt(10_000));
    const holdsPrefix = random.nextFloat() < 0.5;
    const readTokens = holdsPrefix ? 100 : work.promptTokens;
    const tookMs = (50 + readTokens / 100) * pace;
    const sent = estimates.recordSend(work, {id: endpoint, holdsPrefix}, atMs);
    if (tellsLoad) estimates.recordLoad(endpoint, LOAD, atMs + tookMs);
    estimates.recordFirstEvent(sent, atMs + tookMs);
    estimates.recordEnd(sent, atMs + tookMs + 100, true);
  }
}

describe('a forgetting fit', () => {
  it('learns the time of each feature', () => {
    const fit = new forgettingFit.ForgettingFit(FEATURES);
    const random = new core.SeededRandom(1);
    for (let count = 0; count < 200; count++) {
      const tokens = random.nextInt(20_000);
      fit.observe([1, tokens], 80 + tokens / 50);
    }
    expect(fit.predict([1, 10_000])).to.be.within(270, 290);
    expect(fit.timeOf(1, 1_000)).to.be.within(18, 22);
  });

  it('is moved little by outliers', () => {
    const fit = new forgettingFit.ForgettingFit(FEATURES);
    for (let count = 0; count < 300; count++) {
      fit.observe([1, 1_000], count % 20 === 19 ? 30_000 : 100);
    }
    expect(fit.predict([1, 1_000])).to.be.within(95, 130);
  });

  it('stays finite and within its limits whatever is observed', () => {
    const observation = fc.tuple(
      fc.double({min: 0, max: 1e6, noNaN: true}),
      fc.double({min: 0, max: 1e9, noNaN: true}),
    );
    fc.assert(
      fc.property(fc.array(observation, {maxLength: 60}), observations => {
        const fit = new forgettingFit.ForgettingFit(FEATURES);
        for (const [tokens, timeMs] of observations) {
          fit.observe([1, tokens], timeMs);
        }
        expect(fit.predict([1, 0])).to.be.within(0.1, 60_000);
        expect(fit.timeOf(1, 1_000)).to.be.within(0.1, 1_000);
      }),
      PROPERTY_OPTIONS,
    );
  });
});

describe('a forgetting ratio', () => {
  it('follows a change within a few observations and forgets by age', () => {
    const ratio = new forgettingRatio.ForgettingRatio(RATIO);
    for (let index = 0; index < 50; index++) ratio.observe(1, index * 100);
    for (let index = 50; index < 60; index++) ratio.observe(3, index * 100);
    expect(ratio.value(6_000)).to.be.within(1.8, 3);
    expect(ratio.value(200_000)).to.be.within(1, 1.05);
  });

  it('is bounded whatever is observed', () => {
    const ratios = fc.array(fc.double({min: 0, max: 1e300, noNaN: true}));
    fc.assert(
      fc.property(ratios, observed => {
        const ratio = new forgettingRatio.ForgettingRatio(RATIO);
        observed.forEach((each, index) => ratio.observe(each, index));
        expect(ratio.value(observed.length)).to.be.within(0.4, 6);
      }),
      PROPERTY_OPTIONS,
    );
  });
});

describe('the pace that an endpoint tells', () => {
  it('counts for a moment, relative to what it usually tells', () => {
    const paces = new endpointPaces.EndpointPaces();
    for (let index = 0; index < 20; index++) {
      paces.recordLoad('e', {...LOAD, pacePercent: 100}, index * 100);
    }
    paces.recordLoad('e', {...LOAD, pacePercent: 250}, 2_000);
    expect(paces.toldPace('e', 2_050)).to.be.within(2, 2.5);
    expect(paces.toldPace('e', 2_101)).to.equal(1);
    expect(paces.toldPace('other', 2_050)).to.equal(1);
  });
});

describe('work left', () => {
  it('ages, is done once, and is the sum over all routers', () => {
    const workLeft = new decide.AgingWorkLeft();
    workLeft.recordStart('e', 100, 0);
    workLeft.recordStart('e', 100, 0);
    workLeft.applyRemote('r', new Map([['e', 80]]), 0);
    expect(workLeft.remainingMs('e', 0)).to.equal(280);
    expect(workLeft.remainingMs('e', 50)).to.equal(150 + 30);
    workLeft.recordDone('e', 100, 60);
    expect(workLeft.remainingMs('e', 100)).to.equal(60);
    workLeft.recordDone('e', 100, 120);
    expect(workLeft.remainingMs('e', 120)).to.equal(0);
    expect(workLeft.localWork(120).size).to.equal(0);
  });

  it('is never negative, and ends with the last request', () => {
    const step = fc.record({isStart: fc.boolean(), pauseMs: fc.nat(300)});
    fc.assert(
      fc.property(fc.array(step), steps => {
        const workLeft = new decide.AgingWorkLeft();
        let nowMs = 0;
        let pending = 0;
        for (const {isStart, pauseMs} of steps) {
          nowMs += pauseMs;
          if (isStart) workLeft.recordStart('e', 100, nowMs);
          else if (pending > 0) workLeft.recordDone('e', 100, nowMs);
          pending = Math.max(0, pending + (isStart ? 1 : -1));
          const leftMs = workLeft.remainingMs('e', nowMs);
          expect(leftMs).to.be.within(0, pending * 100);
          expect(leftMs > 0).to.equal(pending > 0);
        }
      }),
      PROPERTY_OPTIONS,
    );
  });
});

describe('unanswered requests', () => {
  it('tell that an endpoint is slow until they are answered', () => {
    const unanswered = new unansweredSends.UnansweredSends();
    const send = {sentAtMs: 0, expectedMs: 100};
    unanswered.add('e', send);
    expect(unanswered.overdueRatio('e', 120)).to.equal(1);
    expect(unanswered.overdueRatio('e', 300)).to.equal(3);
    expect(unanswered.overdueRatio('e', 9_000)).to.equal(6);
    expect(unanswered.overdueRatio('f', 300)).to.equal(1);
    unanswered.remove('e', send);
    expect(unanswered.overdueRatio('e', 300)).to.equal(1);
  });
});

describe('learned estimates', () => {
  it('are those of the pool once a few answers have come', () => {
    const {estimates} = createEstimates();
    const work = workOf(8_000);
    const first = estimates.estimate(work, {id: 'e', holdsPrefix: false}, 0);
    expect(first).to.equal(undefined);
    teach(estimates);
    const [held, read] = [true, false].map(holdsPrefix =>
      estimates.estimate(work, {id: 'e', holdsPrefix}, 40_000),
    );
    expect(held!.firstEventMs).to.be.within(45, 57);
    expect(read!.firstEventMs).to.be.within(120, 140);
    expect(read!.completeMs).to.be.within(210, 250);
  });

  it('stay unknown where endpoints do not tell their load', () => {
    const {estimates} = createEstimates();
    teach(estimates, {tellsLoad: false});
    const endpoint = {id: 'e', holdsPrefix: false};
    expect(estimates.estimate(workOf(100), endpoint, 0)).to.equal(undefined);
  });

  it('count what an endpoint still has to read', () => {
    const {estimates} = createEstimates();
    teach(estimates);
    const work = workOf(0);
    const endpoint = {id: 'f', holdsPrefix: true};
    estimates.recordSend(workOf(20_000), {id: 'f', holdsPrefix: false}, 40_000);
    const behind = estimates.estimate(work, endpoint, 40_000)!;
    expect(behind.firstEventMs).to.be.within(220, 290);
    expect(behind.delayMs).to.be.within(170, 230);
    const later = estimates.estimate(work, endpoint, 40_150)!;
    expect(later.firstEventMs).to.be.lessThan(150);
  });

  it('take what slows all endpoints alike for no delay at one of them', () => {
    const {estimates} = createEstimates();
    teach(estimates);
    const work = workOf(8_000);
    for (let index = 0; index < 20; index++) {
      const atMs = 40_000 + index * 50;
      const endpoint = {id: `e${index % 4}`, holdsPrefix: true};
      const sent = estimates.recordSend(work, endpoint, atMs);
      estimates.recordLoad(endpoint.id, LOAD, atMs + 200);
      estimates.recordFirstEvent(sent, atMs + 200);
      estimates.recordEnd(sent, atMs + 300, true);
    }
    const slowed = estimates.estimate(
      work,
      {id: 'e0', holdsPrefix: true},
      41_500,
    )!;
    expect(slowed.firstEventMs).to.be.within(110, 260);
    expect(slowed.delayMs).to.be.lessThan(slowed.firstEventMs / 2);
  });

  it('of other endpoints are hardly spoiled by one that is slow or lies', () => {
    const {estimates} = createEstimates();
    teach(estimates);
    teach(estimates, {endpoint: 'slow', pace: 4});
    const work = workOf(8_000);
    const [usual, slow] = ['e', 'slow'].map(id =>
      estimates.estimate(work, {id, holdsPrefix: true}, 40_000)!,
    );
    expect(slow!.firstEventMs).to.be.greaterThan(usual!.firstEventMs * 2);
    expect(usual!.firstEventMs).to.be.within(40, 110);
  });
});

describe('placement by cost', () => {
  const random = new core.SeededRandom(1);
  const unknown = new decide.UnknownStartEstimates();

  function candidatesOf(loads: readonly number[]): decide.DirectCandidate[] {
    return loads.map((inFlight, index) => ({
      id: `e${index}`,
      zone: 'z',
      inFlight,
    }));
  }

  function placementWith(estimates: decide.StartEstimates) {
    const fallback = new decide.PrefixPlacement({random});
    return new decide.CostPlacement({estimates, fallback, random});
  }

  /** Estimates by endpoint and whether it holds the prefix. */
  function fixedEstimates(
    timesMs: Readonly<Record<string, {held: number; unheld: number}>>,
  ): decide.StartEstimates {
    return {
      isOn: true,
      estimate: (work, {id, holdsPrefix}) => {
        const {held, unheld} = timesMs[id] ?? {held: 50, unheld: 150};
        const firstEventMs = holdsPrefix ? held : unheld;
        const delayMs = firstEventMs - (holdsPrefix ? 50 : 150);
        return {firstEventMs, completeMs: firstEventMs, workMs: 1, delayMs};
      },
    };
  }

  const request = {
    prefix: 'a',
    prefixTokens: 9_000,
    homes: ['e0'],
    zone: 'z',
    work: workOf(9_000),
    nowMs: 0,
  };

  it('is that by counts while nothing is known', () => {
    const loads = fc.array(fc.nat(60), {minLength: 1, maxLength: 20});
    fc.assert(
      fc.property(loads, fc.string(), (counts, prefix) => {
        const all = candidatesOf(counts);
        const byCounts = new decide.PrefixPlacement({
          random: new core.SeededRandom(5),
        });
        const byCost = new decide.CostPlacement({
          estimates: unknown,
          fallback: new decide.PrefixPlacement({
            random: new core.SeededRandom(5),
          }),
          random: new core.SeededRandom(6),
        });
        const each = {...request, prefix};
        expect(byCost.choose(each, all)).to.deep.equal(
          byCounts.choose(each, all),
        );
      }),
      PROPERTY_OPTIONS,
    );
  });

  it('keeps to the load bound, or takes the least loaded', () => {
    const loads = fc.array(fc.nat(60), {minLength: 1, maxLength: 20});
    const homes = fc.array(fc.nat(19).map(index => `e${index}`));
    const prefixes = fc.option(fc.string(), {nil: undefined});
    const placement = placementWith(
      fixedEstimates({e0: {held: 900, unheld: 1_000}}),
    );
    fc.assert(
      fc.property(loads, prefixes, homes, (counts, prefix, held) => {
        const each = {...request, prefix, homes: held};
        const {endpoint} = placement.choose(each, candidatesOf(counts))!;
        const mean = counts.reduce((a, b) => a + b, 0) / counts.length;
        const {multiple, slack} = decide.LONG_PREFIX_BOUND;
        const isLeastLoaded = endpoint.inFlight === Math.min(...counts);
        expect(
          isLeastLoaded || endpoint.inFlight < mean * multiple + slack,
        ).to.equal(true);
      }),
      PROPERTY_OPTIONS,
    );
  });

  it('chooses the same endpoint at every router for a prefix without home', () => {
    const all = candidatesOf([0, 1, 0, 2, 0]);
    const timesMs = [20, 400, 90].map(held => ({held, unheld: held + 100}));
    const ids = timesMs.map((first, index) => {
      const estimates = fixedEstimates({[`e${index}`]: first});
      const each = {...request, homes: []};
      return placementWith(estimates).choose(each, all)!.endpoint.id;
    });
    expect(new Set(ids).size).to.equal(1);
  });

  it('leaves the home if the delay exceeds the cost of reading again', () => {
    const all = candidatesOf([1, 1, 1]);
    const chosenWith = (heldMs: number) => {
      const times = {e0: {held: heldMs, unheld: heldMs + 100}};
      return placementWith(fixedEstimates(times)).choose(request, all)!.reason;
    };
    expect(chosenWith(60)).to.equal('home');
    expect(chosenWith(300)).to.equal('home');
    expect(chosenWith(900)).to.equal('earlier');
  });

  it('keeps to the home while the request is expected well within its goal', () => {
    const all = candidatesOf([1, 1, 1]);
    const times = {e0: {held: 900, unheld: 1_000}};
    const placement = placementWith(fixedEstimates(times));
    const reasonFor = (goalMs: number) =>
      placement.choose({...request, goalMs}, all)!.reason;
    expect(reasonFor(10_000)).to.equal('home');
    expect(reasonFor(1_000)).to.equal('earlier');
  });

  it('leaves the home sooner if the context can be copied', () => {
    const all = candidatesOf([1, 1, 1]);
    const times = {e0: {held: 200, unheld: 300}};
    const placement = placementWith(fixedEstimates(times));
    const each = {...request, copyUsPerToken: 1};
    expect(placement.choose(each, all)!.reason).to.equal('earlier');
  });

  it('gives requests without a prefix to endpoints by pace and load', () => {
    const placement = placementWith(
      fixedEstimates({e0: {held: 200, unheld: 400}}),
    );
    const each = {zone: 'z', work: request.work, nowMs: 0};
    const chosenAt = (loads: readonly number[]) =>
      placement.choose(each, candidatesOf(loads))!.endpoint.id;
    expect(chosenAt([1, 2])).to.equal('e1');
    expect(chosenAt([0, 5])).to.equal('e0');
  });
});
