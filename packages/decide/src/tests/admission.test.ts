/** Admission: bounds hold at owners with exact counts, and never deadlock. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as admission from '../admission.js';
import * as load from '../load.js';

const SEED = 414;
const RUNS = 100;
const MULTIPLE = 1.25;
const MAX_IN_FLIGHT = 8;
const ROUTERS = ['router-0', 'router-1', 'router-2'];
const ENDPOINTS = Array.from({length: 7}, (none, id) => `engine-${id}`);
const REPORT_EVERY = 10;

const chosen = new admission.BoundedAdmission();
const naive = new admission.NaiveAdmission();

function pool(inFlight: number, liveEndpoints: number): admission.PoolLoad {
  return {
    inFlight,
    liveEndpoints,
    loadMultiple: MULTIPLE,
    maxInFlight: MAX_IN_FLIGHT,
  };
}

/** Three arrivals, mostly at few endpoints, for every two ends. */
const event = fc.record({
  isArrival: fc.constantFrom(true, true, true, false, false),
  first: fc.constantFrom(0, 0, 0, 1, 1, 2, 3, 4, 5, 6),
  router: fc.nat(ROUTERS.length - 1),
  which: fc.nat(),
});
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;
const events = fc.array(event, {minLength: 50, maxLength: 300});

/** A pool behind several routers; counts what lands above the true bound. */
class Simulation {
  private readonly running: Array<{endpoint: string; router: number}> = [];
  private readonly books: readonly load.LoadBook[];
  private broken = 0;
  private refusedWithRoom = 0;

  /** Owned: exact counts at one owner; else own counts and late reports. */
  constructor(
    private readonly isOwned: boolean,
    private readonly rule: admission.Admission,
  ) {
    this.books = ROUTERS.map(() =>
      isOwned
        ? new load.CountedLoadBook({staleMs: 1})
        : new load.NaiveLoadBook(),
    );
    ENDPOINTS.forEach((name, at) => {
      this.books[at % ROUTERS.length]!.tookOver(name, 0);
    });
  }

  run(list: readonly Event[]): {broken: number; refusedWithRoom: number} {
    list.forEach((one, step) => {
      if (one.isArrival) this.arrive(one);
      else if (this.running.length > 0) this.end(one.which);
      if (this.isOwned) this.exchange();
      else if (step % REPORT_EVERY === 0) this.report(step);
    });
    return {broken: this.broken, refusedWithRoom: this.refusedWithRoom};
  }

  private arrive({first, router: arrivedAt}: Event): void {
    for (let next = first; next < first + ENDPOINTS.length; next++) {
      const at = next % ENDPOINTS.length;
      const endpoint = ENDPOINTS[at]!;
      const router = this.isOwned ? at % ROUTERS.length : arrivedAt;
      const book = this.books[router]!;
      const known = pool(book.poolInFlight(ENDPOINTS, 0), ENDPOINTS.length);
      if (!this.rule.admits(book.inFlight(endpoint, 0), known)) continue;
      book.began(endpoint);
      this.running.push({endpoint, router});
      const mean = this.running.length / ENDPOINTS.length;
      const most = Math.min(MAX_IN_FLIGHT, Math.ceil(MULTIPLE * mean));
      if (this.count(endpoint) > most) this.broken += 1;
      return;
    }
    const hasRoom = ENDPOINTS.some(name => this.count(name) < MAX_IN_FLIGHT);
    if (hasRoom) this.refusedWithRoom += 1;
  }

  private end(which: number): void {
    const at = which % this.running.length;
    const {endpoint, router} = this.running.splice(at, 1)[0]!;
    this.books[router]!.ended(endpoint);
  }

  private count(endpoint: string): number {
    return this.running.filter(one => one.endpoint === endpoint).length;
  }

  private exchange(): void {
    ROUTERS.forEach((router, from) => {
      const owned = ENDPOINTS.filter(
        (name, at) => at % ROUTERS.length === from,
      );
      const counts = owned.map(endpoint => ({
        endpoint,
        router,
        inFlight: this.books[from]!.own(endpoint),
      }));
      const others = this.books.filter((book, at) => at !== from);
      for (const book of others) book.learn(router, counts, 0);
    });
  }

  private report(takenAtMs: number): void {
    for (const endpoint of ENDPOINTS) {
      const inFlight = this.count(endpoint);
      for (const book of this.books) {
        book.report({endpoint, inFlight, takenAtMs});
      }
    }
  }
}

describe('admission', () => {
  it('bounds by the mean, the limit, and one at least', () => {
    chai.expect(chosen.bound(pool(0, 10))).to.equal(1);
    chai.expect(chosen.bound(pool(31, 10))).to.equal(4);
    chai.expect(chosen.bound(pool(32, 10))).to.equal(5);
    chai.expect(chosen.bound(pool(1_000, 10))).to.equal(MAX_IN_FLIGHT);
    chai.expect(chosen.bound(pool(0, 0))).to.equal(2);
    chai.expect(naive.bound(pool(0, 10))).to.equal(MAX_IN_FLIGHT);
  });

  it('does not round a whole product up by its error', () => {
    const known = {...pool(49, 1), loadMultiple: 1.1, maxInFlight: 100};
    chai.expect(known.loadMultiple * 50).to.be.above(55);
    chai.expect(chosen.bound(known)).to.equal(55);
  });

  it('always admits somewhere while the pool has room', () => {
    const loads = fc.array(fc.nat(MAX_IN_FLIGHT), {minLength: 1});
    const multiple = fc.double({min: 1, max: 10, noNaN: true});
    const property = fc.property(loads, multiple, (list, loadMultiple) => {
      const sum = list.reduce((total, one) => total + one, 0);
      const known = {...pool(sum, list.length), loadMultiple};
      const isAdmitted = list.some(one => chosen.admits(one, known));
      const hasRoom = list.some(one => one < MAX_IN_FLIGHT);
      chai.expect(isAdmitted).to.equal(hasRoom);
    });
    fc.assert(property, {seed: SEED, numRuns: 1_000});
  });

  it('holds the bound at owners, where the naive rules break it', () => {
    let alone = 0;
    let unbounded = 0;
    const property = fc.property(events, list => {
      chai
        .expect(new Simulation(true, chosen).run(list))
        .to.deep.equal({broken: 0, refusedWithRoom: 0});
      if (new Simulation(false, chosen).run(list).broken > 0) alone += 1;
      if (new Simulation(true, naive).run(list).broken > 0) unbounded += 1;
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
    chai.expect(alone).to.be.above(RUNS / 2);
    chai.expect(unbounded).to.be.above(RUNS / 2);
  });
});
