/**
 * Finds what requests that crash endpoints have in common. At a crash, each
 * request that was running there and had not begun its answer may be the cause,
 * by any of its crash keys. A key is proved sound by a request with it that
 * begins to answer later, at any router; a key that stays under several crashes
 * is condemned, and requests with it are refused.
 */
import * as core from '@oleanderrock/core';
import * as boundedMap from './boundedmap.js';
import * as crashEvidence from './crashevidence.js';
import * as crashKeys from './crashkeys.js';
import * as quarantines from './quarantine.js';
import * as trackedRequests from './trackedrequests.js';

/** A proof that a key is sound: a request with it began to answer. */
export interface ProofNote {
  readonly key: string;
  readonly atMs: number;
}

/** What this router has to tell others. */
export interface CrashNews {
  /** Why keys are condemned of which another router does not know it. */
  readonly crashes: readonly crashEvidence.CrashNote[];
  /** Crashes that this router saw, with all their keys. */
  readonly ownCrashes: readonly crashEvidence.CrashNote[];
  /** Crashes under keys that several crashes have in common. */
  readonly repeated: readonly crashEvidence.CrashNote[];
  readonly proofs: readonly ProofNote[];
}

/** An endpoint that crashed, in one of its lifetimes. */
export interface CrashedEndpoint {
  readonly id: string;
  readonly bornMs?: number;
}

/** The requests that a crash ended. */
export interface CrashReport {
  readonly crash: number;
  /** Those that may have caused it. */
  readonly candidates: readonly trackedRequests.TrackedRequest[];
  /** Those whose answer had begun. */
  readonly begun: readonly trackedRequests.TrackedRequest[];
  readonly keys: readonly string[];
}

/** Whether a request may be sent; `probe` if it is to tell whether it may. */
export type CrashVerdict =
  | {readonly type: 'free'}
  | {readonly type: 'probe' | 'refused'; readonly key: string};

/** A change of what is known of a key. */
export interface KeyChange {
  readonly key: string;
  readonly is: 'condemned' | 'condemned_again' | 'cleared';
  /** The crashes under the key. */
  readonly crashes: readonly number[];
}

/** Tracks crashes and the requests that may cause them. */
export interface CrashTracker {
  /** Whether a request may be sent to an endpoint. */
  admit(
    requestId: string,
    keys: readonly string[],
    nowMs: number,
  ): CrashVerdict;
  /**
   * Endpoints where the next crash would not tell the request from another, if
   * one more crash may condemn keys of both.
   */
  endpointsToAvoid(keys: readonly string[], nowMs: number): ReadonlySet<string>;
  recordStart(
    requestId: string,
    keys: readonly string[],
    endpoint: string,
  ): trackedRequests.TrackedRequest;
  /** Records that the head of the answer arrived. */
  recordHead(request: trackedRequests.TrackedRequest): void;
  /** Records that the answer began, which proves the request's keys sound. */
  recordBegun(request: trackedRequests.TrackedRequest, nowMs: number): void;
  recordEnd(request: trackedRequests.TrackedRequest): void;
  /** Records a crash of the endpoint, which ended all requests on it. */
  recordCrash(endpoint: CrashedEndpoint, nowMs: number): CrashReport;
  /**
   * Applies a note of another router; returns what is new of keys that several
   * crashes have in common.
   */
  applyCrash(
    note: crashEvidence.CrashNote,
    nowMs: number,
  ): readonly crashEvidence.CrashNote[];
  /**
   * Applies a note that its router tells only the homes of its keys. What this
   * router can tell from it is news of its own.
   */
  applyReported(note: crashEvidence.CrashNote, nowMs: number): void;
  /** Applies a note of another router; returns whether it cleared evidence. */
  applyProof(note: ProofNote, nowMs: number): boolean;
  /** News since the last call; also condemns keys whose time has come. */
  takeNews(nowMs: number): CrashNews;
  /** The crashes under condemned keys, for a router that starts. */
  condemnations(nowMs: number): readonly crashEvidence.CrashNote[];
}

/** Limits of what is kept. */
const MAX_EVIDENCE_KEYS = 2_048;
const MAX_CONDEMNED_KEYS = 512;
const MAX_PROOFS = 4_096;
const MAX_UNSENT = 64;

/** Maximum number of keys of one crash that this router keeps. */
const MAX_OWN_KEYS = 256;

/** Maximum number of keys in one note to other routers. */
export const MAX_NOTE_KEYS = 24;

