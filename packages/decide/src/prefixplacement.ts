/**
 * Placement of requests that go straight from any router to an endpoint.
 * Requests that share a prompt prefix rank the endpoints alike at every router,
 * without a message, and a bound on the load spreads a popular prefix over the
 * next endpoints of its rank. Requests without a prefix go where least runs.
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
  /** Failure domain of the router. */
  readonly zone: string;
}

/** Strategy of placement. */
export interface SpotPlacement {
  /** The endpoint to use, or undefined where there is none. */
  choose(ask: PlacementAsk, spots: readonly Spot[]): Spot | undefined;
}

/**
 * Multiple of the mean load up to which an endpoint keeps its prefixes. Below
 * the users' limit of twice the mean, since counts are some 100 ms old.
 */
export const DEFAULT_LOAD_MULTIPLE = 1.4;

/** Requests above the multiple that are allowed, so that idle pools keep homes. */
export const DEFAULT_LOAD_SLACK = 2;

/** Options of the placement by prefix. */
export interface PrefixPlacementOptions {
  readonly loadMultiple?: number;
  readonly loadSlack?: number;
  readonly random: core.Random;
}

/** Where least runs: own zone before others, then at random. */
export class LeastLoadedPlacement implements SpotPlacement {
  constructor(private readonly random: core.Random) {}

  choose({zone}: PlacementAsk, spots: readonly Spot[]): Spot | undefined {
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
    return best[this.random.below(best.length)];
  }
}

/** By rendezvous on the prefix, within a bound on the load. */
export class PrefixPlacement implements SpotPlacement {
  private readonly loadMultiple: number;
  private readonly loadSlack: number;
  private readonly least: LeastLoadedPlacement;

  constructor({
    loadMultiple = DEFAULT_LOAD_MULTIPLE,
    loadSlack = DEFAULT_LOAD_SLACK,
    random,
  }: PrefixPlacementOptions) {
    this.loadMultiple = loadMultiple;
    this.loadSlack = loadSlack;
    this.least = new LeastLoadedPlacement(random);
  }

  choose(ask: PlacementAsk, spots: readonly Spot[]): Spot | undefined {
    const {prefix} = ask;
    if (prefix === undefined) return this.least.choose(ask, spots);
    const limit = this.limit(spots);
    const open = spots.filter(spot => spot.inFlight < limit);
    if (open.length === 0) return this.least.choose(ask, spots);
    const ids = open.map(spot => spot.id);
    const home = core.best(prefix, ids);
    return open.find(spot => spot.id === home);
  }

  /** Load from which on an endpoint takes no more. */
  private limit(spots: readonly Spot[]): number {
    const total = spots.reduce((sum, spot) => sum + spot.inFlight, 0);
    const mean = total / Math.max(1, spots.length);
    return mean * this.loadMultiple + this.loadSlack;
  }
}
