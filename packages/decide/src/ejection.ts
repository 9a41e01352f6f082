/**
 * Ejection: which endpoints get no new work because they fail, and which have
 * come back too recently to be trusted with a chat's home.
 */

/** Health of the endpoints as one router observes it. */
export interface Ejection {
  /** An endpoint was seen on the list (`isLive`) or was missed. */
  observe(endpoint: string, isLive: boolean, nowMs: number): void;
  /**
   * A request is on its way to the endpoint. Where its ejection has lapsed,
   * this is the trial: others wait for it as long as the ejection lasted.
   */
  began(endpoint: string, nowMs: number): void;
  succeeded(endpoint: string, nowMs: number): void;
  /** A connection failed or an answer broke. */
  failed(endpoint: string, nowMs: number): void;
  /**
   * The endpoints of one pool that may get work: all but the ejected ones.
   * Where most of the pool would be ejected, the router suspects its own view
   * and ejects none.
   */
  usable(pool: readonly string[], nowMs: number): readonly string[];
  /** Whether the endpoint has been live long enough to be a chat's home. */
  isSettled(endpoint: string, nowMs: number): boolean;
  /** Whether the endpoint is ejected now, before the guard. */
  isEjected(endpoint: string, nowMs: number): boolean;
}

const FAILURES_TO_EJECT = 3;
const EJECT_MS = 1_000;
const MAX_EJECT_MS = 30_000;
const MAX_EJECTED_SHARE = 0.5;
const SETTLE_MS = 5_000;
const MAX_SETTLE_MS = 60_000;
const FLAP_WINDOW_MS = 600_000;
const FIRST_LOOK_MS = 1_000;

/** When endpoints are ejected and when they count as settled. */
export interface ObservedEjectionOptions {
  /** Consecutive failures that eject an endpoint. */
  readonly failuresToEject?: number;
  /** First ejection; each further one without a success lasts twice as long. */
  readonly ejectMs?: number;
  readonly maxEjectMs?: number;
  /** Above this share of a pool's live endpoints, none is ejected. */
  readonly maxEjectedShare?: number;
  /** How long an endpoint stays live before it settles; doubles by flap. */
  readonly settleMs?: number;
  readonly maxSettleMs?: number;
  /** How long a flap is remembered. */
  readonly flapWindowMs?: number;
  /** Endpoints first seen this soon after the first of all are settled. */
  readonly firstLookMs?: number;
}

interface Health {
  /** Undefined where the endpoint was never looked for. */
  isLive?: boolean;
  settledAtMs: number;
  /** When the endpoint came back, within the window. */
  flapsMs: number[];
  failures: number;
  /** Ejections since the last success. */
  ejections: number;
  ejectedUntilMs: number;
  /** Whether `ejectedUntilMs` keeps others off while one is tried. */
  isOnTrial: boolean;
}

/** Ejects by consecutive failures, and settles by how long one stayed live. */
export class ObservedEjection implements Ejection {
  private readonly options: Required<ObservedEjectionOptions>;
  private readonly healths = new Map<string, Health>();
  private firstSeenMs: number | undefined;

  constructor(options: ObservedEjectionOptions = {}) {
    this.options = {
      failuresToEject: FAILURES_TO_EJECT,
      ejectMs: EJECT_MS,
      maxEjectMs: MAX_EJECT_MS,
      maxEjectedShare: MAX_EJECTED_SHARE,
      settleMs: SETTLE_MS,
      maxSettleMs: MAX_SETTLE_MS,
      flapWindowMs: FLAP_WINDOW_MS,
      firstLookMs: FIRST_LOOK_MS,
      ...options,
    };
  }

  observe(endpoint: string, isLive: boolean, nowMs: number): void {
    this.firstSeenMs ??= nowMs;
    const health = this.health(endpoint);
    const wasLive = health.isLive;
    health.isLive = isLive;
    if (!isLive || wasLive) return;
    if (wasLive === undefined) this.appeared(health, nowMs);
    else this.cameBack(health, nowMs);
  }

