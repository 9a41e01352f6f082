/**
 * The registry of the fleet's other routers: the members that are live, with
 * the status from the last digest of each that sent one to this router.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as decisions from './decisions.js';
import type * as model from './model.js';

/** The status of a router, as sent in its digests. */
export interface RouterStatus {
  /** Version of its tables. */
  readonly version: number;
  /** Fingerprint of the endpoints that it knows. */
  readonly endpointsFingerprint: number;
  /** Fingerprint of the members that it knows. */
  readonly membersFingerprint: number;
  /** Uptime, in s. */
  readonly uptimeS: number;
}

/** A live router of the fleet. */
export interface FleetMember {
  readonly note: decide.MemberNote;
  /** Undefined if no digest of the router was received. */
  readonly status?: RouterStatus;
}

/** Registry of the fleet's routers; it also holds this router's own record. */
export interface FleetRegistry {
  self(): model.Router;
  /** Adds a router that the platform or another router lists. */
  addListed(router: model.Router, nowMs: number): void;
  /** Applies a note; returns the note to pass on, if there is one. */
  applyNote(
    note: decide.MemberNote,
    nowMs: number,
  ): decide.MemberNote | undefined;
  /** Records a router's digest; returns like `applyNote`. */
  recordDigest(
    note: decide.MemberNote,
    status: RouterStatus,
    nowMs: number,
  ): decide.MemberNote | undefined;
  /** The other live routers. */
  livePeers(): readonly FleetMember[];
  /** Number of live routers, this one included. */
  liveCount(): number;
  /** The other live routers, as receivers of digests. */
  digestPeers(): readonly decide.DigestPeer[];
  /** Newest version of the tables that any router's digest named; -1 if none. */
  newestVersion(): number;
}

/** The contract under which the fleet registry is registered. */
export const FLEET_REGISTRY = core.contract<FleetRegistry>('fleet-registry', [
  'self',
  'addListed',
  'applyNote',
  'recordDigest',
  'livePeers',
  'liveCount',
  'digestPeers',
  'newestVersion',
]);

/**
 * Whether this router is the one of the fleet that lets a request with the
 * condemned crash key through as a probe; all routers choose the same.
 */
export function isProber(kernel: core.Kernel, key: string): boolean {
  const fleet = kernel.find(FLEET_REGISTRY);
  const {name} = fleet.self();
  const peers = fleet.livePeers().map(({note}) => note.router.name);
  return core.topNode(key, [name, ...peers]) === name;
}

/** Registry in memory. */
export class InMemoryFleetRegistry implements FleetRegistry {
  private readonly statuses = new Map<string, RouterStatus>();
  /** The digest peers of a list of live members. */
  private cachedPeers: readonly decide.DigestPeer[] = [];
  private cachedFor: readonly decide.MemberNote[] | undefined;
  private newestSeenVersion = -1;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly ownRouter: model.Router,
  ) {}

  self(): model.Router {
    return this.ownRouter;
  }

  addListed(router: model.Router, nowMs: number): void {
    if (this.membership.find(router.name)) return;
    const phase = 'starting' as const;
    this.applyNote({router, epoch: 0, phase, isStoreLost: false}, nowMs);
  }

  applyNote(
    note: decide.MemberNote,
    nowMs: number,
  ): decide.MemberNote | undefined {
    const previous = this.membership.find(note.router.name);
    const news = this.membership.applyNote(note, nowMs);
    this.recordChange(previous, note, news);
    return news;
  }

  recordDigest(
    note: decide.MemberNote,
    status: RouterStatus,
    nowMs: number,
  ): decide.MemberNote | undefined {
    const {name} = note.router;
    const previous = this.membership.find(name);
    const news = this.membership.recordHeard(note, nowMs);
    this.statuses.set(name, status);
    this.newestSeenVersion = Math.max(this.newestSeenVersion, status.version);
    this.recordChange(previous, note, news);
    return news;
  }

  livePeers(): readonly FleetMember[] {
    return this.membership.live().map(note => ({
      note,
      status: this.statuses.get(note.router.name),
    }));
  }

  liveCount(): number {
    return this.membership.live().length + 1;
  }

  digestPeers(): readonly decide.DigestPeer[] {
    const live = this.membership.live();
    if (this.cachedFor !== live) {
      this.cachedFor = live;
      this.cachedPeers = live.map(({router: {name, zone}}) => ({
        name,
        isNear: zone === this.ownRouter.zone,
      }));
    }
    return this.cachedPeers;
  }

  newestVersion(): number {
    return this.newestSeenVersion;
  }

  private recordChange(
    previous: decide.MemberNote | undefined,
    note: decide.MemberNote,
    news: decide.MemberNote | undefined,
  ): void {
    const {name} = note.router;
    if (!news || name === this.ownRouter.name) return;
    if (note.phase === 'down') this.statuses.delete(name);
    if (previous?.phase === note.phase) return;
    this.kernel.find(core.LOGGER).info('router', {
      router: name,
      was: previous?.phase,
      is: note.phase,
      epoch: note.epoch,
    });
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }
}
