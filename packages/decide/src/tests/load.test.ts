/** Load book: own, remote and reported counts against a plain model. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as load from '../load.js';

const SEED = 415;
const RUNS = 300;
const STALE_MS = 30;

const endpoint = fc.constantFrom('engine-0', 'engine-1', 'engine-2');
const router = fc.constantFrom('router-0', 'router-1');
const few = fc.nat(6);
const counts = fc.uniqueArray(fc.record({endpoint, inFlight: few}), {
  selector: count => count.endpoint,
});
const step = fc.oneof(
  fc.record({type: fc.constant('began' as const), endpoint}),
  fc.record({type: fc.constant('ended' as const), endpoint}),
  fc.record({type: fc.constant('learn' as const), router, counts}),
  fc.record({type: fc.constant('forget' as const), router}),
  fc.record({
    type: fc.constant('report' as const),
    endpoint,
    inFlight: few,
    ageMs: fc.nat(20),
  }),
  fc.record({type: fc.constant('tookOver' as const), endpoint}),
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;
type Timed = Step & {readonly atMs: number};

function apply(book: load.LoadBook, one: Timed): void {
  if (one.type === 'began') book.began(one.endpoint);
  else if (one.type === 'ended') book.ended(one.endpoint);
  else if (one.type === 'forget') book.forget(one.router);
  else if (one.type === 'tookOver') book.tookOver(one.endpoint, one.atMs);
  else if (one.type === 'report') {
    book.report({...one, takenAtMs: one.atMs - one.ageMs});
  } else {
    const {router: name} = one;
    const list = one.counts.map(count => ({...count, router: name}));
    book.learn(name, list, one.atMs);
  }
}

/** What the history says of one endpoint, worked out from its beginning. */
function model(history: readonly Timed[], name: string, nowMs: number): number {
  let own = 0;
  const remote = new Map<string, {inFlight: number; atMs: number}>();
  let newest: {inFlight: number; takenAtMs: number} | undefined;
  let tookOverMs: number | undefined;
  for (const one of history) {
    if (one.type === 'forget') remote.delete(one.router);
    if (one.type === 'learn') {
      const count = one.counts.find(other => other.endpoint === name);
      if (!count) remote.delete(one.router);
      else remote.set(one.router, {...count, atMs: one.atMs});
    }
    if (!('endpoint' in one) || one.endpoint !== name) continue;
    if (one.type === 'began') own += 1;
    if (one.type === 'ended') own = Math.max(0, own - 1);
    if (one.type === 'tookOver') tookOverMs = one.atMs;
    if (one.type !== 'report') continue;
    const takenAtMs = one.atMs - one.ageMs;
    if (newest && newest.takenAtMs >= takenAtMs) continue;
    newest = {inFlight: one.inFlight, takenAtMs};
  }
  let sum = own;
  for (const {inFlight, atMs} of remote.values()) {
    if (nowMs - atMs <= STALE_MS) sum += inFlight;
  }
  const isNew =
    tookOverMs !== undefined && !(newest && newest.takenAtMs > tookOverMs);
  return isNew ? Math.max(sum, newest?.inFlight ?? 0) : sum;
}

function report(inFlight: number, takenAtMs: number): load.Report {
  return {endpoint: 'engine-0', inFlight, takenAtMs};
}

function remote(inFlight: number): load.RemoteCount[] {
  return [{endpoint: 'engine-0', router: 'router-1', inFlight}];
}

describe('load book', () => {
  it('agrees with its history worked out anew', () => {
    const steps = fc.array(fc.tuple(step, fc.nat(10)), {maxLength: 40});
    const property = fc.property(steps, list => {
      const book = new load.CountedLoadBook({staleMs: STALE_MS});
      const history: Timed[] = [];
      let atMs = 0;
      for (const [one, laterMs] of list) {
        atMs += laterMs;
        history.push({...one, atMs});
        apply(book, history.at(-1)!);
        for (const name of ['engine-0', 'engine-1', 'engine-2']) {
          chai
            .expect(book.inFlight(name, atMs))
            .to.equal(model(history, name, atMs));
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('adds two owners of one endpoint until one falls silent', () => {
    const book = new load.CountedLoadBook({staleMs: STALE_MS});
    const naive = new load.NaiveLoadBook();
    for (const one of [book, naive]) {
      one.began('engine-0');
      one.learn('router-1', remote(4), 0);
    }
    chai.expect(book.inFlight('engine-0', STALE_MS)).to.equal(5);
    chai.expect(naive.inFlight('engine-0')).to.equal(1);
    chai.expect(book.inFlight('engine-0', STALE_MS + 1)).to.equal(1);
    book.learn('router-1', remote(2), STALE_MS);
    chai.expect(book.inFlight('engine-0', STALE_MS)).to.equal(3);
    book.forget('router-1');
    chai.expect(book.inFlight('engine-0', STALE_MS)).to.equal(1);
  });

  it('leans on the report until one is younger than the take-over', () => {
    const book = new load.CountedLoadBook({staleMs: STALE_MS});
    book.report(report(7, 90));
    chai.expect(book.inFlight('engine-0', 95)).to.equal(0);
    book.tookOver('engine-0', 100);
    chai.expect(book.inFlight('engine-0', 101)).to.equal(7);
    book.report(report(9, 80));
    chai.expect(book.inFlight('engine-0', 102)).to.equal(7);
    book.report(report(6, 100));
    chai.expect(book.inFlight('engine-0', 103)).to.equal(6);
    book.report(report(8, 101));
    chai.expect(book.inFlight('engine-0', 104)).to.equal(0);
    book.report(report(9, 99));
    chai.expect(book.inFlight('engine-0', 105)).to.equal(0);
  });

  it('counts an endpoint never heard of as the mean of the others', () => {
    const book = new load.CountedLoadBook({staleMs: STALE_MS});
    const pool = ['engine-0', 'engine-1', 'engine-2', 'engine-3'];
    chai.expect(book.poolInFlight(pool, 0)).to.equal(0);
    book.learn('router-1', remote(6), 0);
    chai.expect(book.poolInFlight(pool, 0)).to.equal(24);
    book.report({endpoint: 'engine-1', inFlight: 2, takenAtMs: 0});
    chai.expect(book.poolInFlight(pool, 0)).to.equal(16);
    book.tookOver('engine-2', 0);
    book.tookOver('engine-3', 0);
    chai.expect(book.poolInFlight(pool, 0)).to.equal(8);
  });
});
