/**
 * Homes of prompt prefixes: the endpoints that served a prefix of late and so
 * hold its context. All routers tell each other their placements, so that an
 * endpoint that joins takes no prefix from one that holds it.
 */

/** A prefix that was served at an endpoint. */
export interface Placed {
  readonly prefix: string;
  readonly endpoint: string;
}

/** Homes of prefixes. */
export interface PrefixHomes {
  /** The endpoint holds the prefix, as this router knows first-hand. */
  placed(placed: Placed, nowMs: number): void;
  /** Another router has placed the prefix. */
  learn(placed: Placed, nowMs: number): void;
  /** Endpoints that hold the prefix, as far as is known; the last used first. */
  of(prefix: string, nowMs: number): readonly string[];
  /** All that is known, for a router that starts. */
  all(): readonly Placed[];
  /** Own placements that were not told yet, for the other routers. */
  untold(): readonly Placed[];
  /** An endpoint lost what it held. */
  forget(endpoint: string): void;
}

/** How long an endpoint is taken to hold a prefix after its last use, in ms. */
const HELD_MS = 60_000;

/**
 * Pause before a placement that all know is told again, in ms: well within the
 * time for which they remember it.
 */
const RETELL_MS = 25_000;

/** Most prefixes that are remembered; the least recently used is dropped. */
const MAX_PREFIXES = 20_000;

/** Most placements that wait to be told. */
const MAX_UNTOLD = 1_024;

/** Most placements in one digest, so that it fits a datagram. */
const MAX_TOLD = 64;

/** A prefix's use at an endpoint. */
interface Use {
  readonly usedMs: number;
  /** When all routers last heard of it. */
  readonly toldMs: number;
}

/** Homes by the placements of all routers. */
export class ToldPrefixHomes implements PrefixHomes {
  /** Uses by endpoint, by prefix; the least recently used prefix first. */
  private readonly homes = new Map<string, Map<string, Use>>();
  private readonly fresh = new Map<string, Placed>();

  placed(placed: Placed, nowMs: number): void {
    const {prefix, endpoint} = placed;
    const known = this.homes.get(prefix)?.get(endpoint);
    const isTold = known && nowMs - known.toldMs < RETELL_MS;
    const isRoom = this.fresh.size < MAX_UNTOLD;
    this.use(placed, {usedMs: nowMs, toldMs: isTold ? known.toldMs : nowMs});
    if (!isTold && isRoom) this.fresh.set(`${prefix} ${endpoint}`, placed);
  }

  learn(placed: Placed, nowMs: number): void {
    this.use(placed, {usedMs: nowMs, toldMs: nowMs});
  }

  private use({prefix, endpoint}: Placed, use: Use): void {
    const uses = this.homes.get(prefix) ?? new Map<string, Use>();
    uses.set(endpoint, use);
    this.homes.delete(prefix);
    this.homes.set(prefix, uses);
    if (this.homes.size <= MAX_PREFIXES) return;
    const [oldest] = this.homes.keys();
    if (oldest !== undefined) this.homes.delete(oldest);
  }

  of(prefix: string, nowMs: number): readonly string[] {
    const uses = this.homes.get(prefix);
    if (!uses) return [];
    for (const [endpoint, {usedMs}] of uses) {
      if (nowMs - usedMs > HELD_MS) uses.delete(endpoint);
    }
    const byUse = [...uses].sort(([, a], [, b]) => b.usedMs - a.usedMs);
    return byUse.map(([endpoint]) => endpoint);
  }

  all(): readonly Placed[] {
    return [...this.homes].flatMap(([prefix, uses]) =>
      [...uses.keys()].map(endpoint => ({prefix, endpoint})),
    );
  }

  untold(): readonly Placed[] {
    const told = [...this.fresh].slice(0, MAX_TOLD);
    for (const [key] of told) this.fresh.delete(key);
    return told.map(([, placed]) => placed);
  }

  forget(endpoint: string): void {
    for (const uses of this.homes.values()) uses.delete(endpoint);
  }
}

/** Remembers nothing: the naive version. */
export class NoPrefixHomes implements PrefixHomes {
  placed(): void {}

  learn(): void {}

  of(): readonly string[] {
    return [];
  }

  all(): readonly Placed[] {
    return [];
  }

  untold(): readonly Placed[] {
    return [];
  }

  forget(): void {}
}
