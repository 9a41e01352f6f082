/**
 * Membership of the fleet: the routers that are live, at a cost that does not
 * grow with their number. Each router pings a few random ones and expects a
 * reply; one that does not reply to several pings is reported as down, and the
 * report spreads as news. Reports are ordered by epochs that only the router
 * itself increases, so a router that hears that it is down refutes the report
 * with a higher epoch.
 */

/** A router of the fleet. */
export interface FleetRouter {
  readonly name: string;
  /** IP address; all routers use the same ports. */
  readonly address: string;
  readonly zone: string;
}

/** The phase of a router's run, as it says itself. */
export type RouterPhase = 'starting' | 'ready' | 'leaving';

/** What the fleet knows of a router at one epoch. */
export interface MemberNote {
  readonly router: FleetRouter;
  /**
   * Increases with every change that the router makes itself; a note with a
   * higher epoch replaces one with a lower.
   */
  readonly epoch: number;
  /** `down` is what others report; at equal epochs it counts as newer. */
  readonly phase: RouterPhase | 'down';
  /** Whether the router cannot read the platform's store. */
  readonly isStoreLost: boolean;
}

/** The pings that are due. */
export interface PingCheck {
  /** Names of routers to ping again. */
  readonly overdue: readonly string[];
  /** New notes about routers that did not reply. */
  readonly down: readonly MemberNote[];
}

/** Which routers are live, as one router sees it. */
export interface FleetMembership {
  /** This router's own note. */
  self(): MemberNote;
  /** Updates the own note; returns whether it changed. */
  updateSelf(phase: RouterPhase, isStoreLost: boolean): boolean;
  /**
   * Applies a note that another router passed on. Returns the note to pass on:
   * the same, a refutation if it is about this router, or undefined if it is
   * not new.
   */
  applyNote(note: MemberNote, nowMs: number): MemberNote | undefined;
  /** Records a message of the router itself; returns like `applyNote`. */
  recordHeard(note: MemberNote, nowMs: number): MemberNote | undefined;
  /** Records that a ping was sent. */
  recordPing(name: string, nowMs: number): void;
  /** Evaluates the pings without reply; to be called in every round. */
  checkPings(nowMs: number): PingCheck;
  /** The note of another router; undefined if it is unknown. */
  find(name: string): MemberNote | undefined;
  /** The other routers that are not down. */
  live(): readonly MemberNote[];
  /** The other routers that are down and may return. */
  down(nowMs: number): readonly MemberNote[];
  /**
   * Names of live routers that may have ended with others of their failure
   * domain, and are not pinged yet.
   */
  suspects(nowMs: number): readonly string[];
  /** Whether no message of any router has arrived for a while. */
  isIsolated(nowMs: number): boolean;
  /**
   * Hash of the epochs and phases of all routers, this one included; equal at
   * routers that know the same.
   */
  fingerprint(): number;
}

/** Time after which a ping without reply is repeated, in ms. */
const PING_TIMEOUT_MS = 400;

/** Number of pings without reply after which a router is reported as down. */
const MAX_PINGS = 3;

/**
 * Time without a message of any router after which this router may be cut off
 * itself, so that it reports none as down, in ms.
 */
const ISOLATION_MS = 1_000;

/**
 * Time between two checks above which this process was paused, in ms; replies
 * that arrived meanwhile are still unread.
 */
const PAUSE_MS = 1_000;

/**
 * Routers of a failure domain, in number and share, that went down within a time,
 * in ms, from which the others there are suspects: random pings find the last of
 * many late. A lossy network makes a few of them seem down.
 */
const MIN_SUSPICIOUS_DOWN = 2;
const SUSPICIOUS_DOWN_SHARE = 0.1;
const SUSPICIOUS_MS = 4_000;

/** How long a router that is down is remembered, in ms. */
const FORGET_DOWN_MS = 30_000;

interface Member {
  readonly note: MemberNote;
  readonly fingerprint: number;
  /** Time at which the router was reported as down, in ms. */
  readonly downSinceMs: number | undefined;
}

interface PendingPing {
  readonly sentAtMs: number;
  readonly count: number;
}

/** Options of `PingMembership`. */
export interface PingMembershipOptions {
  readonly self: FleetRouter;
  /** First epoch; higher than those of earlier runs of this router. */
  readonly firstEpoch: number;
  /** Hash of a text, 32 bits. */
  readonly hash: (text: string) => number;
}

/** Detects failures by random pings. */
export class PingMembership implements FleetMembership {
  private readonly members = new Map<string, Member>();
  private readonly pendingPings = new Map<string, PendingPing>();
  private ownNote: MemberNote;
  private ownFingerprint: number;
  private othersFingerprint = 0;
  private lastHeardMs = Number.NEGATIVE_INFINITY;
  private lastCheckMs: number | undefined;
  private liveCache: readonly MemberNote[] | undefined;

  constructor(private readonly options: PingMembershipOptions) {
    const {self: router, firstEpoch: epoch} = options;
    this.ownNote = {router, epoch, phase: 'starting', isStoreLost: false};
    this.ownFingerprint = this.fingerprintOf(this.ownNote);
  }

  self(): MemberNote {
    return this.ownNote;
  }

  updateSelf(phase: RouterPhase, isStoreLost: boolean): boolean {
    const {phase: oldPhase, isStoreLost: wasStoreLost, epoch} = this.ownNote;
    if (phase === oldPhase && isStoreLost === wasStoreLost) return false;
    this.setOwn({...this.ownNote, epoch: epoch + 1, phase, isStoreLost});
    return true;
  }

