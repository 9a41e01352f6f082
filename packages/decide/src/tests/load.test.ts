/** Load tracker: local, remote and reported counts against a simple model. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as load from '../load.js';

const SEED = 415;
const RUNS = 300;
const STALE_MS = 30;

const endpoint = fc.constantFrom('engine-0', 'engine-1', 'engine-2');
const router = fc.constantFrom('router-0', 'router-1');
const smallCount = fc.nat(6);
const counts = fc.uniqueArray(fc.record({endpoint, inFlight: smallCount}), {
  selector: count => count.endpoint,
});
const STEP = fc.oneof(
  fc.record({type: fc.constant('start' as const), endpoint}),
  fc.record({type: fc.constant('end' as const), endpoint}),
  fc.record({type: fc.constant('counts' as const), router, counts}),
  fc.record({type: fc.constant('forget' as const), router}),
  fc.record({
    type: fc.constant('report' as const),
    endpoint,
    inFlight: smallCount,
    ageMs: fc.nat(20),
  }),
  fc.record({type: fc.constant('owner' as const), endpoint}),
);
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;
type TimedStep = Step & {readonly atMs: number};

function applyStep(tracker: load.LoadTracker, step: TimedStep): void {
  if (step.type === 'start') tracker.recordStart(step.endpoint);
  else if (step.type === 'end') tracker.recordEnd(step.endpoint);
  else if (step.type === 'forget') tracker.forget(step.router);
  else if (step.type === 'owner') tracker.setOwned(step.endpoint, step.atMs);
  else if (step.type === 'report') {
    tracker.recordReport({...step, takenAtMs: step.atMs - step.ageMs});
  } else {
    const {router: name} = step;
    const received = step.counts.map(count => ({...count, router: name}));
    tracker.applyRemote(name, received, step.atMs);
  }
}

/** The expected load of one endpoint, computed from the whole history. */
function expectedInFlight(
  history: readonly TimedStep[],
  name: string,
  nowMs: number,
): number {
  let localCount = 0;
  const remoteCounts = new Map<string, {inFlight: number; atMs: number}>();
  let newest: {inFlight: number; takenAtMs: number} | undefined;
  let ownedSinceMs: number | undefined;
  for (const step of history) {
    if (step.type === 'forget') remoteCounts.delete(step.router);
    if (step.type === 'counts') {
      const count = step.counts.find(other => other.endpoint === name);
      if (!count) remoteCounts.delete(step.router);
      else remoteCounts.set(step.router, {...count, atMs: step.atMs});
    }
    if (!('endpoint' in step) || step.endpoint !== name) continue;
    if (step.type === 'start') localCount += 1;
    if (step.type === 'end') localCount = Math.max(0, localCount - 1);
    if (step.type === 'owner') ownedSinceMs = step.atMs;
    if (step.type !== 'report') continue;
    const takenAtMs = step.atMs - step.ageMs;
    if (newest && newest.takenAtMs >= takenAtMs) continue;
    newest = {inFlight: step.inFlight, takenAtMs};
  }
  let sum = localCount;
  for (const {inFlight, atMs} of remoteCounts.values()) {
    if (nowMs - atMs <= STALE_MS) sum += inFlight;
  }
  const isNewOwner =
    ownedSinceMs !== undefined && !(newest && newest.takenAtMs > ownedSinceMs);
  return isNewOwner ? Math.max(sum, newest?.inFlight ?? 0) : sum;
}

function loadReport(inFlight: number, takenAtMs: number): load.LoadReport {
  return {endpoint: 'engine-0', inFlight, takenAtMs};
}

function remoteCountOf(inFlight: number): load.RemoteCount[] {
  return [{endpoint: 'engine-0', router: 'router-1', inFlight}];
}

describe('load tracker', () => {
  it('agrees with a model that evaluates the whole history', () => {
    const steps = fc.array(fc.tuple(STEP, fc.nat(10)), {maxLength: 40});
    const property = fc.property(steps, drawn => {
      const tracker = new load.CombinedLoadTracker({staleMs: STALE_MS});
      const history: TimedStep[] = [];
      let atMs = 0;
      for (const [step, delayMs] of drawn) {
        atMs += delayMs;
        history.push({...step, atMs});
        applyStep(tracker, history.at(-1)!);
        for (const name of ['engine-0', 'engine-1', 'engine-2']) {
          chai
            .expect(tracker.inFlight(name, atMs))
            .to.equal(expectedInFlight(history, name, atMs));
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('adds the counts of two routers until those of one are stale', () => {
    const tracker = new load.CombinedLoadTracker({staleMs: STALE_MS});
    const naive = new load.NaiveLoadTracker();
    for (const each of [tracker, naive]) {
      each.recordStart('engine-0');
      each.applyRemote('router-1', remoteCountOf(4), 0);
    }
    chai.expect(tracker.inFlight('engine-0', STALE_MS)).to.equal(5);
    chai.expect(naive.inFlight('engine-0')).to.equal(1);
    chai.expect(tracker.inFlight('engine-0', STALE_MS + 1)).to.equal(1);
    tracker.applyRemote('router-1', remoteCountOf(2), STALE_MS);
    chai.expect(tracker.inFlight('engine-0', STALE_MS)).to.equal(3);
    tracker.forget('router-1');
    chai.expect(tracker.inFlight('engine-0', STALE_MS)).to.equal(1);
  });

  it('uses the last report as a lower limit until one is taken under the new owner', () => {
    const tracker = new load.CombinedLoadTracker({staleMs: STALE_MS});
    tracker.recordReport(loadReport(7, 90));
    chai.expect(tracker.inFlight('engine-0', 95)).to.equal(0);
    tracker.setOwned('engine-0', 100);
    chai.expect(tracker.inFlight('engine-0', 101)).to.equal(7);
    tracker.recordReport(loadReport(9, 80));
    chai.expect(tracker.inFlight('engine-0', 102)).to.equal(7);
    tracker.recordReport(loadReport(6, 100));
    chai.expect(tracker.inFlight('engine-0', 103)).to.equal(6);
    tracker.recordReport(loadReport(8, 101));
    chai.expect(tracker.inFlight('engine-0', 104)).to.equal(0);
    tracker.recordReport(loadReport(9, 99));
    chai.expect(tracker.inFlight('engine-0', 105)).to.equal(0);
  });

  it('counts an endpoint without data as the mean of the others', () => {
    const tracker = new load.CombinedLoadTracker({staleMs: STALE_MS});
    const pool = ['engine-0', 'engine-1', 'engine-2', 'engine-3'];
    chai.expect(tracker.poolInFlight(pool, 0)).to.equal(0);
    tracker.applyRemote('router-1', remoteCountOf(6), 0);
    chai.expect(tracker.poolInFlight(pool, 0)).to.equal(24);
    tracker.recordReport({endpoint: 'engine-1', inFlight: 2, takenAtMs: 0});
    chai.expect(tracker.poolInFlight(pool, 0)).to.equal(16);
    tracker.setOwned('engine-2', 0);
    tracker.setOwned('engine-3', 0);
    chai.expect(tracker.poolInFlight(pool, 0)).to.equal(8);
  });
});
