/**
 * Membership: which routers are live, according to the digests received from
 * them and the down notes that other routers forward. The caller sets which
 * routers to watch, from the platform's list.
 */

/** A notice, gossiped between routers, that one run of a router is down. */
export interface DownNote {
  readonly router: string;
  /** The run of the router that is down; later runs may be live. */
  readonly incarnation: number;
}

/** Failure detector: which other routers are live, as one router sees it. */
export interface Membership {
  /** Records that a digest arrived from the router. */
  recordDigest(router: string, incarnation: number, nowMs: number): void;
  /** Sets the routers from which digests are expected from now on. */
  watch(routers: readonly string[], nowMs: number): void;
  /** Applies a note from another router; false if it changes nothing. */
  applyRemote(note: DownNote, nowMs: number): boolean;
  /** Records a refused connection: the router is down until its next digest. */
  recordRefusal(router: string, nowMs: number): void;
  /** Whether the router is live; true for a router without any record. */
  isLive(router: string, nowMs: number): boolean;
  /**
   * Recent notes, to send to other routers. Routers that have fallen silent are
   * marked as down first.
   */
  recentNotes(nowMs: number): readonly DownNote[];
}

/** Options of `ObservedMembership`. */
export interface MembershipOptions {
  /** Time without a digest after which a watched router counts as down. */
  readonly timeoutMs: number;
  /** How long a note is forwarded. */
  readonly noteLifetimeMs: number;
}

interface Member {
  incarnation: number;
  /** Time of the last digest, or of the beginning of the watch. */
  lastSeenMs: number;
  hasSentDigest: boolean;
  /** Set while the router counts as down. */
  downSinceMs: number | undefined;
  /** Whether a refused connection or another router confirms the failure. */
  isConfirmed: boolean;
}

/**
 * Counts a router as down after a time without digests, or on another router's
 * note about the same run. If more than half of a sample of watched routers
 * fall silent, this router is more likely cut off itself, and counts none of
 * them as down. The sample leaves out routers whose failure is confirmed by a
 * refused connection or another router, and those that have been down for long.
 */
export class ObservedMembership implements Membership {
  private readonly members = new Map<string, Member>();
  private watched: readonly string[] = [];

  constructor(private readonly options: MembershipOptions) {}

  recordDigest(router: string, incarnation: number, nowMs: number): void {
    const member = this.member(router, nowMs);
    if (incarnation < member.incarnation) return;
    member.incarnation = incarnation;
    member.lastSeenMs = nowMs;
    member.downSinceMs = undefined;
    member.isConfirmed = false;
    member.hasSentDigest = true;
  }

  watch(routers: readonly string[], nowMs: number): void {
    const previous = new Set(this.watched);
    for (const router of routers) {
      if (!previous.has(router)) this.member(router, nowMs).lastSeenMs = nowMs;
    }
    this.watched = routers;
  }

  applyRemote(note: DownNote, nowMs: number): boolean {
    const member = this.member(note.router, nowMs);
    if (note.incarnation < member.incarnation) return false;
    if (member.downSinceMs !== undefined) {
      member.isConfirmed = true;
      return false;
    }
    // A recent digest outweighs the note of a router that received none.
    const isFresh = nowMs - member.lastSeenMs <= this.options.timeoutMs;
    if (member.hasSentDigest && isFresh) return false;
    member.incarnation = note.incarnation;
    member.downSinceMs = nowMs;
    member.isConfirmed = true;
    return true;
  }

  recordRefusal(router: string, nowMs: number): void {
    const member = this.member(router, nowMs);
    member.downSinceMs ??= nowMs;
    member.isConfirmed = true;
  }

  isLive(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (!member) return true;
    if (member.downSinceMs !== undefined) return false;
    return !this.silentRouters(nowMs).has(router);
  }

  recentNotes(nowMs: number): readonly DownNote[] {
    for (const router of this.silentRouters(nowMs)) {
      this.member(router, nowMs).downSinceMs ??= nowMs;
    }
    return [...this.members]
      .filter(([, member]) => this.isRecentlyDown(member, nowMs))
      .map(([router, {incarnation}]) => ({router, incarnation}));
  }

  /** Watched routers without recent digests; none if that applies to most. */
  private silentRouters(nowMs: number): ReadonlySet<string> {
    const sample = this.watched.filter(router =>
      this.isInSample(router, nowMs),
    );
    const silent = sample.filter(router => this.isSilent(router, nowMs));
    const isIsolated = sample.length > 2 && silent.length * 2 > sample.length;
    return new Set(isIsolated ? [] : silent);
  }

  private isSilent(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (!member) return false;
    return nowMs - member.lastSeenMs > this.options.timeoutMs;
  }

  /** Whether silence of the router may be due to a fault of this router. */
  private isInSample(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (member?.downSinceMs === undefined) return true;
    return !member.isConfirmed && this.isRecentlyDown(member, nowMs);
  }

  /** The record of a router; created on first use. */
  private member(router: string, nowMs: number): Member {
    let member = this.members.get(router);
    if (!member) {
      member = {
        incarnation: 0,
        lastSeenMs: nowMs,
        hasSentDigest: false,
        downSinceMs: undefined,
        isConfirmed: false,
      };
      this.members.set(router, member);
    }
    return member;
  }

  private isRecentlyDown(member: Member, nowMs: number): boolean {
    if (member.downSinceMs === undefined) return false;
    return nowMs - member.downSinceMs <= this.options.noteLifetimeMs;
  }
}