  began(endpoint: string, nowMs: number): void {
    const health = this.health(endpoint);
    if (health.ejections === 0 || nowMs < health.ejectedUntilMs) return;
    health.isOnTrial = true;
    health.ejectedUntilMs = nowMs + this.ejectionMs(health);
  }

  succeeded(endpoint: string): void {
    const health = this.health(endpoint);
    health.failures = 0;
    health.ejections = 0;
    health.ejectedUntilMs = 0;
    health.isOnTrial = false;
  }

  failed(endpoint: string, nowMs: number): void {
    const health = this.health(endpoint);
    health.failures += 1;
    if (health.failures < this.options.failuresToEject) return;
    // Requests that began before the ejection may still fail in it.
    if (nowMs < health.ejectedUntilMs && !health.isOnTrial) return;
    health.isOnTrial = false;
    health.ejections += 1;
    health.ejectedUntilMs = nowMs + this.ejectionMs(health);
  }

  usable(pool: readonly string[], nowMs: number): readonly string[] {
    const live = pool.filter(name => this.healths.get(name)?.isLive !== false);
    const kept = live.filter(name => !this.isEjected(name, nowMs));
    const ejected = live.length - kept.length;
    return ejected > live.length * this.options.maxEjectedShare ? live : kept;
  }

  isSettled(endpoint: string, nowMs: number): boolean {
    const health = this.healths.get(endpoint);
    if (health?.isLive === undefined) return true;
    return health.isLive && nowMs >= health.settledAtMs;
  }

  isEjected(endpoint: string, nowMs: number): boolean {
    const health = this.healths.get(endpoint);
    return health !== undefined && nowMs < health.ejectedUntilMs;
  }

  private health(endpoint: string): Health {
    const found = this.healths.get(endpoint);
    if (found) return found;
    const fresh: Health = {
      settledAtMs: 0,
      flapsMs: [],
      failures: 0,
      ejections: 0,
      ejectedUntilMs: 0,
      isOnTrial: false,
    };
    this.healths.set(endpoint, fresh);
    return fresh;
  }

  private appeared(health: Health, nowMs: number): void {
    const firstLookEndsMs = this.firstSeenMs! + this.options.firstLookMs;
    const isFirstLook = nowMs <= firstLookEndsMs;
    health.settledAtMs = isFirstLook ? nowMs : nowMs + this.options.settleMs;
  }

  private cameBack(health: Health, nowMs: number): void {
    const sinceMs = nowMs - this.options.flapWindowMs;
    health.flapsMs = health.flapsMs.filter(flapMs => flapMs > sinceMs);
    health.flapsMs.push(nowMs);
    const {settleMs, maxSettleMs} = this.options;
    const delayMs = doubled(settleMs, health.flapsMs.length, maxSettleMs);
    health.settledAtMs = nowMs + delayMs;
  }

  private ejectionMs(health: Health): number {
    const {ejectMs, maxEjectMs} = this.options;
    return doubled(ejectMs, health.ejections, maxEjectMs);
  }
}

/** `firstMs` at the first of `times`, twice as long at each further one. */
function doubled(firstMs: number, times: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** (times - 1));
}

/** Never ejects and takes every endpoint on the list as it is. */
export class NaiveEjection implements Ejection {
  private readonly live = new Set<string>();

  observe(endpoint: string, isLive: boolean): void {
    if (isLive) this.live.add(endpoint);
    else this.live.delete(endpoint);
  }

  began(): void {}

  succeeded(): void {}

  failed(): void {}

  usable(pool: readonly string[]): readonly string[] {
    return pool.filter(endpoint => this.live.has(endpoint));
  }

  isSettled(): boolean {
    return true;
  }

  isEjected(): boolean {
    return false;
  }
}
