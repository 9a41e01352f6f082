/**
 * Which versions of their software the endpoints of each pool have had. What two
 * versions write in a stream does not fit together, so a stream that breaks off
 * may only go on at its own version. If a pool has had one version alone for as
 * long as a stream can last, each of its streams is of that version, and nobody
 * has to know the stream.
 */

/** An endpoint as far as the history is concerned. */
export interface VersionedEndpoint {
  readonly pool: string;
  readonly version: string;
}

/** A version that was listed in a pool. */
export interface VersionSpan {
  readonly version: string;
  /** Monotonic time at which it was last listed, in ms; absent if it still is. */
  readonly endedMs?: number;
}

/** The versions of a pool as of some time. */
export interface PoolHistory {
  readonly spans: readonly VersionSpan[];
  /** Monotonic time from which no version is missing, in ms. */
  readonly knownSinceMs: number;
}

/** History of the versions of pools. */
export interface VersionHistory {
  /** Records the entry of an endpoint; undefined if it is no longer listed. */
  recordEntry(
    id: string,
    endpoint: VersionedEndpoint | undefined,
    nowMs: number,
  ): void;
  /**
   * Adds what the pool had before this router knew of it. What was listed then,
   * and is not now, may have been until now.
   */
  addEarlier(pool: string, earlier: PoolHistory, nowMs: number): void;
  /** Records that no stream is older than this router. */
  recordFirstStart(): void;
  /** The versions of streams that can still be taken up. */
  poolHistory(pool: string, nowMs: number): PoolHistory;
  /** The one version of such streams; undefined if there may be several. */
  onlyVersion(pool: string, nowMs: number): string | undefined;
  /** The pools that have or had endpoints. */
  pools(): readonly string[];
}

interface Span {
  listedCount: number;
  endedMs: number;
}

interface PoolSpans {
  readonly byVersion: Map<string, Span>;
  /** Time from which all versions are known, in ms. */
  knownSinceMs: number;
}

/** Options of the history. */
export interface VersionHistoryOptions {
  /** Time at which this router began to learn of endpoints, in ms. */
  readonly startedMs: number;
  /** How long after its beginning a stream can be taken up, in ms. */
  readonly streamLifetimeMs: () => number;
  /** Called when a version is listed first, or no longer. */
  readonly onChange: () => void;
}

/**
 * How long a version is kept that is no longer listed, in ms. Streams may come to
 * last longer, as when a router that starts has read the tables.
 */
const KEPT_MS = 3_600_000;

/** Counts the endpoints of each version. */
export class CountedVersionHistory implements VersionHistory {
  private readonly endpoints = new Map<string, VersionedEndpoint>();
  private readonly byPool = new Map<string, PoolSpans>();
  private knownSinceMs: number;

  constructor(private readonly options: VersionHistoryOptions) {
    this.knownSinceMs = options.startedMs;
  }

  recordEntry(
    id: string,
    endpoint: VersionedEndpoint | undefined,
    nowMs: number,
  ): void {
    const previous = this.endpoints.get(id);
    const isSame =
      previous?.pool === endpoint?.pool &&
      previous?.version === endpoint?.version;
    if (isSame) return;
    let isChange = false;
    if (previous) {
      const span = this.spanOf(previous);
      span.listedCount -= 1;
      span.endedMs = nowMs;
      isChange ||= span.listedCount === 0;
      this.endpoints.delete(id);
    }
    if (endpoint) {
      const span = this.spanOf(endpoint);
      span.listedCount += 1;
      isChange ||= span.listedCount === 1;
      this.endpoints.set(id, endpoint);
    }
    if (isChange) this.options.onChange();
  }

  addEarlier(pool: string, earlier: PoolHistory, nowMs: number): void {
    for (const {version, endedMs = nowMs} of earlier.spans) {
      const span = this.spanOf({pool, version});
      span.endedMs = Math.max(span.endedMs, Math.min(endedMs, nowMs));
    }
    const spans = this.poolOf(pool);
    spans.knownSinceMs = Math.min(spans.knownSinceMs, earlier.knownSinceMs);
  }

  recordFirstStart(): void {
    this.knownSinceMs = Number.NEGATIVE_INFINITY;
    for (const pool of this.byPool.values()) {
      pool.knownSinceMs = Number.NEGATIVE_INFINITY;
    }
  }

  poolHistory(pool: string, nowMs: number): PoolHistory {
    const {byVersion, knownSinceMs} = this.poolOf(pool);
    const sinceMs = nowMs - this.options.streamLifetimeMs();
    const spans: VersionSpan[] = [];
    for (const [version, {listedCount, endedMs}] of byVersion) {
      if (listedCount > 0) spans.push({version});
      else if (endedMs >= sinceMs) spans.push({version, endedMs});
      else if (endedMs < nowMs - KEPT_MS) byVersion.delete(version);
    }
    return {spans, knownSinceMs};
  }

  onlyVersion(pool: string, nowMs: number): string | undefined {
    const {spans, knownSinceMs} = this.poolHistory(pool, nowMs);
    const sinceMs = nowMs - this.options.streamLifetimeMs();
    if (knownSinceMs > sinceMs || spans.length !== 1) return undefined;
    return spans[0]!.version;
  }

  pools(): readonly string[] {
    return [...this.byPool.keys()];
  }

  private spanOf({pool, version}: VersionedEndpoint): Span {
    const {byVersion} = this.poolOf(pool);
    const known = byVersion.get(version);
    if (known) return known;
    const span = {listedCount: 0, endedMs: Number.NEGATIVE_INFINITY};
    byVersion.set(version, span);
    return span;
  }

  private poolOf(pool: string): PoolSpans {
    const known = this.byPool.get(pool);
    if (known) return known;
    const {knownSinceMs} = this;
    const spans = {byVersion: new Map<string, Span>(), knownSinceMs};
    this.byPool.set(pool, spans);
    return spans;
  }
}
