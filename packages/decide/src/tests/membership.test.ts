/** Membership: silence, notes, refutation, and the router's own fault. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as membership from '../membership.js';

const {expect} = chai;

const SEED = 412;
const RUNS = 2_000;
const TIMEOUT_MS = 2_200;
const NOTE_MS = 10_000;
const ROUTERS = ['a', 'b', 'c', 'd', 'e'];

function create(watched: readonly string[] = ROUTERS) {
  const own = new membership.ObservedMembership({
    timeoutMs: TIMEOUT_MS,
    noteMs: NOTE_MS,
  });
  own.watch(watched, 0);
  return own;
}

function hear(
  own: membership.Membership,
  nowMs: number,
  routers: readonly string[],
): void {
  for (const router of routers) own.heard(router, 1, nowMs);
}

/** Counts a router as live while it was heard within the timeout. */
class Naive {
  private readonly heardMs = new Map<string, number>();

  heard(router: string, nowMs: number): void {
    this.heardMs.set(router, nowMs);
  }

  isLive(router: string, nowMs: number): boolean {
    return nowMs - (this.heardMs.get(router) ?? 0) <= TIMEOUT_MS;
  }
}

describe('membership', () => {
  const [a = '', ...others] = ROUTERS;

  it('counts a silent router as gone, and live once it is heard', () => {
    const own = create();
    hear(own, 0, ROUTERS);
    hear(own, 1_500, others);
    expect(own.isLive(a, TIMEOUT_MS)).to.equal(true);
    expect(own.isLive(a, TIMEOUT_MS + 1)).to.equal(false);
    expect(own.notes(2_300)).to.deep.equal([{router: a, incarnation: 1}]);
    own.heard(a, 1, 2_400);
    expect(own.isLive(a, 2_400)).to.equal(true);
    expect(own.notes(2_400)).to.deep.equal([]);
  });

  it('takes a router it does not watch as live until told otherwise', () => {
    const own = create();
    expect(own.isLive('z', 1e6)).to.equal(true);
    expect(own.learn({router: 'z', incarnation: 1}, 1e6)).to.equal(true);
    expect(own.isLive('z', 1e6)).to.equal(false);
    expect(own.learn({router: 'z', incarnation: 1}, 1e6)).to.equal(false);
  });

  it('passes a note on for a while only', () => {
    const own = create();
    own.learn({router: 'z', incarnation: 3}, 0);
    const note = {router: 'z', incarnation: 3};
    expect(own.notes(NOTE_MS)).to.deep.include(note);
    expect(own.notes(NOTE_MS + 1)).to.not.deep.include(note);
    expect(own.isLive('z', NOTE_MS + 1)).to.equal(false);
  });

  it('lets what it hears itself go before notes', () => {
    const own = create();
    hear(own, 1_000, ROUTERS);
    const note = {router: a, incarnation: 1};
    expect(own.learn(note, 1_000 + TIMEOUT_MS)).to.equal(false);
    expect(own.isLive(a, 1_000 + TIMEOUT_MS)).to.equal(true);
    expect(own.learn(note, 1_001 + TIMEOUT_MS)).to.equal(true);
  });

  it('takes no note about an earlier run', () => {
    const own = create();
    own.heard(a, 5, 0);
    expect(own.learn({router: a, incarnation: 4}, 60_000)).to.equal(false);
  });

  it('believes a refutation, which is a later run', () => {
    const own = create();
    own.heard('z', 5, 0);
    own.learn({router: 'z', incarnation: 7}, 60_000);
    own.heard('z', 6, 60_001);
    expect(own.isLive('z', 60_001), 'a run that is over').to.equal(false);
    own.heard('z', 8, 60_002);
    expect(own.isLive('z', 60_002)).to.equal(true);
  });

  it('counts a router that refuses connections as gone until heard', () => {
    const own = create();
    hear(own, 0, ROUTERS);
    own.refused(a, 1);
    expect(own.isLive(a, 1)).to.equal(false);
    own.heard(a, 1, 2);
    expect(own.isLive(a, 2)).to.equal(true);
  });

  it('suspects itself where most of those it watches fall silent', () => {
    const own = create();
    const naive = new Naive();
    hear(own, 1, ROUTERS);
    for (const router of ROUTERS) naive.heard(router, 1);
    hear(own, 3_000, ['d', 'e']);
    const gone = ['a', 'b', 'c'];
    for (const router of gone) {
      expect(own.isLive(router, 3_000), router).to.equal(true);
      expect(naive.isLive(router, 3_000), router).to.equal(false);
    }
    expect(own.notes(3_000)).to.deep.equal([]);
    hear(own, 3_100, ['c']);
    expect(own.isLive('a', 3_100)).to.equal(false);
    expect(own.isLive('b', 3_100)).to.equal(false);
  });

  it('still sees one fall silent after others were proven gone', () => {
    const own = create();
    hear(own, 0, ROUTERS);
    own.refused('a', 100);
    own.refused('b', 200);
    hear(own, 2_000, ['d', 'e']);
    expect(own.isLive('c', TIMEOUT_MS + 1)).to.equal(false);
  });

  it('still sees one fall silent long after others have', () => {
    const own = create();
    hear(own, 0, ROUTERS);
    const dying = ['a', 'b', 'c', 'd'];
    let nowMs = 0;
    for (const router of dying) {
      const left = dying.slice(dying.indexOf(router) + 1);
      for (let beat = 0; beat < 12; beat += 1) {
        nowMs += 1_000;
        hear(own, nowMs, [...left, 'e']);
        own.notes(nowMs);
      }
      expect(own.isLive(router, nowMs), router).to.equal(false);
    }
  });

  it('suspects itself though they fall silent one by one', () => {
    const own = create();
    for (const [index, router] of ROUTERS.entries()) {
      own.heard(router, 1, index * 150);
    }
    for (let nowMs = 0; nowMs < 60_000; nowMs += 50) own.notes(nowMs);
    const live = ROUTERS.filter(router => own.isLive(router, 60_000));
    expect(live).to.deep.equal(['c', 'd', 'e']);
  });

  it('gives a router that it begins to watch its time', () => {
    const own = create(ROUTERS);
    hear(own, 10_000, ROUTERS);
    own.watch([...ROUTERS, 'z'], 10_000);
    expect(own.isLive('z', 10_000 + TIMEOUT_MS)).to.equal(true);
    hear(own, 11_000, ROUTERS);
    expect(own.isLive('z', 10_001 + TIMEOUT_MS)).to.equal(false);
    own.watch(ROUTERS, 10_001 + TIMEOUT_MS);
    expect(own.isLive('z', 10_001 + TIMEOUT_MS)).to.equal(true);
  });

  const step = fc.record({
    afterMs: fc.constantFrom(0, 50, 400, 1_100),
    type: fc.constantFrom(
      'heard',
      'heard',
      'heard',
      'restart',
      'note',
      'refused',
      'ask',
    ),
    router: fc.constantFrom(...ROUTERS),
  });

  it('differs from plain silence only by notes, refusals and own fault', () => {
    const property = fc.property(fc.array(step, {maxLength: 80}), steps => {
      const own = create();
      const naive = new Naive();
      const runs = new Map(ROUTERS.map(router => [router, 1]));
      const heard = new Set<string>();
      /** Routers of which a note or a refusal came since they were heard. */
      const doubted = new Set<string>();
      let nowMs = 0;
      for (const {afterMs, type, router} of steps) {
        nowMs += afterMs;
        const run = runs.get(router)! + (type === 'restart' ? 1 : 0);
        if (type === 'heard' || type === 'restart') {
          runs.set(router, run);
          heard.add(router);
          doubted.delete(router);
          naive.heard(router, nowMs);
          own.heard(router, run, nowMs);
        } else if (type === 'note') {
          const isFresh = heard.has(router) && naive.isLive(router, nowMs);
          const isNews = own.learn({router, incarnation: run}, nowMs);
          if (isFresh) expect(isNews).to.equal(false);
          else doubted.add(router);
        } else if (type === 'refused') {
          doubted.add(router);
          own.refused(router, nowMs);
        } else own.notes(nowMs);
        const silent = ROUTERS.filter(name => !naive.isLive(name, nowMs));
        // One alone that falls silent among others is never spared.
        const isOwnFault = silent.length > 1;
        for (const name of ROUTERS) {
          const isLive = own.isLive(name, nowMs);
          const isHeard = naive.isLive(name, nowMs);
          if (isHeard && !isLive) expect(doubted.has(name)).to.equal(true);
          if (!isHeard && isLive) expect(isOwnFault).to.equal(true);
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
