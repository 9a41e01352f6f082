/** Unit tests of the limits that endpoints name, and of the permits for them. */
import * as chai from 'chai';
import * as decide from '../index.js';

const {expect} = chai;

const ENDPOINT = {id: 'e1', bornMs: 1};

describe('the limits of endpoints', () => {
  let limits: decide.NewestEndpointLimits;
  let newsCount: number;

  beforeEach(() => {
    newsCount = 0;
    limits = new decide.NewestEndpointLimits({onNews: () => (newsCount += 1)});
  });

  const hear = (perSecond: number | undefined, observedAtMs: number) =>
    limits.recordResponse({...ENDPOINT, perSecond, observedAtMs});

  it('hold until a response names none, and are told when they change', () => {
    hear(4, 10);
    hear(4, 20);
    hear(4.1, 30);
    expect(limits.limitOf(ENDPOINT)).to.equal(4.1);
    expect(newsCount).to.equal(1);
    hear(undefined, 40);
    expect(limits.limitOf(ENDPOINT)).to.equal(undefined);
    expect(newsCount).to.equal(2);
    expect(limits.takeNews()).to.deep.equal([
      {...ENDPOINT, perSecond: undefined, observedAtMs: 40},
    ]);
    expect(limits.takeNews()).to.deep.equal([]);
  });

  it('are unknown of another lifetime', () => {
    hear(4, 10);
    expect(limits.limitOf({...ENDPOINT, bornMs: 2})).to.equal(undefined);
  });

  it('are the newest by the time of the response, not of the news', () => {
    hear(undefined, 5);
    expect(
      limits.applyNote({...ENDPOINT, perSecond: 4, observedAtMs: 10}),
    ).to.equal(true);
    expect(limits.applyNote({...ENDPOINT, observedAtMs: 9})).to.equal(false);
    expect(limits.limitOf(ENDPOINT)).to.equal(4);
    hear(undefined, 20);
    expect(
      limits.applyNote({...ENDPOINT, perSecond: 9, observedAtMs: 15}),
    ).to.equal(false);
    expect(limits.limitOf(ENDPOINT)).to.equal(undefined);
  });

  it('of 0, told wrongly by a router, end with the first response', () => {
    limits.applyNote({...ENDPOINT, perSecond: 0, observedAtMs: 10});
    expect(limits.limitOf(ENDPOINT)).to.equal(0);
    hear(undefined, 11);
    expect(limits.limitOf(ENDPOINT)).to.equal(undefined);
    expect(newsCount).to.equal(1);
  });
});

describe('the granter of permits', () => {
  /** Most grants in 4 s, and in all, of questions at the interval. */
  function grants(perSecond: number, everyMs: number, maxWaitMs = 0) {
    const granter = new decide.PacedPermitGranter();
    const sentMs: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += everyMs) {
      const request = {endpoint: 'e', perSecond, maxWaitMs};
      const decision = granter.decide(request, nowMs);
      if (decision.type === 'granted') sentMs.push(nowMs + decision.delayMs);
    }
    const inWindow = sentMs.map(
      fromMs =>
        sentMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 4_000).length,
    );
    return {total: sentMs.length, most: Math.max(0, ...inWindow)};
  }

  for (const perSecond of [0.5, 1, 4.6, 7, 40]) {
    for (const everyMs of [1, 37, 90]) {
      for (const maxWaitMs of [0, 300]) {
        it(`uses a limit of ${perSecond} a second and stays below 1.2 times it, asked every ${everyMs} ms with a wait of ${maxWaitMs} ms`, () => {
          const {total, most} = grants(perSecond, everyMs, maxWaitMs);
          const demand = Math.min(perSecond, 1_000 / everyMs);
          expect(total).to.be.at.least(Math.floor(demand * 60 * 0.9));
          expect(most).to.be.at.most(Math.ceil(perSecond * 4 * 1.2) + 1);
        });
      }
    }
  }

  it('grants a rare probe of an endpoint that takes nothing', () => {
    const {total, most} = grants(0, 20);
    expect(total).to.be.within(25, 31);
    expect(most).to.be.at.most(3);
  });

  it('grants nothing at its start, since another may have granted until now', () => {
    const granter = new decide.PacedPermitGranter();
    const request = {endpoint: 'e', perSecond: 5, maxWaitMs: 0};
    expect(granter.decide(request, 1_000)).to.deep.equal({
      type: 'denied',
      retryInMs: 200,
    });
    expect(granter.decide(request, 1_200).type).to.equal('granted');
  });

  it('keeps the turns that were promised when others cannot wait', () => {
    const granter = new decide.PacedPermitGranter();
    const request = {endpoint: 'e', perSecond: 5, maxWaitMs: 450};
    expect(granter.decide(request, 0)).to.include({delayMs: 200});
    expect(granter.decide(request, 0)).to.include({delayMs: 400});
    expect(granter.decide({...request, maxWaitMs: 0}, 0)).to.deep.equal({
      type: 'denied',
      retryInMs: 600,
    });
    expect(granter.decide({...request, maxWaitMs: 0}, 500).type).to.equal(
      'denied',
    );
  });

  it('without a strategy exceeds the limit (baseline)', () => {
    const granter = new decide.UnlimitedPermitGranter();
    expect(granter.decide().type).to.equal('granted');
  });
});
