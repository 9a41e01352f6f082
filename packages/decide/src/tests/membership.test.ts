/** Membership: silence, notes, refutation, and isolation of this router. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as membership from '../membership.js';

const {expect} = chai;

const SEED = 412;
const RUNS = 2_000;
const TIMEOUT_MS = 2_200;
const NOTE_LIFETIME_MS = 10_000;
const ROUTERS = ['a', 'b', 'c', 'd', 'e'];

function createDetector(watched: readonly string[] = ROUTERS) {
  const detector = new membership.ObservedMembership({
    timeoutMs: TIMEOUT_MS,
    noteLifetimeMs: NOTE_LIFETIME_MS,
  });
  detector.watch(watched, 0);
  return detector;
}

function receiveDigests(
  detector: membership.Membership,
  nowMs: number,
  routers: readonly string[],
): void {
  for (const router of routers) detector.recordDigest(router, 1, nowMs);
}

/** Baseline: a router is live for the timeout after its last digest. */
class TimeoutDetector {
  private readonly lastDigestMs = new Map<string, number>();

  recordDigest(router: string, nowMs: number): void {
    this.lastDigestMs.set(router, nowMs);
  }

  isLive(router: string, nowMs: number): boolean {
    return nowMs - (this.lastDigestMs.get(router) ?? 0) <= TIMEOUT_MS;
  }
}

