/**
 * Membership: which routers are live, from digests heard, from notes that
 * other routers pass on, and from the platform's list.
 */

/** Word that one run of a router is gone. */
export interface DownNote {
  readonly router: string;
  /** The run of the router that the note is about; later runs are not. */
  readonly incarnation: number;
}

/** Book of the routers' liveness, as one router sees it. */
export interface Membership {
  /** A digest came. */
  heard(router: string, incarnation: number, nowMs: number): void;
  /** Expects digests of these routers from now on, and of no others. */
  watch(routers: readonly string[], nowMs: number): void;
  /** Takes in a note of another router; false where it tells nothing new. */
  learn(note: DownNote, nowMs: number): boolean;
  /** A connection to the router was refused; it is gone until heard again. */
  refused(router: string, nowMs: number): void;
  /** Whether the router takes requests, as far as is known. */
  isLive(router: string, nowMs: number): boolean;
  /** Notes of the last seconds, to pass on. */
  notes(nowMs: number): readonly DownNote[];
}

/** Options of the observed membership. */
export interface MembershipOptions {
  /** Silence after which a watched router is gone. */
  readonly timeoutMs: number;
  /** How long a note is passed on. */
  readonly noteMs: number;
}

interface Member {
  incarnation: number;
  heardMs: number;
  /** Whether a digest of the router ever came. */
  wasHeard: boolean;
  /** Set while the router counts as gone. */
  downMs: number | undefined;
  /** Whether more than this router's own silence says that it is gone. */
  isProven: boolean;
}

/**
 * Counts a router as gone after a silence, or on another's note about the
 * same run. Where more than half of the watched routers fall silent, the
 * router suspects its own view and counts none of them as gone. Routers that
 * refused a connection, that others call gone too, or that have been gone for
 * long say nothing about its view.
 */
export class ObservedMembership implements Membership {
  private readonly members = new Map<string, Member>();
  private watched: readonly string[] = [];

  constructor(private readonly options: MembershipOptions) {}

  heard(router: string, incarnation: number, nowMs: number): void {
    const member = this.member(router, nowMs);
    if (incarnation < member.incarnation) return;
    member.incarnation = incarnation;
    member.heardMs = nowMs;
    member.downMs = undefined;
    member.isProven = false;
    member.wasHeard = true;
  }

  watch(routers: readonly string[], nowMs: number): void {
    const before = new Set(this.watched);
    for (const router of routers) {
      if (!before.has(router)) this.member(router, nowMs).heardMs = nowMs;
    }
    this.watched = routers;
  }

  learn(note: DownNote, nowMs: number): boolean {
    const member = this.member(note.router, nowMs);
    if (note.incarnation < member.incarnation) return false;
    if (member.downMs !== undefined) {
      member.isProven = true;
      return false;
    }
    // What this router hears itself goes before what others do not hear.
    const isFresh = nowMs - member.heardMs <= this.options.timeoutMs;
    if (member.wasHeard && isFresh) return false;
    member.incarnation = note.incarnation;
    member.downMs = nowMs;
    member.isProven = true;
    return true;
  }

  refused(router: string, nowMs: number): void {
    const member = this.member(router, nowMs);
    member.downMs ??= nowMs;
    member.isProven = true;
  }

  isLive(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (!member) return true;
    if (member.downMs !== undefined) return false;
    return !this.silent(nowMs).has(router);
  }

  notes(nowMs: number): readonly DownNote[] {
    for (const router of this.silent(nowMs)) {
      this.member(router, nowMs).downMs ??= nowMs;
    }
    return [...this.members]
      .filter(([, member]) => this.isRecent(member, nowMs))
      .map(([router, {incarnation}]) => ({router, incarnation}));
  }

  /** Watched routers that are silent, or none where most of them are. */
  private silent(nowMs: number): ReadonlySet<string> {
    const telling = this.watched.filter(router =>
      this.isTelling(router, nowMs),
    );
    const silent = telling.filter(router => this.isSilent(router, nowMs));
    const isOwnFault = telling.length > 2 && silent.length * 2 > telling.length;
    return new Set(isOwnFault ? [] : silent);
  }

  private isSilent(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (!member) return false;
    return nowMs - member.heardMs > this.options.timeoutMs;
  }

  /** Whether the router's silence may come from this router's own fault. */
  private isTelling(router: string, nowMs: number): boolean {
    const member = this.members.get(router);
    if (member?.downMs === undefined) return true;
    return !member.isProven && this.isRecent(member, nowMs);
  }

  private member(router: string, nowMs: number): Member {
    let member = this.members.get(router);
    if (!member) {
      member = {
        incarnation: 0,
        heardMs: nowMs,
        wasHeard: false,
        downMs: undefined,
        isProven: false,
      };
      this.members.set(router, member);
    }
    return member;
  }

  private isRecent(member: Member, nowMs: number): boolean {
    if (member.downMs === undefined) return false;
    return nowMs - member.downMs <= this.options.noteMs;
  }
}
