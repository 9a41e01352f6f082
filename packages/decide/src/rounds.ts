/**
 * Rounds of digests: who is told in each, and how soon the next one begins. In
 * a large fleet a router tells its own failure domain in every round, and the
 * others in turn, so that what it sends does not grow with the fleet.
 */

/** A router that may be told. */
export interface Peer {
  readonly name: string;
  /** Whether it stands in the own failure domain. */
  readonly isNear: boolean;
}

/** One round. */
export interface Round {
  readonly names: readonly string[];
  /** Time until the next round. */
  readonly paceMs: number;
  /** Usual time between two rounds, in which the near ones are told. */
  readonly nearPaceMs: number;
  /** Time in which every router of other failure domains is told. */
  readonly farPaceMs: number;
}

/** Strategy of rounds. */
export interface DigestRounds {
  /** With news, all are told, and the next round begins the later. */
  next(peers: readonly Peer[], leastPaceMs: number, hasNews?: boolean): Round;
}

/** Slowest pace at which all are told in each round, in ms. */
const MAX_EVEN_PACE_MS = 1_000;

/** Part of the digests that goes to other failure domains in a large fleet. */
const FAR_SHARE = 0.4;

/** Options of the rounds. */
export interface NearFirstOptions {
  /** Digests a second at most. */
  readonly maxPerSecond: number;
}

/** All in each round where they are few; else the near ones, and some others. */
export class NearFirstRounds implements DigestRounds {
  private cursor = 0;

  constructor(private readonly options: NearFirstOptions) {}

  next(peers: readonly Peer[], leastPaceMs: number, hasNews = false): Round {
    const evenMs = this.paceOf(peers.length, 1);
    const near = peers.filter(({isNear}) => isNear);
    const isSmall = evenMs <= MAX_EVEN_PACE_MS || near.length === peers.length;
    const all = evenRound(peers, Math.max(leastPaceMs, evenMs));
    if (isSmall) return all;
    const {nearPaceMs, farPaceMs, ...usual} = this.share(
      peers,
      near,
      leastPaceMs,
    );
    const {names, paceMs} = hasNews ? all : usual;
    return {names, paceMs, nearPaceMs, farPaceMs};
  }

  private share(
    peers: readonly Peer[],
    near: readonly Peer[],
    leastPaceMs: number,
  ): Round {
    const far = peers.filter(({isNear}) => !isNear);
    const paceMs = Math.max(
      leastPaceMs,
      this.paceOf(near.length, 1 - FAR_SHARE),
    );
    const sent = Math.floor((this.options.maxPerSecond * paceMs) / 1_000);
    const count = Math.min(far.length, Math.max(1, sent - near.length));
    const told = [...near];
    for (let at = 0; at < count; at++) {
      told.push(far[(this.cursor + at) % far.length]!);
    }
    this.cursor = (this.cursor + count) % far.length;
    const farPaceMs = paceMs * Math.ceil(far.length / count);
    const names = told.map(({name}) => name);
    return {names, paceMs, nearPaceMs: paceMs, farPaceMs};
  }

  /** Pace at which a share of the digests is enough for so many routers. */
  private paceOf(count: number, share: number): number {
    return (count * 1_000) / (this.options.maxPerSecond * share);
  }
}

/** Tells all in each round, whatever their number: the naive version. */
export class FullRounds implements DigestRounds {
  next(peers: readonly Peer[], leastPaceMs: number): Round {
    return evenRound(peers, leastPaceMs);
  }
}

function evenRound(peers: readonly Peer[], paceMs: number): Round {
  const names = peers.map(({name}) => name);
  return {names, paceMs, nearPaceMs: paceMs, farPaceMs: paceMs};
}
