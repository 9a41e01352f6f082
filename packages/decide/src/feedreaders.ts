/**
 * Readers of the platform's store: calls to it are limited and cost money, so
 * one router of each failure domain reads for the others, which hear of changes
 * from it. All routers compute the readers from the members that they know, and
 * a reader that cannot reach the store or is down is replaced by the next.
 */
import * as core from '@oleanderrock/core';

/** A router that may read the store. */
export interface FeedCandidate {
  readonly name: string;
  readonly zone: string;
  /** Whether its last reads failed. */
  readonly isStoreLost: boolean;
}

/** Strategy that decides which routers read the store. */
export interface FeedReaders {
  /** Whether `self` reads, next to the live `others`. */
  isReader(self: FeedCandidate, others: readonly FeedCandidate[]): boolean;
  /** Number of readers among all live routers. */
  readerCount(routers: readonly FeedCandidate[]): number;
}

/** Options of `RankedFeedReaders`. */
export interface RankedFeedReadersOptions {
  /** Number of readers in each failure domain. */
  readonly perZone: number;
}

/** Key of the rendezvous hashing that ranks the readers. */
const RANKING_KEY = 'feed-reader';

/**
 * The first routers of each failure domain by rendezvous score that can reach
 * the store; of all routers if none of the failure domain can.
 */
export class RankedFeedReaders implements FeedReaders {
  constructor(private readonly options: RankedFeedReadersOptions) {}

  isReader(self: FeedCandidate, others: readonly FeedCandidate[]): boolean {
    const sameZone = others.filter(({zone}) => zone === self.zone);
    const candidates = [self, ...sameZone];
    const able = candidates.filter(({isStoreLost}) => !isStoreLost);
    const ranked = core.rankNodes(
      RANKING_KEY,
      (able.length > 0 ? able : candidates).map(({name}) => name),
    );
    return ranked.slice(0, this.options.perZone).includes(self.name);
  }

  readerCount(routers: readonly FeedCandidate[]): number {
    const sizes = new Map<string, number>();
    for (const {zone} of routers) sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
    const {perZone} = this.options;
    return [...sizes.values()].reduce(
      (sum, size) => sum + Math.min(size, perZone),
      0,
    );
  }
}

/** Baseline: every router reads. */
export class AllFeedReaders implements FeedReaders {
  isReader(): boolean {
    return true;
  }

  readerCount(routers: readonly FeedCandidate[]): number {
    return routers.length;
  }
}
