/**
 * Homes of prompt prefixes: the endpoints that recently served a prefix and so
 * hold its context. Routers exchange their placements, so that a new endpoint
 * does not take over a prefix that another endpoint still holds.
 */

/** A prefix and an endpoint that serves it. */
export interface PrefixLocation {
  readonly prefix: string;
  readonly endpoint: string;
}

/** Tracks the homes of prefixes. */
export interface PrefixHomes {
  /** Records a placement by this router, to be sent to the others. */
  recordPlacement(location: PrefixLocation, nowMs: number): void;
  /**
   * Applies a placement received from another router; returns false if it was
   * known from a recent message.
   */
  applyRemote(location: PrefixLocation, nowMs: number): boolean;
  /** Endpoints that hold the prefix, most recently used first. */
  homesOf(prefix: string, nowMs: number): readonly string[];
  /** All recorded homes, for a router that has just started. */
  all(): readonly PrefixLocation[];
  /** Removes and returns unsent placements, as many as fit in one digest. */
  takeUnsent(): readonly PrefixLocation[];
  /** Removes the endpoint from all prefixes, after it has lost its context. */
  forget(endpoint: string): void;
}

/** How long an endpoint is assumed to hold a prefix after its use, in ms. */
const HOLD_MS = 60_000;

/**
 * Minimum time before the same placement is sent again, in ms: well within the
 * time for which other routers keep it.
 */
const RESEND_MS = 25_000;

/** Maximum number of prefixes; the least recently used one is evicted. */
const MAX_PREFIXES = 20_000;

/** Maximum number of placements queued for sending; others are not sent. */
const MAX_UNSENT = 1_024;

/** Maximum number of placements in one digest, so it fits in a datagram. */
const MAX_PER_DIGEST = 64;

/** Last use of a prefix at an endpoint. */
interface Use {
  readonly usedAtMs: number;
  /** When the placement was last sent to, or received from, other routers. */
  readonly sentAtMs: number;
}

/** Homes by the placements of all routers. */
export class SharedPrefixHomes implements PrefixHomes {
  /** Uses by prefix, then by endpoint; least recently used prefix first. */
  private readonly usesByPrefix = new Map<string, Map<string, Use>>();
  private readonly unsent = new Map<string, PrefixLocation>();

  recordPlacement(location: PrefixLocation, nowMs: number): void {
    const {prefix, endpoint} = location;
    const lastUse = this.usesByPrefix.get(prefix)?.get(endpoint);
    const isSent = lastUse && nowMs - lastUse.sentAtMs < RESEND_MS;
    const hasRoom = this.unsent.size < MAX_UNSENT;
    this.setUse(location, {
      usedAtMs: nowMs,
      sentAtMs: isSent ? lastUse.sentAtMs : nowMs,
    });
    if (!isSent && hasRoom) this.unsent.set(`${prefix} ${endpoint}`, location);
  }

  applyRemote(location: PrefixLocation, nowMs: number): boolean {
    const {prefix, endpoint} = location;
    const lastUse = this.usesByPrefix.get(prefix)?.get(endpoint);
    const isKnown = lastUse && nowMs - lastUse.sentAtMs < RESEND_MS;
    const sentAtMs = isKnown ? lastUse.sentAtMs : nowMs;
    this.setUse(location, {usedAtMs: nowMs, sentAtMs});
    return !isKnown;
  }

  private setUse({prefix, endpoint}: PrefixLocation, use: Use): void {
    const uses = this.usesByPrefix.get(prefix) ?? new Map<string, Use>();
    uses.set(endpoint, use);
    this.usesByPrefix.delete(prefix);
    this.usesByPrefix.set(prefix, uses);
    if (this.usesByPrefix.size <= MAX_PREFIXES) return;
    const [oldest] = this.usesByPrefix.keys();
    if (oldest !== undefined) this.usesByPrefix.delete(oldest);
  }

  homesOf(prefix: string, nowMs: number): readonly string[] {
    const uses = this.usesByPrefix.get(prefix);
    if (!uses) return [];
    for (const [endpoint, {usedAtMs}] of uses) {
      if (nowMs - usedAtMs > HOLD_MS) uses.delete(endpoint);
    }
    const byLastUse = [...uses].sort(([, a], [, b]) => b.usedAtMs - a.usedAtMs);
    return byLastUse.map(([endpoint]) => endpoint);
  }

  all(): readonly PrefixLocation[] {
    return [...this.usesByPrefix].flatMap(([prefix, uses]) =>
      [...uses.keys()].map(endpoint => ({prefix, endpoint})),
    );
  }

  takeUnsent(): readonly PrefixLocation[] {
    const batch = [...this.unsent].slice(0, MAX_PER_DIGEST);
    for (const [key] of batch) this.unsent.delete(key);
    return batch.map(([, location]) => location);
  }

  forget(endpoint: string): void {
    for (const uses of this.usesByPrefix.values()) uses.delete(endpoint);
  }
}

/** Baseline: records nothing. */
export class NoPrefixHomes implements PrefixHomes {
  recordPlacement(): void {}

  applyRemote(): boolean {
    return false;
  }

  homesOf(): readonly string[] {
    return [];
  }

  all(): readonly PrefixLocation[] {
    return [];
  }

  takeUnsent(): readonly PrefixLocation[] {
    return [];
  }

  forget(): void {}
}
