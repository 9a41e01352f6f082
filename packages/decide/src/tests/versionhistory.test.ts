/**
 * Tests when a pool counts as having one version alone: never while a stream of
 * another version can still be taken up, or one may have been missed.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const LIFETIME_MS = 30_000;
const POOL = 'pool';

function createHistory(startedMs = 0, lifetimeMs = () => LIFETIME_MS) {
  let changes = 0;
  const history = new decide.CountedVersionHistory({
    startedMs,
    streamLifetimeMs: lifetimeMs,
    onChange: () => (changes += 1),
  });
  const list = (id: string, version: string | undefined, nowMs: number) =>
    history.recordEntry(
      id,
      version === undefined ? undefined : {pool: POOL, version},
      nowMs,
    );
  return {history, list, changes: () => changes};
}

describe('the history of versions', () => {
  it('takes no version for the only one before it has seen a lifetime', () => {
    const {history, list} = createHistory();
    list('e1', 'v1', 0);
    expect(history.onlyVersion(POOL, LIFETIME_MS - 1)).to.equal(undefined);
    expect(history.onlyVersion(POOL, LIFETIME_MS)).to.equal('v1');
  });

  it('takes it at once if no stream is older', () => {
    const {history, list} = createHistory();
    history.recordFirstStart();
    list('e1', 'v1', 0);
    expect(history.onlyVersion(POOL, 0)).to.equal('v1');
  });

  it('counts a version that has left until its streams have ended', () => {
    const {history, list} = createHistory();
    history.recordFirstStart();
    list('e1', 'v1', 0);
    list('e2', 'v2', 1_000);
    list('e1', undefined, 2_000);
    const endMs = 2_000 + LIFETIME_MS;
    expect(history.onlyVersion(POOL, endMs)).to.equal(undefined);
    expect(history.onlyVersion(POOL, endMs + 1)).to.equal('v2');
  });

  it('counts a version anew that returns at the same endpoint', () => {
    const {history, list} = createHistory();
    history.recordFirstStart();
    list('e1', 'v1', 0);
    list('e1', 'v2', 100);
    expect(history.onlyVersion(POOL, 100)).to.equal(undefined);
    list('e1', 'v1', 200);
    const {spans} = history.poolHistory(POOL, 200);
    expect(spans).to.deep.equal([
      {version: 'v1'},
      {version: 'v2', endedMs: 200},
    ]);
  });

  it('counts what was listed before this router as listed until now', () => {
    const {history, list} = createHistory(5_000);
    list('e2', 'v2', 5_000);
    const spans = [{version: 'v1'}, {version: 'v0', endedMs: -LIFETIME_MS}];
    history.addEarlier(POOL, {spans, knownSinceMs: -1e9}, 6_000);
    expect(history.onlyVersion(POOL, 6_000 + LIFETIME_MS)).to.equal(undefined);
    expect(history.onlyVersion(POOL, 6_001 + LIFETIME_MS)).to.equal('v2');
  });

  it('keeps from an incomplete record that a version may be missing', () => {
    const {history, list} = createHistory(5_000);
    list('e1', 'v1', 5_000);
    const earlier = {spans: [{version: 'v1'}], knownSinceMs: 4_000};
    history.addEarlier(POOL, earlier, 5_000);
    expect(history.onlyVersion(POOL, 33_999)).to.equal(undefined);
    expect(history.onlyVersion(POOL, 34_000)).to.equal('v1');
  });

  it('keeps a version that counts again once streams may last longer', () => {
    let lifetimeMs = LIFETIME_MS;
    const {history, list} = createHistory(0, () => lifetimeMs);
    history.recordFirstStart();
    list('e1', 'v1', 0);
    list('e2', 'v2', 1_000);
    list('e1', undefined, 2_000);
    const nowMs = 3_000 + LIFETIME_MS;
    expect(history.onlyVersion(POOL, nowMs)).to.equal('v2');
    lifetimeMs *= 2;
    expect(history.onlyVersion(POOL, nowMs)).to.equal(undefined);
  });

  it('reports the first and the last endpoint of a version only', () => {
    const {list, changes} = createHistory();
    list('e1', 'v1', 0);
    list('e2', 'v1', 0);
    list('e1', 'v1', 1);
    list('e1', undefined, 2);
    expect(changes()).to.equal(1);
    list('e2', undefined, 3);
    expect(changes()).to.equal(2);
  });

  it('agrees with a list of all that was ever listed', () => {
    const step = fc.record({
      id: fc.constantFrom('e1', 'e2', 'e3'),
      version: fc.option(fc.constantFrom('v1', 'v2'), {nil: undefined}),
      waitMs: fc.integer({min: 0, max: LIFETIME_MS}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 30}), steps => {
        const {history, list} = createHistory();
        history.recordFirstStart();
        const listed = new Map<string, string>();
        const lastMs = new Map<string, number>();
        let nowMs = 0;
        for (const {id, version, waitMs} of steps) {
          for (const each of listed.values()) lastMs.set(each, nowMs);
          if (version === undefined) listed.delete(id);
          else listed.set(id, version);
          list(id, version, nowMs);
          for (const each of listed.values()) lastMs.set(each, nowMs);
          nowMs += waitMs;
          for (const each of listed.values()) lastMs.set(each, nowMs);
          const possible = [...lastMs].filter(
            ([, ms]) => ms >= nowMs - LIFETIME_MS,
          );
          const expected = possible.length === 1 ? possible[0]![0] : undefined;
          expect(history.onlyVersion(POOL, nowMs)).to.equal(expected);
        }
      }),
    );
  });
});
