/** Claims: at most one attempt holds a key, whatever the order of records. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as claims from '../claims.js';

const SEED = 20_262;
const RUNS = 1_000;
const ROUTERS = 3;
const KEYS = [core.createId(), core.createId()];
const CREATED_MS = core.creationTimeMs(KEYS[0] ?? '');

type EntryType = core.ClaimEntry['type'];

function entry(type: EntryType, attempt: string, key = KEYS[0] ?? '') {
  return {type, attempt, key};
}

function batch(...entries: core.ClaimEntry[]): core.ClaimBatch {
  return {type: 'claims', entries};
}

function registryOf(...batches: core.ClaimBatch[]): claims.StreamClaimRegistry {
  const registry = new claims.StreamClaimRegistry();
  batches.forEach((item, offset) => registry.apply(offset, item, CREATED_MS));
  return registry;
}

interface Attempt {
  readonly name: string;
  readonly key: string;
  readonly router: number;
  state: 'claimed' | 'holds' | 'ran' | 'lost' | 'released';
}

const STEP = fc.record({
  action: fc.constantFrom(
    'start',
    'append',
    'append',
    'read',
    'read',
    'release',
    'run',
  ),
  pick: fc.nat(1_000),
  isRepeated: fc.boolean(),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** Routers that append to one stream and read it, each at its own speed. */
class Fleet {
  readonly attempts: Attempt[] = [];
  private readonly log: core.ClaimBatch[] = [];
  private readonly inTransit: core.ClaimEntry[] = [];
  private readonly registries = Array.from(
    {length: ROUTERS},
    () => new claims.StreamClaimRegistry(),
  );

  applyStep({action, pick, isRepeated}: Step): void {
    if (action === 'start') this.start(pick);
    else if (action === 'append') this.append(pick, isRepeated);
    else if (action === 'read') this.read(pick % ROUTERS);
    else if (action === 'release') this.release(pick);
    else this.run(pick);
  }

  private start(pick: number): void {
    const name = `a${this.attempts.length}`;
    const key = KEYS[pick % KEYS.length] ?? '';
    const router = pick % ROUTERS;
    this.attempts.push({name, key, router, state: 'claimed'});
    this.inTransit.push(entry('claim', name, key));
  }

  /** Entries reach the log late, in any order, and some of them twice. */
  private append(pick: number, isRepeated: boolean): void {
    const index = pick % Math.max(1, this.inTransit.length);
    const appended = this.inTransit.splice(index, 1 + (pick % 2));
    if (isRepeated) this.inTransit.push(...appended);
    if (appended.length > 0) this.log.push(batch(...appended));
  }

  private read(router: number): void {
    const registry = this.registries[router];
    const next = registry && this.log[registry.nextOffset];
    if (!next) return;
    registry.apply(registry.nextOffset, next, CREATED_MS);
    for (const attempt of this.attempts) {
      const isRead = next.entries.some(
        ({type, attempt: name}) => type === 'claim' && name === attempt.name,
      );
      if (!isRead || attempt.router !== router) continue;
      if (attempt.state === 'claimed') this.recordOutcome(attempt, registry);
    }
  }

  private recordOutcome(
    attempt: Attempt,
    registry: claims.ClaimRegistry,
  ): void {
    const state = registry.state(attempt.key);
    const isHolder =
      state.type !== 'unclaimed' && state.attempt === attempt.name;
    attempt.state = isHolder ? 'holds' : 'lost';
    if (!isHolder) return;
    const rivals = this.attempts.filter(
      ({key, state: other}) =>
        key === attempt.key && (other === 'holds' || other === 'ran'),
    );
    chai.expect(rivals.map(({name}) => name)).to.deep.equal([attempt.name]);
  }

  private pickAttempt(pick: number, ...states: Array<Attempt['state']>) {
    const matches = this.attempts.filter(({state}) => states.includes(state));
    return matches[pick % Math.max(1, matches.length)];
  }

  private release(pick: number): void {
    const attempt = this.pickAttempt(pick, 'claimed', 'holds');
    if (!attempt) return;
    attempt.state = 'released';
    this.inTransit.push(entry('release', attempt.name, attempt.key));
  }

