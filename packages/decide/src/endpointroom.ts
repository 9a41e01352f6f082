/**
 * Which endpoints are full: one that refused a request has no room for a while,
 * until an answer of it shows that it takes requests again. The while grows with
 * each refusal in a row, so that full endpoints are asked seldom, and the first
 * is short, since room comes with the next answer that ends there.
 */

/** Tracks which endpoints have room. */
export interface EndpointRoom {
  /** Records that the endpoint refused a request for want of room. */
  recordRefusal(endpoint: string, nowMs: number): void;
  /** Records that the endpoint took a request. */
  recordAccepted(endpoint: string): void;
  isFull(endpoint: string, nowMs: number): boolean;
  /**
   * The time at which the first of the full endpoints is to be asked again;
   * undefined if none of them is full.
   */
  earliestRoomMs(
    endpoints: readonly string[],
    nowMs: number,
  ): number | undefined;
}

/** Maximum number of full endpoints that are remembered. */
const MAX_ENDPOINTS = 4_096;

/** Shortest and longest time for which an endpoint counts as full, in ms. */
const MIN_FULL_MS = 40;
const MAX_FULL_MS = 320;

interface Refusal {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** Doubles the time for which an endpoint counts as full with each refusal. */
export class BackedOffRoom implements EndpointRoom {
  /** By endpoint, in the order in which they were recorded. */
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly maxEndpoints = MAX_ENDPOINTS) {}

  recordRefusal(endpoint: string, nowMs: number): void {
    const last = this.refusals.get(endpoint);
    // Refusals of requests that were under way together count once.
    if (last && last.untilMs > nowMs) return;
    const durationMs = Math.min(
      MAX_FULL_MS,
      last ? last.durationMs * 2 : MIN_FULL_MS,
    );
    this.refusals.delete(endpoint);
    this.refusals.set(endpoint, {untilMs: nowMs + durationMs, durationMs});
    if (this.refusals.size <= this.maxEndpoints) return;
    const [oldest] = this.refusals.keys();
    this.refusals.delete(oldest!);
  }

  recordAccepted(endpoint: string): void {
    this.refusals.delete(endpoint);
  }

  isFull(endpoint: string, nowMs: number): boolean {
    const refusal = this.refusals.get(endpoint);
    return refusal !== undefined && refusal.untilMs > nowMs;
  }

  earliestRoomMs(
    endpoints: readonly string[],
    nowMs: number,
  ): number | undefined {
    let earliestMs: number | undefined;
    for (const endpoint of endpoints) {
      const untilMs = this.refusals.get(endpoint)?.untilMs ?? 0;
      if (untilMs <= nowMs) continue;
      earliestMs = Math.min(earliestMs ?? untilMs, untilMs);
    }
    return earliestMs;
  }
}

/** Baseline: every endpoint counts as having room. */
export class UnknownEndpointRoom implements EndpointRoom {
  recordRefusal(): void {}

  recordAccepted(): void {}

  isFull(): boolean {
    return false;
  }

  earliestRoomMs(): undefined {}
}