/** Age at which a note of another router is ignored, in ms. */
const MAX_NOTE_AGE_MS = 60_000;

const NO_ENDPOINTS: ReadonlySet<string> = new Set();

/** Stands for this router in a note about its own crashes that others send. */
const UNKNOWN_REPORTER = 0;

/** Options of `EvidenceCrashTracker`. */
export interface CrashTrackerOptions {
  /** Name of this router. */
  readonly self: string;
  /** Whether this router probes the key. */
  readonly isProber: (key: string) => boolean;
  /** Called when there is news to tell soon. */
  readonly onNews?: () => void;
  readonly onChange?: (change: KeyChange) => void;
}

/** Tracks by evidence and proofs that routers share. */
export class EvidenceCrashTracker implements CrashTracker {
  private readonly reporter: number;
  private readonly requests = new trackedRequests.TrackedRequests();
  private readonly evidence: crashEvidence.CrashEvidence;
  private readonly quarantine: quarantines.Quarantine;
  /** Time of the last proof, by key. */
  private readonly proofs = new boundedMap.BoundedMap<number>(MAX_PROOFS);
  /** Time of the last proof that other routers know of, by key. */
  private readonly sharedProofs = new boundedMap.BoundedMap<number>(MAX_PROOFS);
  /** Keys that may be condemned, with their last crash. */
  private readonly suspects = new boundedMap.BoundedMap<number>(
    MAX_EVIDENCE_KEYS,
  );
  /** Crashes that a condemned key explains. */
  private readonly explained = new boundedMap.BoundedMap<string>(
    MAX_EVIDENCE_KEYS,
  );
  private unsentCrashes: readonly crashEvidence.CrashNote[] = [];
  private unsentOwnCrashes: readonly crashEvidence.CrashNote[] = [];
  private unsentRepeated: readonly crashEvidence.CrashNote[] = [];
  private unsentProofs = new boundedMap.BoundedMap<number>(MAX_UNSENT);

  constructor(private readonly options: CrashTrackerOptions) {
    this.reporter = core.hash32(options.self);
    this.evidence = new crashEvidence.CrashEvidence({
      reporter: this.reporter,
      maxKeys: MAX_EVIDENCE_KEYS,
    });
    this.quarantine = new quarantines.Quarantine({
      isProber: options.isProber,
      maxKeys: MAX_CONDEMNED_KEYS,
    });
  }

  admit(
    requestId: string,
    keys: readonly string[],
    nowMs: number,
  ): CrashVerdict {
    this.settleSuspects(nowMs);
    let verdict: CrashVerdict = {type: 'free'};
    for (const key of keys) {
      if (!this.quarantine.has(key, nowMs)) continue;
      if (!this.quarantine.admits(key, requestId, nowMs)) {
        return {type: 'refused', key};
      }
      verdict = {type: 'probe', key};
    }
    return verdict;
  }

  endpointsToAvoid(
    keys: readonly string[],
    nowMs: number,
  ): ReadonlySet<string> {
    const isSuspect = (key: string) => this.evidence.isSuspect(key, nowMs);
    const own = keys.filter(isSuspect);
    if (own.length === 0) return NO_ENDPOINTS;
    const others = this.requests
      .all()
      .filter(
        other =>
          other.stage !== 'begun' &&
          other.keys.some(isSuspect) &&
          !other.keys.some(key => own.includes(key)),
      );
    return new Set(others.map(({endpoint}) => endpoint));
  }

  recordStart(
    requestId: string,
    keys: readonly string[],
    endpoint: string,
  ): trackedRequests.TrackedRequest {
    const request = {requestId, keys, endpoint, stage: 'sent' as const};
    this.requests.add(request);
    return request;
  }

  recordHead(request: trackedRequests.TrackedRequest): void {
    if (request.stage === 'sent') request.stage = 'head';
  }

  recordBegun(request: trackedRequests.TrackedRequest, nowMs: number): void {
    if (request.stage === 'begun') return;
    request.stage = 'begun';
    let isNews = false;
    for (const key of request.keys) {
      if (!this.applyProofAt(key, nowMs)) continue;
      this.queueProof(key, nowMs);
      isNews = true;
    }
    if (isNews) this.options.onNews?.();
  }

  recordEnd(request: trackedRequests.TrackedRequest): void {
    this.requests.remove(request);
  }

