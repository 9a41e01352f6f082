/**
 * Quarantine of crash keys: requests with a condemned key are refused for some
 * time. Then one router lets single requests through, to see whether the key
 * still crashes endpoints.
 */
import * as boundedMap from './boundedmap.js';

/** Options of `Quarantine`. */
export interface QuarantineOptions {
  /** Whether this router is the one that lets a request with the key through. */
  readonly isProber: (key: string) => boolean;
  readonly maxKeys: number;
  /** Time for which a key is refused at first, in ms. */
  readonly firstMs?: number;
  /** Longest time for which a key is refused without a probe, in ms. */
  readonly maxMs?: number;
}

/** Default times of a quarantine, in ms. */
const FIRST_MS = 20_000;
const MAX_MS = 600_000;

/**
 * Time after which a quarantine ends without a probe, in ms, since no request
 * with the key came to the router that would let it through.
 */
const LAPSE_MS = 60_000;

/** Time that a probe has to begin its answer, in ms. */
const PROBE_MS = 5_000;

interface Probe {
  readonly requestId: string;
  readonly untilMs: number;
}

interface Condemned {
  readonly durationMs: number;
  readonly untilMs: number;
  /** Time of the last crash under the key, in ms. */
  readonly lastCrashMs: number;
  readonly probe?: Probe;
}

/** The condemned keys. */
export class Quarantine {
  private readonly byKey: boundedMap.BoundedMap<Condemned>;
  private readonly firstMs: number;
  private readonly maxMs: number;

  constructor(private readonly options: QuarantineOptions) {
    this.byKey = new boundedMap.BoundedMap(options.maxKeys);
    this.firstMs = options.firstMs ?? FIRST_MS;
    this.maxMs = options.maxMs ?? MAX_MS;
  }

  /** Number of condemned keys. */
  get size(): number {
    return this.byKey.size;
  }

  /** The condemned keys, the latest last. */
  keys(): readonly string[] {
    return [...this.byKey].map(([key]) => key);
  }

  /** Whether the key is condemned, also while probes are let through. */
  has(key: string, nowMs: number): boolean {
    const condemned = this.byKey.get(key);
    if (!condemned) return false;
    if (nowMs < condemned.untilMs + LAPSE_MS) return true;
    this.byKey.delete(key);
    return false;
  }

  /** The time counts from the last crash, which is the same at all routers. */
  condemn(key: string, lastCrashMs: number): void {
    const durationMs = this.firstMs;
    const untilMs = lastCrashMs + durationMs;
    this.byKey.set(key, {durationMs, untilMs, lastCrashMs});
  }

  /**
   * Records a crash under a condemned key. One after the time of refusal is
   * that of a probe and condemns the key anew, for twice as long; returns
   * whether it does.
   */
  recordCrash(key: string, atMs: number): boolean {
    const condemned = this.byKey.get(key);
    if (!condemned) return false;
    const lastCrashMs = Math.max(atMs, condemned.lastCrashMs);
    if (atMs < condemned.untilMs) {
      this.byKey.set(key, {...condemned, lastCrashMs});
      return false;
    }
    const durationMs = Math.min(this.maxMs, 2 * condemned.durationMs);
    const untilMs = atMs + durationMs;
    this.byKey.set(key, {durationMs, untilMs, lastCrashMs});
    return true;
  }

  /** Ends the quarantine if the key was proved sound after the last crash. */
  recordProof(key: string, atMs: number): boolean {
    const condemned = this.byKey.get(key);
    if (!condemned || atMs <= condemned.lastCrashMs) return false;
    return this.byKey.delete(key);
  }

  /** Whether a request with the condemned key is let through as a probe. */
  admits(key: string, requestId: string, nowMs: number): boolean {
    const condemned = this.byKey.get(key);
    if (!condemned || nowMs < condemned.untilMs) return false;
    const {probe} = condemned;
    if (probe && nowMs < probe.untilMs) return probe.requestId === requestId;
    if (!this.options.isProber(key)) return false;
    const untilMs = nowMs + PROBE_MS;
    this.byKey.set(key, {...condemned, probe: {requestId, untilMs}});
    return true;
  }
}