  private run(pick: number): void {
    const attempt = this.pickAttempt(pick, 'holds');
    if (!attempt) return;
    attempt.state = 'ran';
    this.inTransit.push(entry('answered', attempt.name, attempt.key));
  }
}

describe('claims', () => {
  it('gives a key at most one holder if entries are late, reordered or repeated', () => {
    let ran = 0;
    let released = 0;
    const runSteps = (steps: Step[]) => {
      const fleet = new Fleet();
      for (const step of steps) fleet.applyStep(step);
      const done = fleet.attempts.filter(({state}) => state === 'ran');
      chai.expect(new Set(done.map(({key}) => key)).size).to.equal(done.length);
      ran += done.length;
      released += fleet.attempts.filter(
        ({state}) => state === 'released',
      ).length;
    };
    const steps = fc.array(STEP, {minLength: 20, maxLength: 80});
    fc.assert(fc.property(steps, runSteps), {seed: SEED, numRuns: RUNS});
    chai.expect(ran).to.be.above(RUNS / 4);
    chai.expect(released).to.be.above(RUNS / 4);
  });

  it('never lets an attempt that lost or released the key hold it later', () => {
    const registry = registryOf(
      batch(entry('claim', 'a'), entry('claim', 'b')),
      batch(entry('release', 'a')),
      batch(entry('claim', 'b'), entry('claim', 'a')),
    );
    chai.expect(registry.state(KEYS[0] ?? '').type).to.equal('unclaimed');
    registry.apply(3, batch(entry('claim', 'c')), CREATED_MS);
    const holder = {type: 'running', attempt: 'c', offset: 3};
    chai.expect(registry.state(KEYS[0] ?? '')).to.deep.equal(holder);
    registry.apply(2, batch(entry('release', 'c')), CREATED_MS);
    chai.expect(registry.state(KEYS[0] ?? '')).to.deep.equal(holder);
  });

  it('applies a release that precedes the claim of its attempt on the log', () => {
    const registry = registryOf(
      batch(entry('release', 'a')),
      batch(entry('claim', 'a')),
    );
    chai.expect(registry.state(KEYS[0] ?? '').type).to.equal('unclaimed');
  });

  it('keeps an answered key answered after a release or another claim', () => {
    const registry = registryOf(
      batch(entry('claim', 'a'), entry('answered', 'b')),
      batch(entry('answered', 'a'), entry('release', 'a'), entry('claim', 'c')),
    );
    const state = registry.state((KEYS[0] ?? '').toUpperCase());
    chai.expect(state).to.include({type: 'answered', attempt: 'a'});
  });

  it('checks the age of a key, and treats a removed key as expired', () => {
    const key = KEYS[0] ?? '';
    const registry = registryOf(batch(entry('claim', 'a')));
    chai.expect(registry.check('no-uuid', CREATED_MS)).to.equal('invalid');
    chai.expect(registry.check(key, CREATED_MS)).to.equal('fresh');
    chai.expect(registry.check(key, CREATED_MS + 600_001)).to.equal('expired');
    chai
      .expect(registry.check(key, CREATED_MS - 30_001))
      .to.equal('from_future');
    registry.expire(CREATED_MS + 600_001);
    chai.expect(registry.size).to.equal(1);
    registry.expire(CREATED_MS + 700_000);
    chai.expect(registry.size).to.equal(0);
    chai.expect(registry.check(key, CREATED_MS)).to.equal('expired');
  });

  it('lets two routers run one call in the baseline if each reads its own claim first', () => {
    const [first, second] = [
      new claims.NaiveClaimRegistry(),
      new claims.NaiveClaimRegistry(),
    ];
    first.apply(0, batch(entry('claim', 'a')));
    second.apply(1, batch(entry('claim', 'b')));
    first.apply(1, batch(entry('claim', 'b')));
    second.apply(0, batch(entry('claim', 'a')));
    const holders = [first, second].map(registry =>
      registry.state(KEYS[0] ?? ''),
    );
    chai.expect(holders[0]).to.include({attempt: 'a'});
    chai.expect(holders[1]).to.include({attempt: 'b'});
  });
});
