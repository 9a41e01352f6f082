/**
 * Placement of requests that go straight from any router to an endpoint. A
 * prompt prefix goes where it is held; one that nobody holds goes to the same
 * endpoint from every router, without a message, by its rendezvous rank. A
 * bound on the load spreads a popular prefix over further endpoints. Requests
 * without a prefix go where least runs.
 */
import * as core from '@oleanderrock/core';

/** An endpoint that may be chosen. */
export interface Spot {
  readonly id: string;
  readonly zone: string;
  /** Requests in flight there, over all routers. */
  readonly inFlight: number;
}

/** What a placement knows of a request. */
export interface PlacementAsk {
  /** Names the shared part of the prompt; absent: none is shared. */
  readonly prefix?: string;
  /** Tokens that an endpoint without the prefix has to read. */
  readonly prefixTokens?: number;
  /** Endpoints that hold the prefix. */
  readonly homes?: readonly string[];
  /** Failure domain of the router. */
  readonly zone: string;
}

/** Why an endpoint was chosen. */
export type SpotReason =
  /** It holds the prefix. */
  | 'home'
  /** Nobody holds the prefix; its rank is the first. */
  | 'rank'
  /** Those that hold the prefix are at their bound. */
  | 'spill'
  /** Least runs there. */
  | 'least';

/** An endpoint that was chosen, with what decided it. */
export interface SpotChoice {
  readonly spot: Spot;
  readonly reason: SpotReason;
  /** Load from which on an endpoint is passed by; absent: none was set. */
  readonly limit?: number;
}

/** Strategy of placement. */
export interface SpotPlacement {
  /** The endpoint to use, or undefined where there is none. */
  choose(ask: PlacementAsk, spots: readonly Spot[]): SpotChoice | undefined;
}

/** Load up to which an endpoint takes a prefix, against the pool's mean. */
export interface LoadBound {
  readonly multiple: number;
  /** Requests above the multiple, so that idle pools keep their homes. */
  readonly slack: number;
}

/**
 * Bound for prefixes that are dear to read: somewhat below the users' limit of
 * twice the mean and 3, since counts are some 100 ms old.
 */
export const DEAR_BOUND: LoadBound = {multiple: 1.85, slack: 3};

/** Bound for short prefixes, which leave room for the dear ones. */
export const CHEAP_BOUND: LoadBound = {multiple: 1.4, slack: 2};

/** Tokens from which on a prefix is dear: some 50 ms of an engine's time. */
export const DEAR_TOKENS = 4_000;

/** Options of the placement by prefix. */
export interface PrefixPlacementOptions {
  readonly dear?: LoadBound;
  readonly cheap?: LoadBound;
  readonly random: core.Random;
}

/** Where least runs: own zone before others, then at random. */
export class LeastLoadedPlacement implements SpotPlacement {
  constructor(private readonly random: core.Random) {}

  choose({zone}: PlacementAsk, spots: readonly Spot[]): SpotChoice | undefined {
    let best: Spot[] = [];
    let lowest = Number.POSITIVE_INFINITY;
    for (const spot of spots) {
      // Half a request: a tie goes to the own zone.
      const cost = spot.inFlight + (spot.zone === zone ? 0 : 0.5);
      if (cost > lowest) continue;
      if (cost < lowest) best = [];
      lowest = cost;
      best.push(spot);
    }
    const spot = best[this.random.below(best.length)];
    return spot && {spot, reason: 'least'};
  }
}

/** By homes and rendezvous on the prefix, within a bound on the load. */
export class PrefixPlacement implements SpotPlacement {
  private readonly dear: LoadBound;
  private readonly cheap: LoadBound;
  private readonly least: LeastLoadedPlacement;

  constructor({
    dear = DEAR_BOUND,
    cheap = CHEAP_BOUND,
    random,
  }: PrefixPlacementOptions) {
    this.dear = dear;
    this.cheap = cheap;
    this.least = new LeastLoadedPlacement(random);
  }

  choose(ask: PlacementAsk, spots: readonly Spot[]): SpotChoice | undefined {
    const {prefix, prefixTokens = 0, homes = []} = ask;
    if (prefix === undefined) return this.least.choose(ask, spots);
    const bound = prefixTokens >= DEAR_TOKENS ? this.dear : this.cheap;
    const limit = loadLimit(spots, bound);
    const open = spots.filter(spot => spot.inFlight < limit);
    if (open.length === 0) return this.least.choose(ask, spots);
    const holding = open.filter(spot => homes.includes(spot.id));
    if (holding.length > 0) {
      const chosen = this.least.choose(ask, holding);
      return chosen && {...chosen, reason: 'home', limit};
    }
    const ids = open.map(spot => spot.id);
    const first = core.best(prefix, ids);
    const spot = open.find(item => item.id === first);
    const isHeld = spots.some(item => homes.includes(item.id));
    return spot && {spot, reason: isHeld ? 'spill' : 'rank', limit};
  }
}

/** Load from which on an endpoint takes no more. */
function loadLimit(
  spots: readonly Spot[],
  {multiple, slack}: LoadBound,
): number {
  const total = spots.reduce((sum, spot) => sum + spot.inFlight, 0);
  return (total / Math.max(1, spots.length)) * multiple + slack;
}
