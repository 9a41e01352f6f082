/**
 * Neighbours: the routers to which a router sends its digests. In a small fleet
 * these are all others; in a large one their number is limited, so that the
 * control traffic of a router does not grow with the fleet.
 */
import * as core from '@oleanderrock/core';

/** The routers to which one router sends digests, and those it watches. */
export interface NeighbourSelection {
  /** Routers to send digests to. */
  readonly receivers: readonly string[];
  /** Receivers that also send to this router, so that silence means a fault. */
  readonly watched: readonly string[];
}

/** Strategy that chooses the receivers of digests. */
export interface Neighbours {
  /**
   * @param routers all other routers
   * @param poolPeers routers that own endpoints of the same pools
   */
  select(
    self: string,
    routers: readonly string[],
    poolPeers: readonly string[],
  ): NeighbourSelection;
}

/** Baseline: every router sends to every other. */
export class AllNeighbours implements Neighbours {
  select(self: string, routers: readonly string[]): NeighbourSelection {
    const others = routers.filter(router => router !== self);
    return {receivers: others, watched: others};
  }
}

/** Options of `BoundedNeighbours`. */
export interface BoundedNeighboursOptions {
  /** Maximum number of receivers; at least 2. */
  readonly limit: number;
}

/**
 * Chooses at most `limit` receivers: first the adjacent routers on a hash ring
 * of names, so that every router is watched by others, then pool peers, the
 * nearest on the ring first. Only the adjacent routers are watched, since a
 * pool peer may have chosen peers that are nearer to it instead.
 */
export class BoundedNeighbours implements Neighbours {
  constructor(private readonly options: BoundedNeighboursOptions) {}

  select(
    self: string,
    routers: readonly string[],
    poolPeers: readonly string[],
  ): NeighbourSelection {
    const {limit} = this.options;
    if (routers.length <= limit) {
      return {receivers: routers, watched: routers};
    }
    const ring = this.ringFrom(self, routers);
    const perSide = Math.max(1, Math.floor(limit / 4));
    const watched = [...ring.slice(0, perSide), ...ring.slice(-perSide)];
    const chosen = new Set(watched);
    const peers = new Set(poolPeers);
    for (const router of ring) {
      if (chosen.size >= limit) break;
      if (peers.has(router)) chosen.add(router);
    }
    return {receivers: [...chosen], watched};
  }

  /** The other routers in ring order, starting after `self`. */
  private ringFrom(self: string, routers: readonly string[]): string[] {
    const position = (name: string) => core.hash32(name);
    const start = position(self);
    const distance = (name: string) => (position(name) - start) >>> 0;
    return [...routers].sort(
      (a, b) => distance(a) - distance(b) || (a < b ? -1 : 1),
    );
  }
}
