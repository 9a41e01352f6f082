/** Claims: at most one attempt holds a key, whatever the order of things. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as claims from '../claims.js';

const SEED = 20_262;
const RUNS = 1_000;
const ROUTERS = 3;
const KEYS = [core.createId(), core.createId()];
const NOW_MS = core.createdMs(KEYS[0] ?? '');

type Type = core.ClaimEntry['type'];

function entry(type: Type, attempt: string, key = KEYS[0] ?? '') {
  return {type, attempt, key};
}

function batch(...entries: core.ClaimEntry[]): core.ClaimBatch {
  return {type: 'claims', entries};
}

function bookOf(...batches: core.ClaimBatch[]): claims.StreamClaimBook {
  const book = new claims.StreamClaimBook();
  batches.forEach((each, offset) => book.apply(offset, each, NOW_MS));
  return book;
}

interface Attempt {
  readonly name: string;
  readonly key: string;
  readonly router: number;
  state: 'asked' | 'holds' | 'ran' | 'lost' | 'gave up';
}

const STEP = fc.record({
  action: fc.constantFrom(
    'start',
    'land',
    'land',
    'read',
    'read',
    'quit',
    'run',
  ),
  pick: fc.nat(1_000),
  isTwice: fc.boolean(),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** Routers that append to one stream and read it, each at its own pace. */
class Fleet {
  readonly attempts: Attempt[] = [];
  private readonly log: core.ClaimBatch[] = [];
  private readonly flying: core.ClaimEntry[] = [];
  private readonly books = Array.from(
    {length: ROUTERS},
    () => new claims.StreamClaimBook(),
  );

  act({action, pick, isTwice}: Step): void {
    if (action === 'start') this.start(pick);
    else if (action === 'land') this.land(pick, isTwice);
    else if (action === 'read') this.read(pick % ROUTERS);
    else if (action === 'quit') this.quit(pick);
    else this.run(pick);
  }

  private start(pick: number): void {
    const name = `a${this.attempts.length}`;
    const key = KEYS[pick % KEYS.length] ?? '';
    const router = pick % ROUTERS;
    this.attempts.push({name, key, router, state: 'asked'});
    this.flying.push(entry('claim', name, key));
  }

  /** Appends reach the log late, in any order, some of them twice. */
  private land(pick: number, isTwice: boolean): void {
    const at = pick % Math.max(1, this.flying.length);
    const landed = this.flying.splice(at, 1 + (pick % 2));
    if (isTwice) this.flying.push(...landed);
    if (landed.length > 0) this.log.push(batch(...landed));
  }

  private read(router: number): void {
    const book = this.books[router];
    const next = book && this.log[book.nextOffset];
    if (!next) return;
    book.apply(book.nextOffset, next, NOW_MS);
    for (const attempt of this.attempts) {
      const isRead = next.entries.some(
        ({type, attempt: name}) => type === 'claim' && name === attempt.name,
      );
      if (!isRead || attempt.router !== router) continue;
      if (attempt.state === 'asked') this.learn(attempt, book);
    }
  }

  private learn(attempt: Attempt, book: claims.ClaimBook): void {
    const state = book.state(attempt.key);
    const holds = state.type !== 'unclaimed' && state.attempt === attempt.name;
    attempt.state = holds ? 'holds' : 'lost';
    if (!holds) return;
    const rivals = this.attempts.filter(
      ({key, state: other}) =>
        key === attempt.key && (other === 'holds' || other === 'ran'),
    );
    chai.expect(rivals.map(({name}) => name)).to.deep.equal([attempt.name]);
  }

  private pick(pick: number, ...states: Array<Attempt['state']>) {
    const open = this.attempts.filter(({state}) => states.includes(state));
    return open[pick % Math.max(1, open.length)];
  }

  private quit(pick: number): void {
    const attempt = this.pick(pick, 'asked', 'holds');
    if (!attempt) return;
    attempt.state = 'gave up';
    this.flying.push(entry('release', attempt.name, attempt.key));
  }

