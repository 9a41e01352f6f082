/**
 * Placement in direct mode, where any router sends to any endpoint. A prompt
 * prefix goes to an endpoint that holds it. For a prefix that none holds, all
 * routers choose the same endpoint by rendezvous hashing, without exchanging
 * messages. A load bound spreads a popular prefix over more endpoints. Requests
 * without a prefix go to the least loaded endpoint.
 */
import * as core from '@oleanderrock/core';
import type * as startEstimates from './startestimates.js';

/** A candidate endpoint. */
export interface DirectCandidate {
  readonly id: string;
  readonly zone: string;
  /** Requests in flight at the endpoint, over all routers. */
  readonly inFlight: number;
}

/** The parts of a request that placement uses. */
export interface DirectPlacementRequest {
  /** Identifies the shared part of the prompt; absent if none is shared. */
  readonly prefix?: string;
  /** Tokens that an endpoint without the prefix has to process. */
  readonly prefixTokens?: number;
  /** Ids of the endpoints that hold the prefix. */
  readonly homes?: readonly string[];
  /** Failure domain of the router. */
  readonly zone: string;
  /**
   * Whether loads are recent enough to compare; if not, all routers would
   * choose the same least loaded endpoint until they hear of its new load.
   * Absent: they are.
   */
  readonly hasExactLoads?: boolean;
  /** What the request will cost; absent: unknown. */
  readonly work?: startEstimates.RequestWork;
  /**
   * Time left until the first event is wanted, in ms; absent: as soon as
   * possible.
   */
  readonly goalMs?: number;
  /** Monotonic time, in ms; given with `work`. */
  readonly nowMs?: number;
  /**
   * Time in which an endpoint copies a token of the prefix from one that holds
   * it, in us; absent if it would have to read the prefix.
   */
  readonly copyUsPerToken?: number;
}

/** Why an endpoint was chosen. */
export type DirectPlacementReason =
  /** It holds the prefix. */
  | 'home'
  /** No candidate holds the prefix; it ranks first by rendezvous score. */
  | 'rank'
  /** The candidates that hold the prefix are at the load bound. */
  | 'spill'
  /** It is the least loaded. */
  | 'least'
  /** The request starts earlier than where its prefix is held. */
  | 'earlier'
  /** The request starts earliest there, weighed by load. */
  | 'soonest';

/** The chosen endpoint, and why. */
export interface DirectChoice {
  readonly endpoint: DirectCandidate;
  readonly reason: DirectPlacementReason;
  /** Load at which an endpoint was skipped; absent if no bound applied. */
  readonly limit?: number;
  /** When the endpoint can answer; absent if too little is known. */
  readonly estimate?: startEstimates.StartEstimate;
}

/** Placement strategy in direct mode. */
export interface DirectPlacement {
  /** The endpoint to use; undefined if there are no candidates. */
  choose(
    request: DirectPlacementRequest,
    candidates: readonly DirectCandidate[],
  ): DirectChoice | undefined;
}

/** Load below which an endpoint takes a prefix, relative to the pool's mean. */
export interface LoadBound {
  readonly multiple: number;
  /** Added to the multiple, so that prefixes keep their homes in idle pools. */
  readonly slack: number;
}

/**
 * Bound for long prefixes: slightly below the required limit of twice the mean
 * plus 3, since counts are about 100 ms old.
 */
export const LONG_PREFIX_BOUND: LoadBound = {multiple: 1.85, slack: 3};

/** Bound for short prefixes; lower, to leave room for the long ones. */
export const SHORT_PREFIX_BOUND: LoadBound = {multiple: 1.4, slack: 2};

/**
 * Number of tokens from which a prefix counts as long: about 50 ms of an
 * engine's time.
 */
export const LONG_PREFIX_TOKENS = 4_000;

/** Options of `PrefixPlacement`. */
export interface PrefixPlacementOptions {
  readonly longPrefixBound?: LoadBound;
  readonly shortPrefixBound?: LoadBound;
  readonly random: core.Random;
}

/**
 * Least loaded endpoint; ties go to the router's zone, then at random. With
 * outdated loads, a random one, the less probable the higher its load.
 */
