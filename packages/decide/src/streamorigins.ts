/**
 * The versions of software at which streams began, by the id of the attempt that
 * brought their first event. A record is kept for as long as the stream can be
 * taken up again.
 */

/** Where a stream began. */
export interface StreamOrigin {
  /** Id of the caller's attempt that brought the first event. */
  readonly id: string;
  readonly pool: string;
  readonly version: string;
}

/** What is known of the origins of streams. */
export interface StreamOrigins {
  /** Records where a stream began here. */
  record(origin: StreamOrigin, untilMs: number, nowMs: number): void;
  /** Records an origin of which another router told. */
  recordTold(origin: StreamOrigin, untilMs: number, nowMs: number): void;
  versionOf(id: string, nowMs: number): string | undefined;
  /**
   * The origins here in these pools that were not taken yet, which count as taken
   * from now on.
   */
  takeUntold(isWanted: (pool: string) => boolean): readonly StreamOrigin[];
}

interface KnownOrigin extends StreamOrigin {
  readonly untilMs: number;
}

/** Most origins that are remembered; more than a busy router begins in a minute. */
const MAX_ORIGINS = 16_384;

/** Remembers origins in the order in which they were recorded. */
export class RecentStreamOrigins implements StreamOrigins {
  private readonly origins = new Map<string, KnownOrigin>();
  private readonly untold = new Map<string, StreamOrigin>();

  record(origin: StreamOrigin, untilMs: number, nowMs: number): void {
    if (this.versionOf(origin.id, nowMs) !== undefined) return;
    this.recordTold(origin, untilMs, nowMs);
    this.untold.set(origin.id, origin);
  }

  recordTold(origin: StreamOrigin, untilMs: number, nowMs: number): void {
    this.forgetEnded(nowMs);
    this.origins.set(origin.id, {...origin, untilMs});
  }

  versionOf(id: string, nowMs: number): string | undefined {
    const known = this.origins.get(id);
    return known && known.untilMs > nowMs ? known.version : undefined;
  }

  takeUntold(isWanted: (pool: string) => boolean): readonly StreamOrigin[] {
    const taken = [...this.untold.values()].filter(({pool}) => isWanted(pool));
    for (const {id} of taken) this.untold.delete(id);
    return taken;
  }

  /** Lifetimes differ little, so the first to be recorded is the first to end. */
  private forgetEnded(nowMs: number): void {
    for (const [id, {untilMs}] of this.origins) {
      if (untilMs > nowMs && this.origins.size < MAX_ORIGINS) return;
      this.origins.delete(id);
      this.untold.delete(id);
    }
  }
}
