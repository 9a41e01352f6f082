/** Admission: owners with exact counts keep the limits, and never deadlock. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as admission from '../admission.js';
import * as load from '../load.js';

const SEED = 414;
const RUNS = 100;
const MULTIPLE = 1.25;
const MAX_IN_FLIGHT = 8;
const ROUTERS = ['router-0', 'router-1', 'router-2'];
const ENDPOINTS = Array.from({length: 7}, (none, index) => `engine-${index}`);
const STEPS_PER_REPORT = 10;

const bounded = new admission.BoundedAdmission();
const naive = new admission.NaiveAdmission();

function pool(inFlight: number, liveEndpoints: number): admission.PoolLoad {
  return {
    inFlight,
    liveEndpoints,
    loadMultiple: MULTIPLE,
    maxInFlight: MAX_IN_FLIGHT,
  };
}

/** Three arrivals for every two ends, mostly for the same few endpoints. */
const event = fc.record({
  isArrival: fc.constantFrom(true, true, true, false, false),
  first: fc.constantFrom(0, 0, 0, 1, 1, 2, 3, 4, 5, 6),
  router: fc.nat(ROUTERS.length - 1),
  pick: fc.nat(),
});
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;
const events = fc.array(event, {minLength: 50, maxLength: 300});

/** A pool behind several routers; counts requests above the exact limit. */
class Simulation {
  private readonly running: Array<{endpoint: string; router: number}> = [];
  private readonly trackers: readonly load.LoadTracker[];
  private aboveLimit = 0;
  private refusedWithRoom = 0;

  /**
   * @param isOwned whether each endpoint has one owner with exact counts; else
   *   all routers send to it, with their own counts and delayed reports
   */
  constructor(
    private readonly isOwned: boolean,
    private readonly policy: admission.Admission,
  ) {
    this.trackers = ROUTERS.map(() =>
      isOwned
        ? new load.CombinedLoadTracker({staleMs: 1})
        : new load.NaiveLoadTracker(),
    );
    ENDPOINTS.forEach((name, index) => {
      this.trackers[index % ROUTERS.length]!.setOwned(name, 0);
    });
  }

  run(steps: readonly Event[]): {aboveLimit: number; refusedWithRoom: number} {
    steps.forEach((step, index) => {
      if (step.isArrival) this.arrive(step);
      else if (this.running.length > 0) this.end(step.pick);
      if (this.isOwned) this.exchangeCounts();
      else if (index % STEPS_PER_REPORT === 0) this.reportLoads(index);
    });
    return {aboveLimit: this.aboveLimit, refusedWithRoom: this.refusedWithRoom};
  }

  private arrive({first, router: receiver}: Event): void {
    for (let next = first; next < first + ENDPOINTS.length; next++) {
      const index = next % ENDPOINTS.length;
      const endpoint = ENDPOINTS[index]!;
      const router = this.isOwned ? index % ROUTERS.length : receiver;
      const loads = this.trackers[router]!;
      const poolLoad = pool(loads.poolInFlight(ENDPOINTS, 0), ENDPOINTS.length);
      if (!this.policy.admits(loads.inFlight(endpoint, 0), poolLoad)) continue;
      loads.recordStart(endpoint);
      this.running.push({endpoint, router});
      const mean = this.running.length / ENDPOINTS.length;
      const limit = Math.min(MAX_IN_FLIGHT, Math.ceil(MULTIPLE * mean));
      if (this.count(endpoint) > limit) this.aboveLimit += 1;
      return;
    }
    const hasRoom = ENDPOINTS.some(name => this.count(name) < MAX_IN_FLIGHT);
    if (hasRoom) this.refusedWithRoom += 1;
  }

  private end(pick: number): void {
    const index = pick % this.running.length;
    const {endpoint, router} = this.running.splice(index, 1)[0]!;
    this.trackers[router]!.recordEnd(endpoint);
  }

  private count(endpoint: string): number {
    return this.running.filter(request => request.endpoint === endpoint).length;
  }

  private exchangeCounts(): void {
    ROUTERS.forEach((router, sender) => {
      const owned = ENDPOINTS.filter(
        (name, index) => index % ROUTERS.length === sender,
      );
      const counts = owned.map(endpoint => ({
        endpoint,
        router,
        inFlight: this.trackers[sender]!.localInFlight(endpoint),
      }));
      const others = this.trackers.filter((tracker, index) => index !== sender);
      for (const tracker of others) tracker.applyRemote(router, counts, 0);
    });
  }

  private reportLoads(takenAtMs: number): void {
    for (const endpoint of ENDPOINTS) {
      const inFlight = this.count(endpoint);
      for (const tracker of this.trackers) {
        tracker.recordReport({endpoint, inFlight, takenAtMs});
      }
    }
  }
}

describe('admission', () => {
  it('limits endpoints by mean load and maximum, but never below 1', () => {
    chai.expect(bounded.limit(pool(0, 10))).to.equal(1);
    chai.expect(bounded.limit(pool(31, 10))).to.equal(4);
    chai.expect(bounded.limit(pool(32, 10))).to.equal(5);
    chai.expect(bounded.limit(pool(1_000, 10))).to.equal(MAX_IN_FLIGHT);
    chai.expect(bounded.limit(pool(0, 0))).to.equal(2);
    chai.expect(naive.limit(pool(0, 10))).to.equal(MAX_IN_FLIGHT);
  });

  it('does not round an integer limit up because of a floating-point error', () => {
    const poolLoad = {...pool(49, 1), loadMultiple: 1.1, maxInFlight: 100};
    chai.expect(poolLoad.loadMultiple * 50).to.be.above(55);
    chai.expect(bounded.limit(poolLoad)).to.equal(55);
  });

  it('admits a request at some endpoint as long as one is below its maximum', () => {
    const loads = fc.array(fc.nat(MAX_IN_FLIGHT), {minLength: 1});
    const multiple = fc.double({min: 1, max: 10, noNaN: true});
    const property = fc.property(loads, multiple, (drawn, loadMultiple) => {
      const sum = drawn.reduce((total, inFlight) => total + inFlight, 0);
      const poolLoad = {...pool(sum, drawn.length), loadMultiple};
      const isAdmitted = drawn.some(inFlight =>
        bounded.admits(inFlight, poolLoad),
      );
      const hasRoom = drawn.some(inFlight => inFlight < MAX_IN_FLIGHT);
      chai.expect(isAdmitted).to.equal(hasRoom);
    });
    fc.assert(property, {seed: SEED, numRuns: 1_000});
  });

  it('keeps endpoints within the limit if each has one owner, unlike baselines', () => {
    let shared = 0;
    let unlimited = 0;
    const property = fc.property(events, drawn => {
      chai
        .expect(new Simulation(true, bounded).run(drawn))
        .to.deep.equal({aboveLimit: 0, refusedWithRoom: 0});
      if (new Simulation(false, bounded).run(drawn).aboveLimit > 0) shared += 1;
      if (new Simulation(true, naive).run(drawn).aboveLimit > 0) unlimited += 1;
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
    chai.expect(shared).to.be.above(RUNS / 2);
    chai.expect(unlimited).to.be.above(RUNS / 2);
  });
});
