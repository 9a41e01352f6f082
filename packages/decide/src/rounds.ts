/**
 * Rounds of digests: the receivers of each round, and the time until the next
 * one. In a small fleet every round goes to all routers. In a large one it goes
 * to one router chosen at random, which replies, so that the traffic of a router
 * does not grow with the fleet and news spreads from one to the next.
 */
import type * as core from '@oleanderrock/core';

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
  /** Whether every round goes to all peers. */
  readonly isComplete: boolean;
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
  /** Names of the peers that are told urgent news outside of the rounds. */
  urgentReceivers(peers: readonly DigestPeer[]): readonly string[];
}

/** Maximum interval at which every round goes to all peers, in ms. */
const MAX_FULL_INTERVAL_MS = 1_000;

/** Interval between the rounds of a large fleet, in ms. */
const SAMPLE_INTERVAL_MS = 330;

/**
 * Probability that a receiver in a large fleet is chosen from the sender's own
 * failure domain; bytes between failure domains cost more.
 */
const NEAR_PROBABILITY = 0.7;

/**
 * Numbers of routers that are told urgent news by each router to which it is
 * new, in its own failure domain and in others. With five receivers all but a
 * hundredth of a fleet is reached; later rounds reach the rest.
 */
const URGENT_NEAR = 3;
const URGENT_FAR = 2;

/** Options of `SampledRounds`. */
export interface SampledRoundsOptions {
  /** Maximum number of digests per second in a small fleet. */
  readonly maxPerSecond: number;
  readonly random: core.Random;
}

/** Sends every round to all peers if they are few; else to a random one. */
export class SampledRounds implements DigestRounds {
  constructor(private readonly options: SampledRoundsOptions) {}

  nextRound(peers: readonly DigestPeer[], minIntervalMs: number): DigestRound {
    const fullIntervalMs = (peers.length * 1_000) / this.options.maxPerSecond;
    if (fullIntervalMs <= MAX_FULL_INTERVAL_MS) {
      return fullRound(peers, Math.max(minIntervalMs, fullIntervalMs));
    }
    const isNear = this.options.random.nextFloat() < NEAR_PROBABILITY;
    const sampleIntervalMs = SAMPLE_INTERVAL_MS * peers.length;
    return {
      names: this.sample(peers, isNear, 1),
      intervalMs: SAMPLE_INTERVAL_MS,
      nearIntervalMs: sampleIntervalMs,
      farIntervalMs: sampleIntervalMs,
      isComplete: false,
    };
  }

  urgentReceivers(peers: readonly DigestPeer[]): readonly string[] {
    const fullIntervalMs = (peers.length * 1_000) / this.options.maxPerSecond;
    if (fullIntervalMs <= MAX_FULL_INTERVAL_MS) return namesOf(peers);
    const near = this.sample(peers, true, URGENT_NEAR);
    const far = this.sample(peers, false, URGENT_FAR);
    return [...new Set([...near, ...far])];
  }

  /**
   * Names of random peers, those of the wanted failure domains if there are
   * any.
   */
  private sample(
    peers: readonly DigestPeer[],
    isNear: boolean,
    count: number,
  ): readonly string[] {
    const wanted = peers.filter(peer => peer.isNear === isNear);
    const pool = namesOf(wanted.length > 0 ? wanted : peers);
    const names: string[] = [];
    while (names.length < count && pool.length > 0) {
      const index = this.options.random.nextInt(pool.length);
      names.push(...pool.splice(index, 1));
    }
    return names;
  }
}

/** Share of digests that `NearFirstRounds` sends to other failure domains. */
const FAR_SHARE = 0.4;

/** Options of `NearFirstRounds`. */
export interface NearFirstOptions {
  /** Maximum number of digests per second. */
  readonly maxPerSecond: number;
}

/**
 * Baseline: sends every round to all peers if they are few; else to the near
 * ones and a rotating part of the others, and news to all.
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
    return {...partial, names, intervalMs, nearIntervalMs, farIntervalMs};
  }

  urgentReceivers(peers: readonly DigestPeer[]): readonly string[] {
    return namesOf(peers);
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
    return {
      names: namesOf(receivers),
      intervalMs,
      nearIntervalMs: intervalMs,
      farIntervalMs,
      isComplete: false,
    };
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

  urgentReceivers(peers: readonly DigestPeer[]): readonly string[] {
    return namesOf(peers);
  }
}

function fullRound(
  peers: readonly DigestPeer[],
  intervalMs: number,
): DigestRound {
  return {
    names: namesOf(peers),
    intervalMs,
    nearIntervalMs: intervalMs,
    farIntervalMs: intervalMs,
    isComplete: true,
  };
}

function namesOf(peers: readonly DigestPeer[]): string[] {
  return peers.map(({name}) => name);
}
