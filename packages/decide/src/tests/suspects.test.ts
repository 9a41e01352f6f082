/** Suspects: finds the request that crashes endpoints, and refuses no other. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as suspects from '../suspects.js';

const ROUTERS = 3;
const ENDPOINTS = 6;
const TICKS = 300;
const TICK_MS = 1_000;
const RESEND_TICKS = 4;
const POISON = 'poison';

interface RunningRequest {
  readonly name: string;
  endTick: number;
  endpoint: number;
}

/** Routers that each own some endpoints and exchange notes. */
class Fleet {
  crashes = 0;
  served = 0;
  readonly refused: string[] = [];
  private tick = 0;
  private nextId = 0;
  private running: RunningRequest[] = [];
  private arrivals: Array<{name: string; atTick: number}> = [];

  constructor(
    private readonly trackers: suspects.SuspectTracker[],
    private readonly random: core.Random,
  ) {
    this.arrivals.push({name: POISON, atTick: 10});
  }

  run(): this {
    for (this.tick = 0; this.tick < TICKS; this.tick += 1) {
      this.end();
      this.exchangeNotes();
      for (let count = 0; count < 4; count += 1) {
        this.arrive(`ok${this.nextId++}`);
      }
      const dueNow = this.arrivals.filter(({atTick}) => atTick <= this.tick);
      this.arrivals = this.arrivals.filter(({atTick}) => atTick > this.tick);
      for (const {name} of dueNow) this.dispatch(name);
    }
    return this;
  }

  private get nowMs(): number {
    return this.tick * TICK_MS;
  }

  private trackerOf(endpoint: number): suspects.SuspectTracker {
    return this.trackers[endpoint % ROUTERS] as suspects.SuspectTracker;
  }

  private arrive(name: string, waitTicks = 0): void {
    this.arrivals.push({name, atTick: this.tick + waitTicks});
  }

  private dispatch(name: string): void {
    const endpoint = this.random.nextInt(ENDPOINTS);
    const tracker = this.trackerOf(endpoint);
    const verdict = tracker.check(name, `e${endpoint}`, this.nowMs);
    if (verdict === 'condemned') this.refused.push(name);
    if (verdict === 'condemned' && name !== POISON) return;
    if (verdict !== 'free') {
      this.arrive(name, verdict === 'wait' ? 1 : RESEND_TICKS);
      return;
    }
    tracker.recordStart(name, `e${endpoint}`);
    const ticks = name === POISON ? 1 : 1 + this.random.nextInt(5);
    this.running.push({name, endpoint, endTick: this.tick + ticks});
  }

  private end(): void {
    const dueNow = this.running.filter(({endTick}) => endTick <= this.tick);
    for (const {name, endpoint} of dueNow) {
      if (name === POISON) this.crash(endpoint);
    }
    for (const request of dueNow.filter(each => this.running.includes(each))) {
      this.running = this.running.filter(other => other !== request);
      this.trackerOf(request.endpoint).recordEnd(
        request.name,
        `e${request.endpoint}`,
        this.nowMs,
      );
      this.served += 1;
    }
  }

  private crash(endpoint: number): void {
    this.crashes += 1;
    this.trackerOf(endpoint).recordCrash(`e${endpoint}`, this.nowMs);
    const lost = this.running.filter(request => request.endpoint === endpoint);
    this.running = this.running.filter(
      request => request.endpoint !== endpoint,
    );
    for (const {name} of lost) this.arrive(name, RESEND_TICKS);
  }

  /** Sends notes to the other routers; two of three digests are lost. */
  private exchangeNotes(): void {
    for (const tracker of this.trackers) {
      const notes = tracker.takeChanges(this.nowMs);
      if (this.tick % 3 !== 0) continue;
      const others = this.trackers.filter(other => other !== tracker);
      for (const other of others) {
        for (const note of notes) other.applyRemote(note, this.nowMs);
      }
    }
  }
}

function fleetOf(
  createTracker: () => suspects.SuspectTracker,
  seed: number,
): Fleet {
  const trackers = Array.from({length: ROUTERS}, createTracker);
  return new Fleet(trackers, new core.SeededRandom(seed)).run();
}

