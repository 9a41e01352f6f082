/** Decisions in direct mode, compared with their baselines. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_OPTIONS = {seed: 20_261_204, numRuns: 200};

function random(): core.Random {
  return new core.SeededRandom(1);
}

function candidatesOf(loads: readonly number[]): decide.DirectCandidate[] {
  return loads.map((inFlight, index) => ({
    id: `e${index}`,
    zone: 'z',
    inFlight,
  }));
}

describe('placement by prefix', () => {
  it('chooses an endpoint below the load bound, or the least loaded one', () => {
    const loads = fc.array(fc.nat(60), {minLength: 1, maxLength: 20});
    fc.assert(
      fc.property(
        loads,
        fc.string(),
        fc.nat(20_000),
        (counts, prefix, prefixTokens) => {
          const placement = new decide.PrefixPlacement({random: random()});
          const all = candidatesOf(counts);
          const request = {prefix, prefixTokens, homes: ['e0'], zone: 'z'};
          const {endpoint: chosen} = placement.choose(request, all)!;
          const mean = counts.reduce((a, b) => a + b, 0) / counts.length;
          const {multiple, slack} = decide.LONG_PREFIX_BOUND;
          const isLeastLoaded = chosen.inFlight === Math.min(...counts);
          expect(
            isLeastLoaded || chosen.inFlight < mean * multiple + slack,
          ).to.equal(true);
        },
      ),
      PROPERTY_OPTIONS,
    );
  });

  it('chooses the same endpoint at every router if none holds the prefix', () => {
    fc.assert(
      fc.property(fc.string(), fc.integer(), (prefix, seed) => {
        const request = {prefix, prefixTokens: 9_000, zone: 'z'};
        const all = candidatesOf([0, 0, 0, 0, 0]);
        const [first, second] = [1, seed].map(each =>
          new decide.PrefixPlacement({
            random: new core.SeededRandom(each),
          }).choose(request, all),
        );
        expect(first).to.deep.equal(second);
      }),
      PROPERTY_OPTIONS,
    );
  });

  it('processes fewer prefixes again after endpoints join if homes are recorded', () => {
    const countProcessed = (homes: decide.PrefixHomes): number => {
      const placement = new decide.PrefixPlacement({random: random()});
      const processed = new Set<string>();
      let count = 0;
      for (let turn = 0; turn < 600; turn++) {
        const prefix = `p${turn % 60}`;
        const all = candidatesOf(
          Array.from({length: 5 + (turn > 300 ? 3 : 0)}, () => 0),
        );
        const holders = homes.homesOf(prefix, turn);
        const request = {
          prefix,
          prefixTokens: 9_000,
          homes: holders,
          zone: 'z',
        };
        const endpoint = placement.choose(request, all)!.endpoint.id;
        homes.recordPlacement({prefix, endpoint}, turn);
        if (!processed.has(prefix + endpoint)) count += 1;
        processed.add(prefix + endpoint);
      }
      return count;
    };
    expect(countProcessed(new decide.SharedPrefixHomes())).to.equal(60);
    expect(countProcessed(new decide.NoPrefixHomes())).to.be.greaterThan(70);
  });

  it("prefers the router's failure domain among the least loaded", () => {
    const placement = new decide.LeastLoadedPlacement(random());
    const all = [
      {id: 'far', zone: 'b', inFlight: 2},
      {id: 'near', zone: 'a', inFlight: 2},
      {id: 'busy', zone: 'a', inFlight: 3},
    ];
    expect(placement.choose({zone: 'a'}, all)?.endpoint.id).to.equal('near');
  });
});

describe('homes of prefixes', () => {
  it('are sent once per interval and removed with their endpoint', () => {
    const homes = new decide.SharedPrefixHomes();
    homes.recordPlacement({prefix: 'p', endpoint: 'e1'}, 0);
    homes.recordPlacement({prefix: 'p', endpoint: 'e1'}, 1);
    homes.applyRemote({prefix: 'p', endpoint: 'e2'}, 1);
    expect(homes.takeUnsent()).to.deep.equal([{prefix: 'p', endpoint: 'e1'}]);
    expect(homes.takeUnsent()).to.deep.equal([]);
    homes.recordPlacement({prefix: 'p', endpoint: 'e2'}, 2);
    expect(homes.takeUnsent(), 'received from another router').to.deep.equal(
      [],
    );
    homes.recordPlacement({prefix: 'p', endpoint: 'e1'}, 30_000);
    expect(homes.takeUnsent(), 'sent again after 25 s').to.have.length(1);
    homes.forget('e1');
    expect(homes.homesOf('p', 30_000)).to.deep.equal(['e2']);
    expect(homes.homesOf('p', 10 * 60_000)).to.deep.equal([]);
  });
});

describe('load over the fleet', () => {
  it('is the sum of local counts and valid counts of other routers', () => {
    const load = new decide.SummedFleetLoad(1_000);
    load.recordStart('e');
    load.recordStart('e');
    load.recordEnd('e');
    load.applyRemote('r2', new Map([['e', 4]]), 0);
    load.applyRemote('r3', new Map([['e', 2]]), 600);
    expect(load.inFlight('e', 700)).to.equal(7);
    expect(load.inFlight('e', 1_300)).to.equal(3);
    load.forget('r3');
    expect(load.inFlight('e', 1_300)).to.equal(1);
  });
});

describe('the retry budget of a pool', () => {
  it('is not exceeded in any window, over all routers', () => {
    const steps = fc.array(
      fc.record({
        router: fc.nat(4),
        isRetry: fc.boolean(),
        pauseMs: fc.nat(400),
      }),
      {maxLength: 300},
    );
    fc.assert(
      fc.property(steps, all => {
        const options = {ratio: 0.2, slack: 10, windowMs: 10_000};
        const routers = Array.from(
          {length: 5},
          () => new decide.SlidingPoolRetryBudget(options),
        );
        const retriesMs: number[] = [];
        const firstSendsMs: number[] = [];
        let nowMs = 0;
        for (const {router, isRetry, pauseMs} of all) {
          nowMs += pauseMs;
          const budget = routers[router]!;
          if (!isRetry) {
            budget.recordFirstSend('p', nowMs);
            firstSendsMs.push(nowMs);
          } else if (budget.trySpend('p', 5, nowMs)) {
            retriesMs.push(nowMs);
          }
          const sinceMs = nowMs - options.windowMs;
          const count = (times: number[]) =>
            times.filter(atMs => atMs >= sinceMs).length;
          // A slot leaves the window as a whole, so the window may be a tenth
          // longer.
          const slotMs = options.windowMs / 10;
          const firstSends = firstSendsMs.filter(
            atMs => atMs >= sinceMs - slotMs,
          ).length;
          expect(count(retriesMs)).to.be.at.most(
            options.ratio * firstSends + options.slack,
          );
        }
      }),
      PROPERTY_OPTIONS,
    );
  });
});

describe('health by outcomes', () => {
  const pool = ['a', 'b', 'c', 'd'];

  it('excludes an unreachable endpoint, for twice as long each time', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    health.recordUnreachable('a', 0);
    expect(health.filterUsable(pool, 100)).to.deep.equal(['b', 'c', 'd']);
    expect(health.filterUsable(pool, 600)).to.deep.equal(pool);
    health.recordUnreachable('a', 600);
    expect(health.filterUsable(pool, 1_500)).to.deep.equal(['b', 'c', 'd']);
    health.recordSuccess('a', 1_700);
    expect(health.filterUsable(pool, 1_701)).to.deep.equal(pool);
  });

  it('excludes an endpoint that fails far more often than the others', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    for (let count = 0; count < 6; count++) {
      health.recordFailure('a', count);
      for (const id of ['b', 'c', 'd']) health.recordSuccess(id, count);
    }
    expect(health.filterUsable(pool, 10)).to.deep.equal(['b', 'c', 'd']);
    expect(health.filterUsable(pool, 20_000)).to.deep.equal(pool);
  });

  it('includes failures that other routers observed', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    health.applyRemote('r2', new Map([['a', {good: 0, failed: 3}]]), 0);
    health.applyRemote('r3', new Map([['b', {good: 9, failed: 0}]]), 0);
    expect(health.filterUsable(pool, 1)).to.deep.equal(['b', 'c', 'd']);
  });

  it('excludes an endpoint that fails at once and so gets most requests', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    // Streams at the others take long, so that few successes are known.
    for (let count = 0; count < 20; count++) health.recordFailure('a', count);
    expect(health.filterUsable(pool, 20)).to.deep.equal(['b', 'c', 'd']);
    health.recordSuccess('b', 30);
    expect(health.filterUsable(pool, 40)).to.deep.equal(['b', 'c', 'd']);
  });

  it('excludes no endpoint that fails as often as the others, however uneven their requests', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    for (const [index, id] of pool.entries()) {
      for (let count = 0; count < 8 * (index + 1); count++) {
        if (count % 2 === 0) health.recordFailure(id, count);
        else health.recordSuccess(id, count);
      }
    }
    expect(health.filterUsable(pool, 40)).to.deep.equal(pool);
  });

  it('excludes no endpoint if most of the pool fails', () => {
    const health = new decide.DecayingHealth({
      routerCount: () => 1,
      random: random(),
    });
    for (let count = 0; count < 6; count++) {
      for (const id of ['a', 'b', 'c']) health.recordFailure(id, count);
    }
    expect(health.filterUsable(pool, 10)).to.deep.equal(pool);
  });
});

describe('copies of context', () => {
  const request = {target: 'e2', homes: ['e1', 'e0'], prefixTokens: 9_000};

  it('come from the most recently used home, if copying is fast', () => {
    const policy = new decide.FastCopyPolicy();
    const source = (overrides: Partial<decide.CopyRequest>) =>
      policy.chooseSource({...request, copyUsPerToken: 1.75, ...overrides});
    expect(source({})).to.equal('e1');
    expect(source({homes: []})).to.equal(undefined);
    expect(source({target: 'e1'})).to.equal(undefined);
    expect(source({prefixTokens: 20})).to.equal(undefined);
    expect(source({copyUsPerToken: 250})).to.equal(undefined);
    expect(source({copyUsPerToken: undefined})).to.equal(undefined);
  });

  it('save processing prefixes again when the serving endpoint changes', () => {
    const countProcessed = (policy: decide.ContextCopyPolicy): number => {
      let count = 0;
      for (let turn = 0; turn < 50; turn++) {
        const target = `e${turn % 5}`;
        const homes = turn === 0 ? [] : [`e${(turn - 1) % 5}`];
        const source = policy.chooseSource({
          ...request,
          target,
          homes,
          copyUsPerToken: 1,
        });
        if (source === undefined) count += 1;
      }
      return count;
    };
    expect(countProcessed(new decide.FastCopyPolicy())).to.equal(1);
    expect(countProcessed(new decide.NoCopyPolicy())).to.equal(50);
  });
});

describe('homes of prefixes', () => {
  it('are ordered by their last use, most recent first', () => {
    const homes = new decide.SharedPrefixHomes();
    homes.recordPlacement({prefix: 'p', endpoint: 'e1'}, 0);
    homes.applyRemote({prefix: 'p', endpoint: 'e2'}, 1);
    homes.recordPlacement({prefix: 'p', endpoint: 'e1'}, 2);
    expect(homes.homesOf('p', 3)).to.deep.equal(['e1', 'e2']);
  });
});
