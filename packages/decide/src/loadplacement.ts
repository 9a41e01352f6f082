/**
 * Placement by load alone, for requests that share no prefix. Counts of other
 * routers are older than a short request takes, so routers that all chose the
 * least loaded endpoint would choose the same one; of two at random they choose
 * different ones.
 */
import type * as core from '@oleanderrock/core';
import type * as spots from './spot.js';

/** What an endpoint of another failure domain costs, in requests: a tie. */
const FAR_COST = 0.5;

function costOf(spot: spots.Spot, zone: string): number {
  return spot.inFlight + (spot.zone === zone ? 0 : FAR_COST);
}

/** Where least runs: own zone before others, then at random. */
export class LeastLoadedPlacement implements spots.SpotPlacement {
  constructor(private readonly random: core.Random) {}

  choose(
    {zone}: spots.PlacementAsk,
    all: readonly spots.Spot[],
  ): spots.SpotChoice | undefined {
    let best: spots.Spot[] = [];
    let lowest = Number.POSITIVE_INFINITY;
    for (const spot of all) {
      const cost = costOf(spot, zone);
      if (cost > lowest) continue;
      if (cost < lowest) best = [];
      lowest = cost;
      best.push(spot);
    }
    const spot = best[this.random.below(best.length)];
    return spot && {spot, reason: 'least'};
  }
}

/** The less loaded of two: one of the own zone, if there is any, and any other. */
export class TwoChoicesPlacement implements spots.SpotPlacement {
  constructor(private readonly random: core.Random) {}

  choose(
    {zone}: spots.PlacementAsk,
    all: readonly spots.Spot[],
  ): spots.SpotChoice | undefined {
    const near = all.filter(spot => spot.zone === zone);
    const first = this.pick(near) ?? this.pick(all);
    if (!first) return undefined;
    const second = this.pick(all.filter(spot => spot !== first)) ?? first;
    const isSecond = costOf(second, zone) < costOf(first, zone);
    return {spot: isSecond ? second : first, reason: 'two'};
  }

  private pick(from: readonly spots.Spot[]): spots.Spot | undefined {
    return from[this.random.below(from.length)];
  }
}
