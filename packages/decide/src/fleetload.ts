/**
 * Load of endpoints as the whole fleet sees it: this router's own requests in
 * flight, counted exactly, plus the counts that other routers last told. A
 * router that has fallen silent takes its counts with it.
 */

/** How long another router's counts hold, in ms: some missed digests. */
export const DEFAULT_COUNTS_VALID_MS = 2_500;

/** Requests in flight by endpoint. */
export type Counts = ReadonlyMap<string, number>;

interface Told {
  readonly counts: Counts;
  readonly untilMs: number;
}

/** Load of endpoints over all routers. */
export interface FleetLoad {
  began(endpoint: string): void;
  ended(endpoint: string): void;
  /** Takes in what another router runs. */
  learn(router: string, counts: Counts, nowMs: number): void;
  /** Drops what a router that left was running. */
  forget(router: string): void;
  /** Requests in flight at the endpoint, over all routers. */
  inFlight(endpoint: string, nowMs: number): number;
  /** This router's own counts, without endpoints that run nothing. */
  own(): Counts;
}

/** Sums own counts and told ones. */
export class ToldFleetLoad implements FleetLoad {
  private readonly mine = new Map<string, number>();
  private readonly told = new Map<string, Told>();

  constructor(private readonly validMs = DEFAULT_COUNTS_VALID_MS) {}

  began(endpoint: string): void {
    this.mine.set(endpoint, (this.mine.get(endpoint) ?? 0) + 1);
  }

  ended(endpoint: string): void {
    const left = (this.mine.get(endpoint) ?? 0) - 1;
    if (left > 0) this.mine.set(endpoint, left);
    else this.mine.delete(endpoint);
  }

  learn(router: string, counts: Counts, nowMs: number): void {
    this.told.set(router, {counts, untilMs: nowMs + this.validMs});
  }

  forget(router: string): void {
    this.told.delete(router);
  }

  inFlight(endpoint: string, nowMs: number): number {
    let sum = this.mine.get(endpoint) ?? 0;
    for (const [router, {counts, untilMs}] of this.told) {
      if (untilMs < nowMs) this.told.delete(router);
      else sum += counts.get(endpoint) ?? 0;
    }
    return sum;
  }

  own(): Counts {
    return this.mine;
  }
}

/** Knows its own requests only: the naive version. */
export class OwnLoad extends ToldFleetLoad {
  override learn(): void {}
}