  applyNote(note: MemberNote, nowMs: number): MemberNote | undefined {
    const {name} = note.router;
    if (name === this.ownNote.router.name) return this.refute(note);
    const member = this.members.get(name);
    if (member && !isNewer(note, member.note)) return undefined;
    if (!member && note.phase === 'down') return undefined;
    this.setMember(note, nowMs);
    return note;
  }

  recordHeard(note: MemberNote, nowMs: number): MemberNote | undefined {
    this.lastHeardMs = nowMs;
    this.pendingPings.delete(note.router.name);
    return this.applyNote(note, nowMs);
  }

  recordPing(name: string, nowMs: number): void {
    const member = this.members.get(name);
    if (!member || member.note.phase === 'down') return;
    const count = (this.pendingPings.get(name)?.count ?? 0) + 1;
    this.pendingPings.set(name, {sentAtMs: nowMs, count});
  }

  checkPings(nowMs: number): PingCheck {
    const wasPaused = nowMs - (this.lastCheckMs ?? nowMs) > PAUSE_MS;
    this.lastCheckMs = nowMs;
    if (wasPaused || this.isIsolated(nowMs)) {
      this.pendingPings.clear();
      return {overdue: [], down: []};
    }
    const overdue: string[] = [];
    const down: MemberNote[] = [];
    for (const [name, {sentAtMs, count}] of this.pendingPings) {
      if (nowMs - sentAtMs < PING_TIMEOUT_MS) continue;
      if (count < MAX_PINGS) {
        overdue.push(name);
        continue;
      }
      this.pendingPings.delete(name);
      const note = this.members.get(name)?.note;
      if (!note || note.phase === 'down') continue;
      const downNote: MemberNote = {...note, phase: 'down'};
      this.setMember(downNote, nowMs);
      down.push(downNote);
    }
    return {overdue, down};
  }

  find(name: string): MemberNote | undefined {
    return this.members.get(name)?.note;
  }

  live(): readonly MemberNote[] {
    this.liveCache ??= [...this.members.values()]
      .map(({note}) => note)
      .filter(({phase}) => phase !== 'down');
    return this.liveCache;
  }

  down(nowMs: number): readonly MemberNote[] {
    const notes: MemberNote[] = [];
    for (const [name, {note, downSinceMs}] of this.members) {
      if (downSinceMs === undefined) continue;
      if (nowMs - downSinceMs < FORGET_DOWN_MS) notes.push(note);
      else this.removeMember(name);
    }
    return notes;
  }

  suspects(nowMs: number): readonly string[] {
    const zones = this.suspectZones(nowMs);
    if (zones.size === 0) return [];
    return this.live()
      .map(({router}) => router)
      .filter(({zone}) => zones.has(zone))
      .map(({name}) => name)
      .filter(name => !this.pendingPings.has(name));
  }

  isIsolated(nowMs: number): boolean {
    return nowMs - this.lastHeardMs > ISOLATION_MS;
  }

  fingerprint(): number {
    return (this.othersFingerprint ^ this.ownFingerprint) >>> 0;
  }

  private suspectZones(nowMs: number): ReadonlySet<string> {
    const counts = new Map<string, {all: number; down: number}>();
    for (const {note, downSinceMs = 0} of this.members.values()) {
      const count = counts.get(note.router.zone) ?? {all: 0, down: 0};
      const isRecent = nowMs - downSinceMs <= SUSPICIOUS_MS;
      count.all += 1;
      if (note.phase === 'down' && isRecent) count.down += 1;
      counts.set(note.router.zone, count);
    }
    const zones = [...counts].filter(
      ([, {all, down}]) =>
        down >= Math.max(MIN_SUSPICIOUS_DOWN, all * SUSPICIOUS_DOWN_SHARE),
    );
    return new Set(zones.map(([zone]) => zone));
  }

  /** Answers a note about this router that claims an epoch of its own. */
  private refute(note: MemberNote): MemberNote | undefined {
    if (!isNewer(note, this.ownNote)) return undefined;
    this.setOwn({...this.ownNote, epoch: note.epoch + 1});
    return this.ownNote;
  }

  private setOwn(note: MemberNote): void {
    this.ownNote = note;
    this.ownFingerprint = this.fingerprintOf(note);
  }

  private setMember(note: MemberNote, nowMs: number): void {
    const {name} = note.router;
    this.removeMember(name);
    const isDown = note.phase === 'down';
    const fingerprint = isDown ? 0 : this.fingerprintOf(note);
    const downSinceMs = isDown ? nowMs : undefined;
    this.members.set(name, {note, fingerprint, downSinceMs});
    this.othersFingerprint ^= fingerprint;
    if (isDown) this.pendingPings.delete(name);
  }

  private removeMember(name: string): void {
    this.othersFingerprint ^= this.members.get(name)?.fingerprint ?? 0;
    this.members.delete(name);
    this.liveCache = undefined;
  }

  private fingerprintOf({router, epoch, phase}: MemberNote): number {
    return this.options.hash(`${router.name} ${epoch} ${phase}`);
  }
}

function isNewer(note: MemberNote, than: MemberNote): boolean {
  if (note.epoch !== than.epoch) return note.epoch > than.epoch;
  return note.phase === 'down' && than.phase !== 'down';
}
