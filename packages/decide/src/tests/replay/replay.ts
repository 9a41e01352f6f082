/**
 * Replays a load pattern in virtual time: several routers, each with its own
 * view of the loads, send the requests to model endpoints.
 */
import * as core from '@oleanderrock/core';
import * as decide from '../../index.js';
import * as loadPattern from './loadpattern.js';
import * as modelEndpoint from './modelendpoint.js';

const DIGEST_INTERVAL_MS = 400;

/** Time after the pattern in which requests end. */
const TAIL_MS = 60_000;

/** Time of the learning at the start that is not counted. */
const WARM_UP_MS = 4_000;

/** The decisions of one router. */
interface Router {
  readonly name: string;
  readonly load: decide.SummedFleetLoad;
  readonly workLeft: decide.WorkLeft;
  readonly homes: decide.SharedPrefixHomes;
  readonly observer: decide.WorkObserver;
  readonly placement: decide.DirectPlacement;
}

/** How a router is built. */
export type PlacementKind = 'counts' | 'cost';

/** What callers got. */
export interface ReplayResult {
  readonly requests: number;
  /** Share of requests whose first event came within the goal. */
  readonly inTimeShare: number;
  readonly firstEventP50Ms: number;
  readonly firstEventP95Ms: number;
  readonly refused: number;
  /** Tokens of prefixes that endpoints read because they did not hold them. */
  readonly readTokens: number;
  readonly copiedTokens: number;
  /** Largest number of requests at an endpoint beyond 2 x mean + 3. */
  readonly excessLoad: number;
  /** Shares of true times within 25% and within twice of the estimate. */
  readonly closeShare: number;
  readonly withinTwiceShare: number;
}

interface SentRun {
  readonly router: Router;
  readonly sent: decide.SentWork;
}

/** One replay. */
export class Replay {
  private nowMs = 0;
  private readonly endpoints: readonly modelEndpoint.ModelEndpoint[];
  private readonly routers: readonly Router[];
  private readonly sentByArrival = new Map<loadPattern.Arrival, SentRun>();
  private readonly firstEventMs: number[] = [];
  private readonly ratios: number[] = [];
  private inTimeCount = 0;
  private refusedCount = 0;
  private excessLoad = 0;

  constructor(
    private readonly pattern: loadPattern.LoadPattern,
    kind: PlacementKind,
  ) {
    this.endpoints = pattern.endpoints.flatMap(({count, slots, paces}, group) =>
      idsOf(`e${group}-`, count).map(
        id => new modelEndpoint.ModelEndpoint(id, slots, paces, this),
      ),
    );
    this.routers = idsOf('r', pattern.routers).map((name, index) =>
      createRouter(name, kind, pattern.seed + index),
    );
  }

  run(): ReplayResult {
    const arrivals = loadPattern.arrivalsOf(this.pattern);
    const endsAtMs = this.pattern.lengthMs + TAIL_MS;
    let next = 0;
    let digestAtMs = DIGEST_INTERVAL_MS;
    while (this.nowMs < endsAtMs) {
      const endpoint = this.nextEndpoint();
      const arrival = arrivals[next];
      const arrivesAtMs = arrival?.atMs ?? Number.POSITIVE_INFINITY;
      this.nowMs = Math.min(endpoint.stepEndsAtMs, arrivesAtMs, digestAtMs);
      if (this.nowMs === digestAtMs) {
        digestAtMs += DIGEST_INTERVAL_MS;
        this.exchange();
      } else if (arrival && this.nowMs === arrivesAtMs) {
        next += 1;
        this.place(arrival);
      } else {
        endpoint.endStep(this.nowMs);
      }
    }
    return this.result(arrivals);
  }

  onFirstEvent({arrival}: modelEndpoint.ModelRun, nowMs: number): void {
    const {router, sent} = this.sentByArrival.get(arrival)!;
    const endpoint = this.endpoints.find(({id}) => id === sent.endpoint.id)!;
    const {runningCount: running, waitingCount: waiting, slots} = endpoint;
    const pacePercent = endpoint.pace(nowMs) * 100;
    router.observer.recordLoad(
      endpoint.id,
      {running, waiting, slots, pacePercent},
      nowMs,
    );
    router.observer.recordFirstEvent(sent, nowMs);
    if (arrival.atMs < WARM_UP_MS) return;
    const tookMs = nowMs - arrival.atMs;
    this.firstEventMs.push(tookMs);
    if (tookMs <= arrival.goalMs) this.inTimeCount += 1;
    if (sent.estimate) this.ratios.push(tookMs / sent.estimate.firstEventMs);
  }

  onEnd({arrival}: modelEndpoint.ModelRun, nowMs: number): void {
    const {router, sent} = this.sentByArrival.get(arrival)!;
    router.load.recordEnd(sent.endpoint.id);
    router.observer.recordEnd(sent, nowMs, true);
  }

