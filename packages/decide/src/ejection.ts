/**
 * Ejection (circuit breaking): which endpoints get no new requests because they
 * fail, and which have returned too recently to become the home of a chat.
 */

/** Health of the endpoints as one router observes it. */
export interface Ejection {
  /** Records whether the endpoint is live on the newest list of instances. */
  observe(endpoint: string, isLive: boolean, nowMs: number): void;
  /**
   * Records that a request was sent to the endpoint. After an ejection has
   * lapsed, the first such request is a probe: the endpoint gets no others
   * until the probe's outcome is recorded, or for as long as the ejection
   * lasted.
   */
  recordStart(endpoint: string, nowMs: number): void;
  recordSuccess(endpoint: string, nowMs: number): void;
  /** Records a failed connection or a broken response. */
  recordFailure(endpoint: string, nowMs: number): void;
  /**
   * The endpoints of one pool that may get requests: all live ones that are not
   * ejected. If most of the pool would be ejected, the fault is more likely the
   * router's own, and no endpoint is excluded.
   */
  filterUsable(pool: readonly string[], nowMs: number): readonly string[];
  /** Whether the endpoint has been live long enough to become a chat's home. */
  isSettled(endpoint: string, nowMs: number): boolean;
  /** Whether the endpoint itself is ejected, whatever the rest of its pool. */
  isEjected(endpoint: string, nowMs: number): boolean;
}

// Defaults of `ObservedEjectionOptions`.
const FAILURES_TO_EJECT = 3;
const EJECT_MS = 1_000;
const MAX_EJECT_MS = 30_000;
const MAX_EJECTED_SHARE = 0.5;
const SETTLE_MS = 5_000;
const MAX_SETTLE_MS = 60_000;
const FLAP_WINDOW_MS = 600_000;
const STARTUP_WINDOW_MS = 1_000;

/** Options of `ObservedEjection`. */
export interface ObservedEjectionOptions {
  /** Consecutive failures that eject an endpoint. */
  readonly failuresToEject?: number;
  /** Length of the first ejection; doubles with each one until a success. */
  readonly ejectMs?: number;
  readonly maxEjectMs?: number;
  /** If more than this share of a pool's live endpoints is ejected, none is. */
  readonly maxEjectedShare?: number;
  /** How long an endpoint must stay live to settle; doubles with each flap. */
  readonly settleMs?: number;
  readonly maxSettleMs?: number;
  /** How long a flap (going away and coming back) counts. */
  readonly flapWindowMs?: number;
  /** Endpoints that appear within this time of the first one settle at once. */
  readonly startupWindowMs?: number;
}

interface Health {
  /** Undefined until the first observation. */
  isLive?: boolean;
  settledAtMs: number;
  /** Times at which the endpoint came back, within the flap window. */
  flapsMs: number[];
  /** Consecutive failures. */
  failures: number;
  /** Ejections since the last success. */
  ejections: number;
  ejectedUntilMs: number;
  /** Whether `ejectedUntilMs` is the end of a probe, not of an ejection. */
  isProbing: boolean;
}

/**
 * Ejects an endpoint after consecutive failures. An endpoint settles once it has
 * been live for a time without a flap.
 */
export class ObservedEjection implements Ejection {
  private readonly options: Required<ObservedEjectionOptions>;
  private readonly healthByEndpoint = new Map<string, Health>();
  /** Time of the first observation of any endpoint. */
  private firstObservationMs: number | undefined;

  constructor(options: ObservedEjectionOptions = {}) {
    this.options = {
      failuresToEject: FAILURES_TO_EJECT,
      ejectMs: EJECT_MS,
      maxEjectMs: MAX_EJECT_MS,
      maxEjectedShare: MAX_EJECTED_SHARE,
      settleMs: SETTLE_MS,
      maxSettleMs: MAX_SETTLE_MS,
      flapWindowMs: FLAP_WINDOW_MS,
      startupWindowMs: STARTUP_WINDOW_MS,
      ...options,
    };
  }

  observe(endpoint: string, isLive: boolean, nowMs: number): void {
    this.firstObservationMs ??= nowMs;
    const health = this.findOrCreateHealth(endpoint);
    const wasLive = health.isLive;
    health.isLive = isLive;
    if (!isLive || wasLive) return;
    if (wasLive === undefined) this.recordFirstSeen(health, nowMs);
    else this.recordReturn(health, nowMs);
  }

