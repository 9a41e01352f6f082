/** Suspects: the request that crashes endpoints is found, no other refused. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as suspects from '../suspects.js';

const ROUTERS = 3;
const ENDPOINTS = 6;
const TICKS = 300;
const TICK_MS = 1_000;
const RESEND_TICKS = 4;
const POISON = 'poison';

interface Job {
  readonly name: string;
  endsTick: number;
  endpoint: number;
}

/** Routers that each own some endpoints and tell each other their notes. */
class Fleet {
  crashes = 0;
  served = 0;
  readonly refused: string[] = [];
  private tick = 0;
  private next = 0;
  private running: Job[] = [];
  private arrivals: Array<{name: string; atTick: number}> = [];

  constructor(
    private readonly books: suspects.SuspectBook[],
    private readonly random: core.Random,
  ) {
    this.arrivals.push({name: POISON, atTick: 10});
  }

  run(): this {
    for (this.tick = 0; this.tick < TICKS; this.tick += 1) {
      this.end();
      this.exchange();
      for (let count = 0; count < 4; count += 1) {
        this.arrive(`ok${this.next++}`);
      }
      const due = this.arrivals.filter(({atTick}) => atTick <= this.tick);
      this.arrivals = this.arrivals.filter(({atTick}) => atTick > this.tick);
      for (const {name} of due) this.dispatch(name);
    }
    return this;
  }

  private get nowMs(): number {
    return this.tick * TICK_MS;
  }

  private bookOf(endpoint: number): suspects.SuspectBook {
    return this.books[endpoint % ROUTERS] as suspects.SuspectBook;
  }

  private arrive(name: string, waitTicks = 0): void {
    this.arrivals.push({name, atTick: this.tick + waitTicks});
  }

  private dispatch(name: string): void {
    const endpoint = this.random.below(ENDPOINTS);
    const book = this.bookOf(endpoint);
    const verdict = book.check(name, `e${endpoint}`, this.nowMs);
    if (verdict === 'condemned') this.refused.push(name);
    if (verdict === 'condemned' && name !== POISON) return;
    if (verdict !== 'free') {
      this.arrive(name, verdict === 'wait' ? 1 : RESEND_TICKS);
      return;
    }
    book.began(name, `e${endpoint}`);
    const ticks = name === POISON ? 1 : 1 + this.random.below(5);
    this.running.push({name, endpoint, endsTick: this.tick + ticks});
  }

  private end(): void {
    const due = this.running.filter(({endsTick}) => endsTick <= this.tick);
    for (const {name, endpoint} of due) {
      if (name === POISON) this.crash(endpoint);
    }
    for (const job of due.filter(each => this.running.includes(each))) {
      this.running = this.running.filter(other => other !== job);
      this.bookOf(job.endpoint).ended(job.name, `e${job.endpoint}`, this.nowMs);
      this.served += 1;
    }
  }

  private crash(endpoint: number): void {
    this.crashes += 1;
    this.bookOf(endpoint).crashed(`e${endpoint}`, this.nowMs);
    const lost = this.running.filter(job => job.endpoint === endpoint);
    this.running = this.running.filter(job => job.endpoint !== endpoint);
    for (const {name} of lost) this.arrive(name, RESEND_TICKS);
  }

  /** Two of three digests are lost on their way. */
  private exchange(): void {
    for (const book of this.books) {
      const notes = book.changes(this.nowMs);
      if (this.tick % 3 !== 0) continue;
      const others = this.books.filter(other => other !== book);
      for (const other of others) {
        for (const note of notes) other.learn(note, this.nowMs);
      }
    }
  }
}

function fleetOf(make: () => suspects.SuspectBook, seed: number): Fleet {
  const books = Array.from({length: ROUTERS}, make);
  return new Fleet(books, new core.SeededRandom(seed)).run();
}

function crash(book: suspects.SuspectBook, nowMs: number, ...names: string[]) {
  for (const name of names) book.began(name, 'e');
  book.crashed('e', nowMs);
}

describe('suspects', () => {
  it('stops a poison request after 3 crashes and refuses no other', () => {
    for (let seed = 0; seed < 200; seed += 1) {
      const fleet = fleetOf(() => new suspects.SignatureSuspectBook(), seed);
      chai.expect(fleet.crashes, `seed ${seed}`).to.be.within(2, 3);
      chai.expect(new Set(fleet.refused)).to.have.all.keys(POISON);
      chai.expect(fleet.served).to.be.above(TICKS * 3);
    }
  });

  it('crashes one endpoint after another where nothing is known', () => {
    const fleet = fleetOf(() => new suspects.NaiveSuspectBook(), 1);
    chai.expect(fleet.crashes).to.be.above(TICKS / 10);
  });

  it('keeps two suspects apart and condemns the one that ran', () => {
    const book = new suspects.SignatureSuspectBook({condemnedMs: 500});
    crash(book, 0, 'a', 'b');
    book.began('a', 'e');
    chai.expect(book.check('b', 'e', 1)).to.equal('wait');
    chai.expect(book.check('b', 'f', 1)).to.equal('free');
    chai.expect(book.check('c', 'e', 1)).to.equal('free');
    crash(book, 1, 'c');
    chai.expect(book.check('a', 'f', 1)).to.equal('condemned');
    chai.expect(book.check('c', 'e', 1)).to.equal('free');
    chai.expect(book.running('e')).to.deep.equal([]);
    chai.expect(book.check('a', 'f', 501)).to.equal('free');
  });

  it('condemns nobody where two suspects ran', () => {
    const book = new suspects.SignatureSuspectBook();
    for (const name of ['a', 'b']) {
      book.began(name, 'e');
      book.learn({signature: name, state: 'suspect', validMs: 9}, 0);
    }
    book.crashed('e', 1);
    chai.expect(book.check('a', 'e', 2)).to.equal('free');
    chai.expect(book.check('b', 'e', 2)).to.equal('free');
    chai.expect(book.changes(2)).to.have.length(2);
  });

  it('clears a suspect that ends well, not one whose caller left', () => {
    const book = new suspects.SignatureSuspectBook({repeats: 1});
    crash(book, 0, 'a');
    chai.expect(book.check('a', 'e', 1)).to.equal('free');
    book.began('a', 'e');
    book.abandoned('a', 'e');
    book.ended('a', 'e', 1);
    chai.expect(book.changes(1)[0]?.state).to.equal('suspect');
    book.began('a', 'e');
    book.ended('a', 'e', 2);
    chai.expect(book.changes(2)[0]?.state).to.equal('cleared');
    chai.expect(book.changes(2)).to.deep.equal([]);
  });

  it('does not pass on what it learned, nor clear the condemned', () => {
    const book = new suspects.SignatureSuspectBook();
    const note = (state: suspects.SuspectNote['state']) =>
      book.learn({signature: 'a', state, validMs: 1_000}, 0);
    note('suspect');
    note('condemned');
    note('cleared');
    note('suspect');
    chai.expect(book.check('a', 'e', 1)).to.equal('condemned');
    chai.expect(book.changes(1)).to.deep.equal([]);
  });

  it('names a request the same when it is resent', () => {
    const parts = {customer: 'c', route: 'r', body: 'b'};
    const own = suspects.signature(parts);
    chai.expect(own).to.match(/^[0-9a-f]{16}$/);
    chai.expect(suspects.signature({...parts})).to.equal(own);
    chai.expect(suspects.signature({...parts, key: 'k'})).not.to.equal(own);
    chai.expect(suspects.signature({...parts, route: 'x'})).not.to.equal(own);
  });
});
