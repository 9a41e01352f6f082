/**
 * The registry of the fleet's other routers, with the status from the last
 * digest of each.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** The phase of a router's run. */
export type RouterPhase = 'starting' | 'ready' | 'leaving';

/** The status of a router, as sent in its digests. */
export interface RouterStatus {
  readonly phase: RouterPhase;
  readonly version: number;
  /** The next offset of the router in the endpoints' feed. */
  readonly endpointsOffset: number;
  /** Uptime, in s. */
  readonly uptimeS: number;
}

/** A router of the fleet with its last status. */
export interface FleetMember {
  readonly router: model.Router;
  /** Undefined if no digest of the router was received. */
  readonly status?: RouterStatus;
  /** Monotonic time of the router's last digest or first listing, in ms. */
  readonly lastSeenMs: number;
}

/**
 * Minimum time without a digest after which a router no longer counts as live,
 * in ms.
 */
const MIN_LIVENESS_TIMEOUT_MS = 1_800;

/**
 * Number of digest intervals without a digest after which a router of the same
 * failure domain no longer counts as live; the fraction allows for delay.
 */
const NEAR_TIMEOUT_INTERVALS = 3.5;

/**
 * Number of digest intervals without a digest after which a router of another
 * failure domain no longer counts as live; digests between failure domains are
 * sent less often.
 */
const FAR_TIMEOUT_INTERVALS = 2.5;

/** How long digests are sent to a listed router that has sent none, in ms. */
const UNSEEN_PEER_TIMEOUT_MS = 10_000;

/**
 * Intervals of digests to routers of the same and of other failure domains, in
 * ms.
 */
export interface DigestIntervals {
  readonly nearIntervalMs: number;
  readonly farIntervalMs: number;
}

/** Registry of the fleet's routers; it also holds this router's own record. */
export interface FleetRegistry {
  self(): model.Router;
  /** Adds a router that is on the platform's list. */
  addListed(router: model.Router, nowMs: number): void;
  /** Records a router's digest; returns true if the router was unknown. */
  recordDigest(
    router: model.Router,
    status: RouterStatus,
    nowMs: number,
  ): boolean;
  /** Removes a router that is no longer on the platform's list. */
  remove(name: string): void;
  /** The routers to send digests to. */
  peers(nowMs: number): readonly FleetMember[];
  /** The other routers whose last digest is recent. */
  livePeers(nowMs: number): readonly FleetMember[];
  /**
   * Sets the digest intervals, from which the time-outs of live routers are
   * derived.
   */
  setDigestIntervals(intervals: DigestIntervals): void;
}

/** The contract under which the fleet registry is registered. */
export const FLEET_REGISTRY = core.contract<FleetRegistry>('fleet-registry', [
  'self',
  'addListed',
  'recordDigest',
  'remove',
  'peers',
  'livePeers',
  'setDigestIntervals',
]);

/** Registry in memory. */
export class InMemoryFleetRegistry implements FleetRegistry {
  private readonly members = new Map<string, FleetMember>();
  private digestIntervals: DigestIntervals = {
    nearIntervalMs: 0,
    farIntervalMs: 0,
  };

  constructor(
    private readonly kernel: core.Kernel,
    private readonly ownRouter: model.Router,
  ) {}

  self(): model.Router {
    return this.ownRouter;
  }

  addListed(router: model.Router, nowMs: number): void {
    if (router.name === this.ownRouter.name) return;
    const member = this.members.get(router.name);
    if (member?.status && member.router.address === router.address) return;
    this.members.set(router.name, {router, lastSeenMs: nowMs});
  }

  recordDigest(
    router: model.Router,
    status: RouterStatus,
    nowMs: number,
  ): boolean {
    if (router.name === this.ownRouter.name) return false;
    const member = this.members.get(router.name);
    this.members.set(router.name, {router, status, lastSeenMs: nowMs});
    if (member?.status?.phase === status.phase) return false;
    this.kernel.find(core.LOGGER).info('router', {
      router: router.name,
      was: member?.status?.phase,
      is: status.phase,
    });
    return member === undefined;
  }

  remove(name: string): void {
    this.members.delete(name);
  }

  peers(nowMs: number): readonly FleetMember[] {
    const members = [...this.members.values()];
    const {farIntervalMs} = this.digestIntervals;
    const maxAgeMs = Math.max(
      UNSEEN_PEER_TIMEOUT_MS,
      FAR_TIMEOUT_INTERVALS * farIntervalMs,
    );
    return members.filter(({lastSeenMs}) => nowMs - lastSeenMs < maxAgeMs);
  }

  livePeers(nowMs: number): readonly FleetMember[] {
    const members = [...this.members.values()];
    return members.filter(
      ({router, status, lastSeenMs}) =>
        status && nowMs - lastSeenMs < this.livenessTimeoutMs(router),
    );
  }

  setDigestIntervals(intervals: DigestIntervals): void {
    this.digestIntervals = intervals;
  }

  private livenessTimeoutMs({zone}: model.Router): number {
    const {nearIntervalMs, farIntervalMs} = this.digestIntervals;
    const isNear = zone === this.ownRouter.zone;
    const timeoutMs = isNear
      ? NEAR_TIMEOUT_INTERVALS * nearIntervalMs
      : FAR_TIMEOUT_INTERVALS * farIntervalMs;
    return Math.max(MIN_LIVENESS_TIMEOUT_MS, timeoutMs);
  }
}