  recordStart(endpoint: string, nowMs: number): void {
    const health = this.findOrCreateHealth(endpoint);
    if (health.ejections === 0 || nowMs < health.ejectedUntilMs) return;
    health.isProbing = true;
    health.ejectedUntilMs = nowMs + this.ejectionMs(health);
  }

  recordSuccess(endpoint: string): void {
    const health = this.findOrCreateHealth(endpoint);
    health.failures = 0;
    health.ejections = 0;
    health.ejectedUntilMs = 0;
    health.isProbing = false;
  }

  recordFailure(endpoint: string, nowMs: number): void {
    const health = this.findOrCreateHealth(endpoint);
    health.failures += 1;
    if (health.failures < this.options.failuresToEject) return;
    // Requests sent before the ejection may still fail during it.
    if (nowMs < health.ejectedUntilMs && !health.isProbing) return;
    health.isProbing = false;
    health.ejections += 1;
    health.ejectedUntilMs = nowMs + this.ejectionMs(health);
  }

  filterUsable(pool: readonly string[], nowMs: number): readonly string[] {
    const live = pool.filter(
      name => this.healthByEndpoint.get(name)?.isLive !== false,
    );
    const allowed = live.filter(name => !this.isEjected(name, nowMs));
    const ejected = live.length - allowed.length;
    return ejected > live.length * this.options.maxEjectedShare
      ? live
      : allowed;
  }

  isSettled(endpoint: string, nowMs: number): boolean {
    const health = this.healthByEndpoint.get(endpoint);
    if (health?.isLive === undefined) return true;
    return health.isLive && nowMs >= health.settledAtMs;
  }

  isEjected(endpoint: string, nowMs: number): boolean {
    const health = this.healthByEndpoint.get(endpoint);
    return health !== undefined && nowMs < health.ejectedUntilMs;
  }

  private findOrCreateHealth(endpoint: string): Health {
    const existing = this.healthByEndpoint.get(endpoint);
    if (existing) return existing;
    const created: Health = {
      settledAtMs: 0,
      flapsMs: [],
      failures: 0,
      ejections: 0,
      ejectedUntilMs: 0,
      isProbing: false,
    };
    this.healthByEndpoint.set(endpoint, created);
    return created;
  }

  private recordFirstSeen(health: Health, nowMs: number): void {
    const startupEndsMs =
      this.firstObservationMs! + this.options.startupWindowMs;
    const isStartup = nowMs <= startupEndsMs;
    health.settledAtMs = isStartup ? nowMs : nowMs + this.options.settleMs;
  }

  private recordReturn(health: Health, nowMs: number): void {
    const sinceMs = nowMs - this.options.flapWindowMs;
    health.flapsMs = health.flapsMs.filter(flapMs => flapMs > sinceMs);
    health.flapsMs.push(nowMs);
    const {settleMs, maxSettleMs} = this.options;
    const delayMs = exponentialMs(settleMs, health.flapsMs.length, maxSettleMs);
    health.settledAtMs = nowMs + delayMs;
  }

  private ejectionMs(health: Health): number {
    const {ejectMs, maxEjectMs} = this.options;
    return exponentialMs(ejectMs, health.ejections, maxEjectMs);
  }
}

/** Exponential duration: `firstMs` for a count of 1, doubling up to `maxMs`. */
function exponentialMs(firstMs: number, count: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** (count - 1));
}

/** Baseline: never ejects; every listed endpoint is usable and settled. */
export class NaiveEjection implements Ejection {
  private readonly live = new Set<string>();

  observe(endpoint: string, isLive: boolean): void {
    if (isLive) this.live.add(endpoint);
    else this.live.delete(endpoint);
  }

  recordStart(): void {}

  recordSuccess(): void {}

  recordFailure(): void {}

  filterUsable(pool: readonly string[]): readonly string[] {
    return pool.filter(endpoint => this.live.has(endpoint));
  }

  isSettled(): boolean {
    return true;
  }

  isEjected(): boolean {
    return false;
  }
}