function crash(
  tracker: suspects.SuspectTracker,
  nowMs: number,
  ...names: string[]
) {
  for (const name of names) tracker.recordStart(name, 'e');
  tracker.recordCrash('e', nowMs);
}

describe('suspects', () => {
  it('stops a poison request after 2 or 3 crashes and refuses no other', () => {
    for (let seed = 0; seed < 200; seed += 1) {
      const fleet = fleetOf(() => new suspects.SignatureSuspectTracker(), seed);
      chai.expect(fleet.crashes, `seed ${seed}`).to.be.within(2, 3);
      chai.expect(new Set(fleet.refused)).to.have.all.keys(POISON);
      chai.expect(fleet.served).to.be.above(TICKS * 3);
    }
  });

  it('does not stop a poison request in the baseline', () => {
    const fleet = fleetOf(() => new suspects.NaiveSuspectTracker(), 1);
    chai.expect(fleet.crashes).to.be.above(TICKS / 10);
  });

  it('keeps suspects apart and condemns the one that runs at a crash', () => {
    const tracker = new suspects.SignatureSuspectTracker({condemnedMs: 500});
    crash(tracker, 0, 'a', 'b');
    tracker.recordStart('a', 'e');
    chai.expect(tracker.check('b', 'e', 1)).to.equal('wait');
    chai.expect(tracker.check('b', 'f', 1)).to.equal('free');
    chai.expect(tracker.check('c', 'e', 1)).to.equal('free');
    crash(tracker, 1, 'c');
    chai.expect(tracker.check('a', 'f', 1)).to.equal('condemned');
    chai.expect(tracker.check('c', 'e', 1)).to.equal('free');
    chai.expect(tracker.runningOn('e')).to.deep.equal([]);
    chai.expect(tracker.check('a', 'f', 501)).to.equal('free');
  });

  it('condemns no request if two suspects ran on the crashed endpoint', () => {
    const tracker = new suspects.SignatureSuspectTracker();
    for (const name of ['a', 'b']) {
      tracker.recordStart(name, 'e');
      tracker.applyRemote({signature: name, state: 'suspect', validMs: 9}, 0);
    }
    tracker.recordCrash('e', 1);
    chai.expect(tracker.check('a', 'e', 2)).to.equal('free');
    chai.expect(tracker.check('b', 'e', 2)).to.equal('free');
    chai.expect(tracker.takeChanges(2)).to.have.length(2);
  });

  it('clears a suspect that ends without a crash, but not an aborted one', () => {
    const tracker = new suspects.SignatureSuspectTracker({repeats: 1});
    crash(tracker, 0, 'a');
    chai.expect(tracker.check('a', 'e', 1)).to.equal('free');
    tracker.recordStart('a', 'e');
    tracker.recordAbort('a', 'e');
    tracker.recordEnd('a', 'e', 1);
    chai.expect(tracker.takeChanges(1)[0]?.state).to.equal('suspect');
    tracker.recordStart('a', 'e');
    tracker.recordEnd('a', 'e', 2);
    chai.expect(tracker.takeChanges(2)[0]?.state).to.equal('cleared');
    chai.expect(tracker.takeChanges(2)).to.deep.equal([]);
  });

  it('forwards no received notes, and does not clear a condemned request', () => {
    const tracker = new suspects.SignatureSuspectTracker();
    const note = (state: suspects.SuspectNote['state']) =>
      tracker.applyRemote({signature: 'a', state, validMs: 1_000}, 0);
    note('suspect');
    note('condemned');
    note('cleared');
    note('suspect');
    chai.expect(tracker.check('a', 'e', 1)).to.equal('condemned');
    chai.expect(tracker.takeChanges(1)).to.deep.equal([]);
  });

  it('gives a resent request the same signature', () => {
    const parts = {customer: 'c', route: 'r', body: 'b'};
    const original = suspects.requestSignature(parts);
    chai.expect(original).to.match(/^[0-9a-f]{16}$/);
    chai.expect(suspects.requestSignature({...parts})).to.equal(original);
    chai
      .expect(suspects.requestSignature({...parts, key: 'k'}))
      .not.to.equal(original);
    chai
      .expect(suspects.requestSignature({...parts, route: 'x'}))
      .not.to.equal(original);
  });
});