  private place(arrival: loadPattern.Arrival): void {
    const {nowMs} = this;
    const router = this.routers[arrival.router]!;
    const {prefix, sharedTokens: prefixTokens, goalMs} = arrival;
    const work = {pool: 'p', ...arrival};
    const homes = router.homes.homesOf(prefix, nowMs);
    const candidates = this.endpoints.map(({id}) => ({
      id,
      zone: 'z',
      inFlight: router.load.inFlight(id, nowMs),
    }));
    const copyUsPerToken =
      homes.length > 0 ? this.pattern.copyUsPerToken : undefined;
    const copyMs = copyUsPerToken && (copyUsPerToken * prefixTokens) / 1_000;
    const choice = router.placement.choose(
      {
        prefix,
        prefixTokens,
        homes,
        zone: 'z',
        work,
        nowMs,
        goalMs,
        copyUsPerToken,
      },
      candidates,
    )!;
    const {id} = choice.endpoint;
    const endpoint = this.endpoints.find(each => each.id === id)!;
    const holdsPrefix = homes.includes(id) || copyMs !== undefined;
    const sent = router.observer.recordSend(work, {id, holdsPrefix}, nowMs);
    router.load.recordStart(id);
    router.homes.recordPlacement({prefix, endpoint: id}, nowMs);
    this.sentByArrival.set(arrival, {router, sent});
    if (!endpoint.start(arrival, nowMs, copyMs)) {
      this.refusedCount += 1;
      router.load.recordEnd(id);
      router.observer.recordEnd(sent, nowMs, false);
    }
    this.checkBound(endpoint);
  }

  private checkBound({
    runningCount,
    waitingCount,
  }: modelEndpoint.ModelEndpoint) {
    const total = this.endpoints.reduce(
      (sum, each) => sum + each.runningCount + each.waitingCount,
      0,
    );
    const bound = (total / this.endpoints.length) * 2 + 3;
    const excess = runningCount + waitingCount - bound;
    this.excessLoad = Math.max(this.excessLoad, excess);
  }

  private exchange(): void {
    for (const sender of this.routers) {
      const counts = new Map(sender.load.localCounts());
      const work = sender.workLeft.localWork(this.nowMs);
      const placements = sender.homes.takeUnsent();
      for (const receiver of this.routers) {
        if (receiver === sender) continue;
        receiver.load.applyRemote(sender.name, counts, this.nowMs);
        receiver.workLeft.applyRemote(sender.name, work, this.nowMs);
        for (const location of placements) {
          receiver.homes.applyRemote(location, this.nowMs);
        }
      }
    }
  }

  private nextEndpoint(): modelEndpoint.ModelEndpoint {
    return this.endpoints.reduce((first, each) =>
      each.stepEndsAtMs < first.stepEndsAtMs ? each : first,
    );
  }

  private result(arrivals: readonly loadPattern.Arrival[]): ReplayResult {
    const counted = arrivals.filter(({atMs}) => atMs >= WARM_UP_MS).length;
    const sorted = this.firstEventMs.sort((a, b) => a - b);
    const at = (share: number) => sorted[Math.floor(sorted.length * share)]!;
    const shareOfRatios = (low: number, high: number) =>
      this.ratios.filter(ratio => ratio >= low && ratio <= high).length /
      Math.max(1, this.ratios.length);
    return {
      requests: counted,
      inTimeShare: this.inTimeCount / counted,
      firstEventP50Ms: at(0.5),
      firstEventP95Ms: at(0.95),
      refused: this.refusedCount,
      readTokens: this.endpoints.reduce(
        (sum, each) => sum + each.readTokens,
        0,
      ),
      copiedTokens: this.endpoints.reduce(
        (sum, each) => sum + each.copiedTokens,
        0,
      ),
      excessLoad: this.excessLoad,
      closeShare: shareOfRatios(0.75, 1.25),
      withinTwiceShare: shareOfRatios(0.5, 2),
    };
  }
}

function idsOf(prefix: string, count: number): readonly string[] {
  return [...Array(count).keys()].map(index => `${prefix}${index}`);
}

function createRouter(name: string, kind: PlacementKind, seed: number): Router {
  const random = new core.SeededRandom(seed);
  const load = new decide.SummedFleetLoad();
  const workLeft = new decide.AgingWorkLeft();
  const estimates = new decide.LearnedStartEstimates({load, workLeft});
  const byCounts = new decide.PrefixPlacement({random});
  const byCost = new decide.CostPlacement({
    estimates,
    fallback: byCounts,
    random,
  });
  return {
    name,
    load,
    workLeft,
    homes: new decide.SharedPrefixHomes(),
    observer: estimates,
    placement: kind === 'cost' ? byCost : byCounts,
  };
}
