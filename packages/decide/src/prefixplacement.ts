/**
 * Placement of requests that go straight from any router to an endpoint. A
 * prompt prefix goes where it is held; one that nobody holds goes to the same
 * endpoint from every router, without a message, by its rendezvous rank. A
 * bound on the load spreads a popular prefix over further endpoints. Requests
 * without a prefix go by load alone.
 */
import * as core from '@oleanderrock/core';
import * as loadPlacement from './loadplacement.js';
import type * as spots from './spot.js';

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

/** By homes and rendezvous on the prefix, within a bound on the load. */
export class PrefixPlacement implements spots.SpotPlacement {
  private readonly dear: LoadBound;
  private readonly cheap: LoadBound;
  private readonly least: loadPlacement.LeastLoadedPlacement;
  private readonly plain: loadPlacement.TwoChoicesPlacement;

  constructor({
    dear = DEAR_BOUND,
    cheap = CHEAP_BOUND,
    random,
  }: PrefixPlacementOptions) {
    this.dear = dear;
    this.cheap = cheap;
    this.least = new loadPlacement.LeastLoadedPlacement(random);
    this.plain = new loadPlacement.TwoChoicesPlacement(random);
  }

  choose(
    ask: spots.PlacementAsk,
    all: readonly spots.Spot[],
  ): spots.SpotChoice | undefined {
    const {prefix, prefixTokens = 0, homes = []} = ask;
    if (prefix === undefined) return this.plain.choose(ask, all);
    const bound = prefixTokens >= DEAR_TOKENS ? this.dear : this.cheap;
    const limit = loadLimit(all, bound);
    const open = all.filter(spot => spot.inFlight < limit);
    if (open.length === 0) return this.least.choose(ask, all);
    const holding = open.filter(spot => homes.includes(spot.id));
    if (holding.length > 0) {
      const chosen = this.least.choose(ask, holding);
      return chosen && {...chosen, reason: 'home', limit};
    }
    const ids = open.map(spot => spot.id);
    const first = core.best(prefix, ids);
    const spot = open.find(item => item.id === first);
    const isHeld = all.some(item => homes.includes(item.id));
    return spot && {spot, reason: isHeld ? 'spill' : 'rank', limit};
  }
}

/** Load from which on an endpoint takes no more. */
function loadLimit(
  all: readonly spots.Spot[],
  {multiple, slack}: LoadBound,
): number {
  const total = all.reduce((sum, spot) => sum + spot.inFlight, 0);
  return (total / Math.max(1, all.length)) * multiple + slack;
}
