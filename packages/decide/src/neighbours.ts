/**
 * Neighbours: to which routers a router sends its digests. In a small fleet
 * that is all of them; in a large one a fixed number, so that the control
 * traffic of a node does not grow with the fleet.
 */
import * as core from '@oleanderrock/core';

/** Whom a router tells, and from whom it expects to hear. */
export interface Neighbourhood {
  /** Routers to send digests to. */
  readonly receivers: readonly string[];
  /** Those of them that choose this router too, so that silence tells. */
  readonly watched: readonly string[];
}

/** Strategy that chooses the receivers of digests. */
export interface Neighbours {
  /**
   * @param routers all other routers
   * @param poolMates those that own endpoints of the same pools
   */
  select(
    self: string,
    routers: readonly string[],
    poolMates: readonly string[],
  ): Neighbourhood;
}

/** Every router sends to every other. */
export class AllNeighbours implements Neighbours {
  select(self: string, routers: readonly string[]): Neighbourhood {
    const others = routers.filter(router => router !== self);
    return {receivers: others, watched: others};
  }
}

/** Options of the bounded choice. */
export interface BoundedNeighboursOptions {
  /** Most receivers, at least 2. */
  readonly limit: number;
}

/**
 * At most `limit` receivers: the next ones on a ring of hashed names, so that
 * every router is watched by others, then pool mates, the nearest first. A mate
 * may have others that are nearer to it, so only the ring is watched.
 */
export class BoundedNeighbours implements Neighbours {
  constructor(private readonly options: BoundedNeighboursOptions) {}

  select(
    self: string,
    routers: readonly string[],
    poolMates: readonly string[],
  ): Neighbourhood {
    const {limit} = this.options;
    if (routers.length <= limit) {
      return {receivers: routers, watched: routers};
    }
    const ring = this.around(self, routers);
    const side = Math.max(1, Math.floor(limit / 4));
    const watched = [...ring.slice(0, side), ...ring.slice(-side)];
    const chosen = new Set(watched);
    const wanted = new Set(poolMates);
    for (const router of ring) {
      if (chosen.size >= limit) break;
      if (wanted.has(router)) chosen.add(router);
    }
    return {receivers: [...chosen], watched};
  }

  /** The other routers in the order of the ring, from `self` onwards. */
  private around(self: string, routers: readonly string[]): string[] {
    const place = (name: string) => core.hash32(name);
    const own = place(self);
    const distance = (name: string) => (place(name) - own) >>> 0;
    return [...routers].sort(
      (a, b) => distance(a) - distance(b) || (a < b ? -1 : 1),
    );
  }
}