  recordCrash({id, bornMs}: CrashedEndpoint, nowMs: number): CrashReport {
    const crash = core.hash32(`${id} ${bornMs ?? ''}`);
    const requests = this.requests.removeAll(id);
    const candidates = requests.filter(({stage}) => stage !== 'begun');
    const begun = requests.filter(({stage}) => stage === 'begun');
    const keys = this.candidateKeys(candidates);
    if (keys.length > 0) {
      const {reporter} = this;
      const note = {crash, reporter, atMs: nowMs, keys};
      const repeated = this.addEvidence(note, nowMs);
      this.unsentRepeated = queued(this.unsentRepeated, repeated);
      const told = {...note, keys: keys.slice(0, MAX_NOTE_KEYS)};
      this.unsentOwnCrashes = queued(this.unsentOwnCrashes, [told]);
      this.options.onNews?.();
    }
    return {crash, candidates, begun, keys};
  }

  applyCrash(
    note: crashEvidence.CrashNote,
    nowMs: number,
  ): readonly crashEvidence.CrashNote[] {
    if (nowMs - note.atMs > MAX_NOTE_AGE_MS) return [];
    const isOwn = note.reporter === this.reporter;
    const reporter = isOwn ? UNKNOWN_REPORTER : note.reporter;
    const keys = note.keys.slice(0, MAX_NOTE_KEYS);
    const atMs = Math.min(note.atMs, nowMs);
    return this.addEvidence({...note, reporter, atMs, keys}, nowMs);
  }

  applyReported(note: crashEvidence.CrashNote, nowMs: number): void {
    const repeated = this.applyCrash(note, nowMs);
    this.unsentRepeated = queued(this.unsentRepeated, repeated);
    if (repeated.length > 0) this.options.onNews?.();
  }

  applyProof({key, atMs}: ProofNote, nowMs: number): boolean {
    const provedMs = Math.min(atMs, nowMs);
    this.sharedProofs.set(key, Math.max(provedMs, this.sharedMs(key)));
    return this.applyProofAt(key, provedMs);
  }

  takeNews(nowMs: number): CrashNews {
    this.settleSuspects(nowMs);
    const crashes = this.unsentCrashes;
    const ownCrashes = this.unsentOwnCrashes;
    const repeated = this.unsentRepeated;
    const proofs = [...this.unsentProofs].map(([key, atMs]) => ({key, atMs}));
    this.unsentCrashes = [];
    this.unsentOwnCrashes = [];
    this.unsentRepeated = [];
    this.unsentProofs = new boundedMap.BoundedMap(MAX_UNSENT);
    return {crashes, ownCrashes, repeated, proofs};
  }

  condemnations(nowMs: number): readonly crashEvidence.CrashNote[] {
    return this.quarantine
      .keys()
      .filter(key => this.quarantine.has(key, nowMs))
      .slice(-MAX_UNSENT)
      .flatMap(key => this.evidence.notesOf(key));
  }

  /** Number of keys that are kept, of all kinds. */
  size(): number {
    return [
      this.evidence,
      this.quarantine,
      this.proofs,
      this.sharedProofs,
      this.suspects,
      this.explained,
    ].reduce((sum, {size}) => sum + size, 0);
  }

  /**
   * Keys of the candidates: those under earlier crashes first, then those that
   * were never proved sound.
   */
  private candidateKeys(
    candidates: readonly trackedRequests.TrackedRequest[],
  ): readonly string[] {
    const keys = new Set(candidates.flatMap(request => request.keys));
    const provedMs = (key: string) =>
      this.proofs.get(key) ?? Number.NEGATIVE_INFINITY;
    const depth = (key: string) =>
      Math.max(...candidates.map(request => request.keys.indexOf(key)));
    // Whole requests last, since each is seen by one router mostly.
    const rank = (key: string) =>
      (crashKeys.isWholeRequest(key) ? 1 : 0) -
      2 * this.evidence.crashesOf(key).length;
    const compareProofs = (a: string, b: string) =>
      Math.sign(provedMs(a) - provedMs(b)) || 0;
    return [...keys]
      .sort((a, b) => rank(a) - rank(b) || compareProofs(a, b))
      .slice(0, MAX_OWN_KEYS)
      .sort((a, b) => rank(a) - rank(b) || depth(b) - depth(a));
  }

  /**
   * Condemns the suspects whose evidence suffices, the parts furthest on in
   * their prompts first: they are in the fewest other requests.
   */
  private settleSuspects(nowMs: number): void {
    for (const [key] of [...this.suspects]) {
      if (!this.evidence.isSuspect(key, nowMs)) this.suspects.delete(key);
      else if (this.evidence.condemns(key, nowMs)) this.condemn(key, nowMs);
    }
  }