describe('membership', () => {
  const [a = '', ...others] = ROUTERS;

  it('counts a silent router as down until its next digest', () => {
    const detector = createDetector();
    receiveDigests(detector, 0, ROUTERS);
    receiveDigests(detector, 1_500, others);
    expect(detector.isLive(a, TIMEOUT_MS)).to.equal(true);
    expect(detector.isLive(a, TIMEOUT_MS + 1)).to.equal(false);
    expect(detector.recentNotes(2_300)).to.deep.equal([
      {router: a, incarnation: 1},
    ]);
    detector.recordDigest(a, 1, 2_400);
    expect(detector.isLive(a, 2_400)).to.equal(true);
    expect(detector.recentNotes(2_400)).to.deep.equal([]);
  });

  it('counts a router that it does not watch as live until a note arrives', () => {
    const detector = createDetector();
    expect(detector.isLive('z', 1e6)).to.equal(true);
    expect(detector.applyRemote({router: 'z', incarnation: 1}, 1e6)).to.equal(
      true,
    );
    expect(detector.isLive('z', 1e6)).to.equal(false);
    expect(detector.applyRemote({router: 'z', incarnation: 1}, 1e6)).to.equal(
      false,
    );
  });

  it('forwards a note for a limited time', () => {
    const detector = createDetector();
    detector.applyRemote({router: 'z', incarnation: 3}, 0);
    const note = {router: 'z', incarnation: 3};
    expect(detector.recentNotes(NOTE_LIFETIME_MS)).to.deep.include(note);
    expect(detector.recentNotes(NOTE_LIFETIME_MS + 1)).to.not.deep.include(
      note,
    );
    expect(detector.isLive('z', NOTE_LIFETIME_MS + 1)).to.equal(false);
  });

  it('prefers recent digests of a router to notes about it', () => {
    const detector = createDetector();
    receiveDigests(detector, 1_000, ROUTERS);
    const note = {router: a, incarnation: 1};
    expect(detector.applyRemote(note, 1_000 + TIMEOUT_MS)).to.equal(false);
    expect(detector.isLive(a, 1_000 + TIMEOUT_MS)).to.equal(true);
    expect(detector.applyRemote(note, 1_001 + TIMEOUT_MS)).to.equal(true);
  });

  it('ignores a note about an earlier run', () => {
    const detector = createDetector();
    detector.recordDigest(a, 5, 0);
    expect(detector.applyRemote({router: a, incarnation: 4}, 60_000)).to.equal(
      false,
    );
  });

  it('counts a router as live after a digest of a later run', () => {
    const detector = createDetector();
    detector.recordDigest('z', 5, 0);
    detector.applyRemote({router: 'z', incarnation: 7}, 60_000);
    detector.recordDigest('z', 6, 60_001);
    expect(detector.isLive('z', 60_001), 'earlier run').to.equal(false);
    detector.recordDigest('z', 8, 60_002);
    expect(detector.isLive('z', 60_002)).to.equal(true);
  });

  it('counts a router as down from a refused connection to its next digest', () => {
    const detector = createDetector();
    receiveDigests(detector, 0, ROUTERS);
    detector.recordRefusal(a, 1);
    expect(detector.isLive(a, 1)).to.equal(false);
    detector.recordDigest(a, 1, 2);
    expect(detector.isLive(a, 2)).to.equal(true);
  });

  it('counts no router as down if most of those it watches fall silent', () => {
    const detector = createDetector();
    const baseline = new TimeoutDetector();
    receiveDigests(detector, 1, ROUTERS);
    for (const router of ROUTERS) baseline.recordDigest(router, 1);
    receiveDigests(detector, 3_000, ['d', 'e']);
    const silent = ['a', 'b', 'c'];
    for (const router of silent) {
      expect(detector.isLive(router, 3_000), router).to.equal(true);
      expect(baseline.isLive(router, 3_000), router).to.equal(false);
    }
    expect(detector.recentNotes(3_000)).to.deep.equal([]);
    receiveDigests(detector, 3_100, ['c']);
    expect(detector.isLive('a', 3_100)).to.equal(false);
    expect(detector.isLive('b', 3_100)).to.equal(false);
  });

  it('detects a silent router after the failure of others was confirmed', () => {
    const detector = createDetector();
    receiveDigests(detector, 0, ROUTERS);
    detector.recordRefusal('a', 100);
    detector.recordRefusal('b', 200);
    receiveDigests(detector, 2_000, ['d', 'e']);
    expect(detector.isLive('c', TIMEOUT_MS + 1)).to.equal(false);
  });

  it('detects a silent router long after others went down', () => {
    const detector = createDetector();
    receiveDigests(detector, 0, ROUTERS);
    const failing = ['a', 'b', 'c', 'd'];
    let nowMs = 0;
    for (const router of failing) {
      const remaining = failing.slice(failing.indexOf(router) + 1);
      for (let second = 0; second < 12; second += 1) {
        nowMs += 1_000;
        receiveDigests(detector, nowMs, [...remaining, 'e']);
        detector.recentNotes(nowMs);
      }
      expect(detector.isLive(router, nowMs), router).to.equal(false);
    }
  });

  it('detects its own isolation if most routers fall silent one by one', () => {
    const detector = createDetector();
    for (const [index, router] of ROUTERS.entries()) {
      detector.recordDigest(router, 1, index * 150);
    }
    for (let atMs = 0; atMs < 60_000; atMs += 50) detector.recentNotes(atMs);
    const live = ROUTERS.filter(router => detector.isLive(router, 60_000));
    expect(live).to.deep.equal(['c', 'd', 'e']);
  });

  it('starts the timeout of a router when it is first watched', () => {
    const detector = createDetector(ROUTERS);
    receiveDigests(detector, 10_000, ROUTERS);
    detector.watch([...ROUTERS, 'z'], 10_000);
    expect(detector.isLive('z', 10_000 + TIMEOUT_MS)).to.equal(true);
    receiveDigests(detector, 11_000, ROUTERS);
    expect(detector.isLive('z', 10_001 + TIMEOUT_MS)).to.equal(false);
    detector.watch(ROUTERS, 10_001 + TIMEOUT_MS);
    expect(detector.isLive('z', 10_001 + TIMEOUT_MS)).to.equal(true);
  });

  const step = fc.record({
    afterMs: fc.constantFrom(0, 50, 400, 1_100),
    type: fc.constantFrom(
      'digest',
      'digest',
      'digest',
      'restart',
      'note',
      'refusal',
      'recentNotes',
    ),
    router: fc.constantFrom(...ROUTERS),
  });

  it('differs from a plain timeout only by notes, refusals and isolation', () => {
    const property = fc.property(fc.array(step, {maxLength: 80}), steps => {
      const detector = createDetector();
      const baseline = new TimeoutDetector();
      const runs = new Map(ROUTERS.map(router => [router, 1]));
      const withDigest = new Set<string>();
      /** Routers with a note or a refusal since their last digest. */
      const reported = new Set<string>();
      let nowMs = 0;
      for (const {afterMs, type, router} of steps) {
        nowMs += afterMs;
        const runNumber = runs.get(router)! + (type === 'restart' ? 1 : 0);
        if (type === 'digest' || type === 'restart') {
          runs.set(router, runNumber);
          withDigest.add(router);
          reported.delete(router);
          baseline.recordDigest(router, nowMs);
          detector.recordDigest(router, runNumber, nowMs);
        } else if (type === 'note') {
          const isFresh =
            withDigest.has(router) && baseline.isLive(router, nowMs);
          const isApplied = detector.applyRemote(
            {router, incarnation: runNumber},
            nowMs,
          );
          if (isFresh) expect(isApplied).to.equal(false);
          else reported.add(router);
        } else if (type === 'refusal') {
          reported.add(router);
          detector.recordRefusal(router, nowMs);
        } else detector.recentNotes(nowMs);
        const silent = ROUTERS.filter(name => !baseline.isLive(name, nowMs));
        // A single silent router is never attributed to isolation.
        const isIsolated = silent.length > 1;
        for (const name of ROUTERS) {
          const isLive = detector.isLive(name, nowMs);
          const isRecent = baseline.isLive(name, nowMs);
          if (isRecent && !isLive) expect(reported.has(name)).to.equal(true);
          if (!isRecent && isLive) expect(isIsolated).to.equal(true);
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
