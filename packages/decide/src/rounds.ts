/**
 * Rounds of digests: the receivers of each round, and the time until the next
 * one. In a large fleet a router sends to its own failure domain in every round
 * and to the others in rotation, so that its traffic does not grow with the
 * fleet.
 */

/** A possible receiver of digests. */
export interface DigestPeer {
  readonly name: string;
  /** Whether it is in the sender's failure domain. */
  readonly isNear: boolean;
}

/** One round. */
export interface DigestRound {
  /** Names of the receivers. */
  readonly names: readonly string[];
  /** Time until the next round. */
  readonly intervalMs: number;
  /** Usual time between two digests to a peer in the same failure domain. */
  readonly nearIntervalMs: number;
  /** Usual time between two digests to a peer in another failure domain. */
  readonly farIntervalMs: number;
}

/** Strategy that schedules rounds of digests. */
export interface DigestRounds {
  /**
   * The next round. With `hasChanges` it goes to all peers, and the round after
   * it begins later, to keep to the rate limit.
   * @param minIntervalMs minimum time between two rounds
   */
  nextRound(
    peers: readonly DigestPeer[],
    minIntervalMs: number,
    hasChanges?: boolean,
  ): DigestRound;
}

/** Maximum interval at which every round goes to all peers, in ms. */
const MAX_FULL_INTERVAL_MS = 1_000;

/** Share of digests that goes to other failure domains in a large fleet. */
const FAR_SHARE = 0.4;

/** Options of `NearFirstRounds`. */
export interface NearFirstOptions {
  /** Maximum number of digests per second. */
  readonly maxPerSecond: number;
}

/**
 * Sends every round to all peers if they are few; else to the near ones and a
 * rotating part of the others.
 */
export class NearFirstRounds implements DigestRounds {
  /** Index of the far peer that is next in the rotation. */
  private farCursor = 0;

  constructor(private readonly options: NearFirstOptions) {}

  nextRound(
    peers: readonly DigestPeer[],
    minIntervalMs: number,
    hasChanges = false,
  ): DigestRound {
    const fullIntervalMs = this.intervalFor(peers.length, 1);
    const near = peers.filter(({isNear}) => isNear);
    const isSmall =
      fullIntervalMs <= MAX_FULL_INTERVAL_MS || near.length === peers.length;
    const full = fullRound(peers, Math.max(minIntervalMs, fullIntervalMs));
    if (isSmall) return full;
    const {nearIntervalMs, farIntervalMs, ...partial} = this.partialRound(
      peers,
      near,
      minIntervalMs,
    );
    const {names, intervalMs} = hasChanges ? full : partial;
    return {names, intervalMs, nearIntervalMs, farIntervalMs};
  }

  private partialRound(
    peers: readonly DigestPeer[],
    near: readonly DigestPeer[],
    minIntervalMs: number,
  ): DigestRound {
    const far = peers.filter(({isNear}) => !isNear);
    const intervalMs = Math.max(
      minIntervalMs,
      this.intervalFor(near.length, 1 - FAR_SHARE),
    );
    const maxReceivers = Math.floor(
      (this.options.maxPerSecond * intervalMs) / 1_000,
    );
    const farCount = Math.min(
      far.length,
      Math.max(1, maxReceivers - near.length),
    );
    const receivers = [...near];
    for (let index = 0; index < farCount; index++) {
      receivers.push(far[(this.farCursor + index) % far.length]!);
    }
    this.farCursor = (this.farCursor + farCount) % far.length;
    const farIntervalMs = intervalMs * Math.ceil(far.length / farCount);
    const names = receivers.map(({name}) => name);
    return {names, intervalMs, nearIntervalMs: intervalMs, farIntervalMs};
  }

  /** Interval in ms at which `count` digests use `share` of `maxPerSecond`. */
  private intervalFor(count: number, share: number): number {
    return (count * 1_000) / (this.options.maxPerSecond * share);
  }
}

/** Baseline: sends every round to all peers, whatever their number. */
export class FullRounds implements DigestRounds {
  nextRound(peers: readonly DigestPeer[], minIntervalMs: number): DigestRound {
    return fullRound(peers, minIntervalMs);
  }
}

function fullRound(
  peers: readonly DigestPeer[],
  intervalMs: number,
): DigestRound {
  const names = peers.map(({name}) => name);
  return {
    names,
    intervalMs,
    nearIntervalMs: intervalMs,
    farIntervalMs: intervalMs,
  };
}
