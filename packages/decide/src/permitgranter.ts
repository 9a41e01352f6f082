/**
 * Grants permits to send to an endpoint with a limit. All routers ask the same
 * router, the endpoint's home, so that one count holds for the whole fleet.
 */

/** A request for a permit to send one request. */
export interface PermitRequest {
  /** Identifies the lifetime of the endpoint. */
  readonly endpoint: string;
  /** Requests a second that the endpoint takes from all routers. */
  readonly perSecond: number;
  /** How long the request can wait for its turn, in ms. */
  readonly maxWaitMs: number;
}

/** A permit, or the time until there may be one. */
export type PermitDecision =
  /** The request may be sent after the delay, in ms. */
  | {readonly type: 'granted'; readonly delayMs: number}
  | {readonly type: 'denied'; readonly retryInMs: number};

/** Strategy that grants permits. */
export interface PermitGranter {
  decide(request: PermitRequest, nowMs: number): PermitDecision;
}

/**
 * Time in which permits that nobody asked for are saved up, in ms: without it,
 * the time from each permit to the next question would be lost.
 */
const SAVED_MS = 500;

/**
 * Longest interval between permits, in ms: an endpoint that takes nothing still
 * gets a request now and then, whose response says whether that has ended.
 */
const PROBE_INTERVAL_MS = 2_000;

/** Maximum number of endpoints for which permits are counted. */
const MAX_ENDPOINTS = 4_096;

/**
 * Spaces permits evenly (the generic cell rate algorithm). A granter that starts
 * has none saved up, since another one may have granted until now.
 */
export class PacedPermitGranter implements PermitGranter {
  /** Time of the next permit by endpoint, in ms; the latest grant comes last. */
  private readonly nextMs = new Map<string, number>();

  decide(
    {endpoint, perSecond, maxWaitMs}: PermitRequest,
    nowMs: number,
  ): PermitDecision {
    const intervalMs = Math.min(PROBE_INTERVAL_MS, 1_000 / perSecond);
    const nextMs = Math.max(
      this.nextMs.get(endpoint) ?? nowMs + intervalMs,
      nowMs - SAVED_MS,
    );
    const waitMs = nextMs - nowMs;
    if (waitMs > maxWaitMs) {
      this.keep(endpoint, nextMs);
      return {type: 'denied', retryInMs: waitMs};
    }
    this.keep(endpoint, nextMs + intervalMs);
    return {type: 'granted', delayMs: Math.max(0, waitMs)};
  }

  private keep(endpoint: string, nextMs: number): void {
    this.nextMs.delete(endpoint);
    this.nextMs.set(endpoint, nextMs);
    if (this.nextMs.size <= MAX_ENDPOINTS) return;
    const [oldest] = this.nextMs.keys();
    this.nextMs.delete(oldest!);
  }
}

/** Baseline: grants each permit, as if there were no limit. */
export class UnlimitedPermitGranter implements PermitGranter {
  decide(): PermitDecision {
    return {type: 'granted', delayMs: 0};
  }
}