export class LeastLoadedPlacement implements DirectPlacement {
  constructor(private readonly random: core.Random) {}

  choose(
    {zone, hasExactLoads = true}: DirectPlacementRequest,
    candidates: readonly DirectCandidate[],
  ): DirectChoice | undefined {
    if (!hasExactLoads) return this.chooseByWeight(candidates);
    let cheapest: DirectCandidate[] = [];
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const endpoint of candidates) {
      // Other zones cost half a request more, so ties go to the router's zone.
      const cost = endpoint.inFlight + (endpoint.zone === zone ? 0 : 0.5);
      if (cost > lowestCost) continue;
      if (cost < lowestCost) cheapest = [];
      lowestCost = cost;
      cheapest.push(endpoint);
    }
    const chosen = cheapest[this.random.nextInt(cheapest.length)];
    return chosen && {endpoint: chosen, reason: 'least'};
  }

  private chooseByWeight(
    candidates: readonly DirectCandidate[],
  ): DirectChoice | undefined {
    const weightOf = ({inFlight}: DirectCandidate) => 1 / (1 + inFlight);
    const total = candidates.reduce((sum, each) => sum + weightOf(each), 0);
    let remaining = this.random.nextFloat() * total;
    const chosen =
      candidates.find(each => (remaining -= weightOf(each)) < 0) ??
      candidates.at(-1);
    return chosen && {endpoint: chosen, reason: 'least'};
  }
}

/**
 * Prefers endpoints that hold the prefix, then the one with the highest
 * rendezvous score, among those below the load bound.
 */
export class PrefixPlacement implements DirectPlacement {
  private readonly longPrefixBound: LoadBound;
  private readonly shortPrefixBound: LoadBound;
  private readonly fallback: LeastLoadedPlacement;

  constructor({
    longPrefixBound = LONG_PREFIX_BOUND,
    shortPrefixBound = SHORT_PREFIX_BOUND,
    random,
  }: PrefixPlacementOptions) {
    this.longPrefixBound = longPrefixBound;
    this.shortPrefixBound = shortPrefixBound;
    this.fallback = new LeastLoadedPlacement(random);
  }

  choose(
    request: DirectPlacementRequest,
    candidates: readonly DirectCandidate[],
  ): DirectChoice | undefined {
    const {prefix, prefixTokens = 0, homes = []} = request;
    if (prefix === undefined) return this.fallback.choose(request, candidates);
    const isLong = prefixTokens >= LONG_PREFIX_TOKENS;
    const bound = isLong ? this.longPrefixBound : this.shortPrefixBound;
    const limit = loadLimit(candidates, bound);
    const eligible = candidates.filter(endpoint => endpoint.inFlight < limit);
    if (eligible.length === 0) return this.fallback.choose(request, candidates);
    const holders = eligible.filter(endpoint => homes.includes(endpoint.id));
    if (holders.length > 0) {
      const chosen = this.fallback.choose(request, holders);
      return chosen && {...chosen, reason: 'home', limit};
    }
    const ids = eligible.map(endpoint => endpoint.id);
    const topId = core.topNode(prefix, ids);
    const top = eligible.find(endpoint => endpoint.id === topId);
    const isHeld = candidates.some(endpoint => homes.includes(endpoint.id));
    return top && {endpoint: top, reason: isHeld ? 'spill' : 'rank', limit};
  }
}

/** Load at which an endpoint gets no more requests for a prefix. */
export function prefixLimit(
  candidates: readonly DirectCandidate[],
  prefixTokens: number,
): number {
  const isLong = prefixTokens >= LONG_PREFIX_TOKENS;
  return loadLimit(candidates, isLong ? LONG_PREFIX_BOUND : SHORT_PREFIX_BOUND);
}

/** Load at which an endpoint gets no more requests. */
export function loadLimit(
  candidates: readonly DirectCandidate[],
  {multiple, slack}: LoadBound,
): number {
  let total = 0;
  for (const {inFlight} of candidates) total += inFlight;
  return (total / Math.max(1, candidates.length)) * multiple + slack;
}