  private run(pick: number): void {
    const attempt = this.pick(pick, 'holds');
    if (!attempt) return;
    attempt.state = 'ran';
    this.flying.push(entry('answered', attempt.name, attempt.key));
  }
}

describe('claims', () => {
  it('has one holder at most, however records are late and doubled', () => {
    let ran = 0;
    let held = 0;
    const play = (steps: Step[]) => {
      const fleet = new Fleet();
      for (const step of steps) fleet.act(step);
      const done = fleet.attempts.filter(({state}) => state === 'ran');
      chai.expect(new Set(done.map(({key}) => key)).size).to.equal(done.length);
      ran += done.length;
      held += fleet.attempts.filter(({state}) => state === 'gave up').length;
    };
    const steps = fc.array(STEP, {minLength: 20, maxLength: 80});
    fc.assert(fc.property(steps, play), {seed: SEED, numRuns: RUNS});
    chai.expect(ran).to.be.above(RUNS / 4);
    chai.expect(held).to.be.above(RUNS / 4);
  });

  it('never makes a loser the holder', () => {
    const book = bookOf(
      batch(entry('claim', 'a'), entry('claim', 'b')),
      batch(entry('release', 'a')),
      batch(entry('claim', 'b'), entry('claim', 'a')),
    );
    chai.expect(book.state(KEYS[0] ?? '').type).to.equal('unclaimed');
    book.apply(3, batch(entry('claim', 'c')), NOW_MS);
    const holder = {type: 'running', attempt: 'c', offset: 3};
    chai.expect(book.state(KEYS[0] ?? '')).to.deep.equal(holder);
    book.apply(2, batch(entry('release', 'c')), NOW_MS);
    chai.expect(book.state(KEYS[0] ?? '')).to.deep.equal(holder);
  });

  it('heeds a release that stands before its own claim', () => {
    const book = bookOf(
      batch(entry('release', 'a')),
      batch(entry('claim', 'a')),
    );
    chai.expect(book.state(KEYS[0] ?? '').type).to.equal('unclaimed');
  });

  it('keeps an answered call answered', () => {
    const book = bookOf(
      batch(entry('claim', 'a'), entry('answered', 'b')),
      batch(entry('answered', 'a'), entry('release', 'a'), entry('claim', 'c')),
    );
    const state = book.state((KEYS[0] ?? '').toUpperCase());
    chai.expect(state).to.include({type: 'answered', attempt: 'a'});
  });

  it('judges a key by its time, and never as fresh once forgotten', () => {
    const key = KEYS[0] ?? '';
    const book = bookOf(batch(entry('claim', 'a')));
    chai.expect(book.check('no-uuid', NOW_MS)).to.equal('invalid');
    chai.expect(book.check(key, NOW_MS)).to.equal('fresh');
    chai.expect(book.check(key, NOW_MS + 600_001)).to.equal('expired');
    chai.expect(book.check(key, NOW_MS - 30_001)).to.equal('from_future');
    book.expire(NOW_MS + 600_001);
    chai.expect(book.size).to.equal(1);
    book.expire(NOW_MS + 700_000);
    chai.expect(book.size).to.equal(0);
    chai.expect(book.check(key, NOW_MS)).to.equal('expired');
  });

  it('lets two routers run one call where each trusts what it saw first', () => {
    const [one, two] = [
      new claims.NaiveClaimBook(),
      new claims.NaiveClaimBook(),
    ];
    one.apply(0, batch(entry('claim', 'a')));
    two.apply(1, batch(entry('claim', 'b')));
    one.apply(1, batch(entry('claim', 'b')));
    two.apply(0, batch(entry('claim', 'a')));
    const holders = [one, two].map(book => book.state(KEYS[0] ?? ''));
    chai.expect(holders[0]).to.include({attempt: 'a'});
    chai.expect(holders[1]).to.include({attempt: 'b'});
  });
});