  /**
   * Adds what a crash tells of its keys; returns what is new of keys that
   * several crashes have in common.
   */
  private addEvidence(
    note: crashEvidence.CrashNote,
    nowMs: number,
  ): readonly crashEvidence.CrashNote[] {
    const {crash, atMs, keys} = note;
    for (const key of keys) {
      if (this.quarantine.has(key, nowMs)) {
        this.recordCondemnedCrash(key, note);
      }
    }
    const explainedBy = this.explained.get(String(crash));
    const repeated: crashEvidence.CrashNote[] = [];
    for (const key of keys) {
      if (explainedBy !== undefined && key !== explainedBy) continue;
      const provedMs = this.proofs.get(key);
      if (provedMs !== undefined && provedMs > atMs) {
        if (this.sharedMs(key) <= atMs) this.queueProof(key, provedMs);
        continue;
      }
      const wasRepeated = this.evidence.isRepeated(key);
      if (!this.evidence.add(key, note)) continue;
      if (this.evidence.isRepeated(key)) {
        const isThis = (known: crashEvidence.CrashNote) =>
          known.crash === crash && known.reporter === note.reporter;
        const notes = this.evidence.notesOf(key);
        // Of a key with one crash only its homes know.
        repeated.push(...(wasRepeated ? notes.filter(isThis) : notes));
      }
      if (this.evidence.isSuspect(key, nowMs)) this.suspects.set(key, crash);
    }
    return repeated;
  }

  private recordCondemnedCrash(
    key: string,
    {crash, atMs}: crashEvidence.CrashNote,
  ): void {
    this.explain(crash, key);
    if (this.evidence.crashesOf(key).includes(crash)) return;
    // The router at which it came does not know that the key is condemned.
    const notes = this.evidence.notesOf(key);
    this.unsentCrashes = queued(this.unsentCrashes, notes);
    if (this.quarantine.recordCrash(key, atMs)) {
      this.reportChange(key, 'condemned_again');
    }
  }

  /** Condemns a key, unless condemned ones explain all its crashes. */
  private condemn(key: string, nowMs: number): void {
    const crashes = this.evidence.crashesOf(key);
    const isExplained = crashes.every(crash => {
      const cause = this.explained.get(String(crash));
      return cause !== undefined && cause !== key;
    });
    if (isExplained) return;
    this.suspects.delete(key);
    if (this.quarantine.has(key, nowMs)) return;
    const lastCrashMs = this.evidence.lastCrashMs(key) ?? nowMs;
    this.quarantine.condemn(key, lastCrashMs);
    if (!crashKeys.isWholeRequest(key)) this.evidence.explainBy(key);
    for (const crash of crashes) this.explain(crash, key);
    this.reportChange(key, 'condemned');
  }

  /** A whole request explains no crash, since one of its parts may be why. */
  private explain(crash: number, key: string): void {
    if (crashKeys.isWholeRequest(key)) return;
    this.explained.set(String(crash), key);
  }

  /** Applies a proof; returns whether it cleared evidence. */
  private applyProofAt(key: string, atMs: number): boolean {
    const provedMs = this.proofs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (atMs <= provedMs) return false;
    this.proofs.set(key, atMs);
    const wasCondemned = this.quarantine.recordProof(key, atMs);
    if (wasCondemned) {
      this.reportChange(key, 'cleared');
      for (const [crash, cause] of [...this.explained]) {
        if (cause === key) this.explained.delete(crash);
      }
    }
    return this.evidence.dropUntil(key, atMs) || wasCondemned;
  }

  private sharedMs(key: string): number {
    return this.sharedProofs.get(key) ?? Number.NEGATIVE_INFINITY;
  }

  private queueProof(key: string, atMs: number): void {
    this.sharedProofs.set(key, atMs);
    this.unsentProofs.set(key, atMs);
  }

  private reportChange(key: string, is: KeyChange['is']): void {
    const crashes = this.evidence.crashesOf(key);
    this.options.onChange?.({key, is, crashes});
  }
}

/** The notes with others at their end, without the oldest if they are many. */
function queued(
  notes: readonly crashEvidence.CrashNote[],
  added: readonly crashEvidence.CrashNote[],
): readonly crashEvidence.CrashNote[] {
  return [...notes, ...added].slice(-MAX_UNSENT);
}
