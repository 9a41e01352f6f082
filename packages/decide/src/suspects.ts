/**
 * Suspects: requests that were running on an endpoint when it crashed. A
 * signature identifies a request by customer, route and body or key, so that a
 * resend has the same one.
 */
import * as core from '@oleanderrock/core';
import * as runningRequests from './runningrequests.js';

/** State of a signature, as sent between routers. */
export interface SuspectNote {
  readonly signature: string;
  readonly state: 'suspect' | 'condemned' | 'cleared';
  /** Remaining time for which the state holds. */
  readonly validMs: number;
}

/**
 * Whether a request may be dispatched to an endpoint: `free`, yes; `wait`, not
 * while another suspect runs there; `condemned`, to no endpoint.
 */
export type SuspectVerdict = 'free' | 'wait' | 'condemned';

/** Tracks suspect requests. */
export interface SuspectTracker {
  /** Whether the request may be dispatched to the endpoint now. */
  check(signature: string, endpoint: string, nowMs: number): SuspectVerdict;
  /** State of the request now; undefined if it is under no suspicion. */
  state(signature: string, nowMs: number): 'suspect' | 'condemned' | undefined;
  recordStart(signature: string, endpoint: string): void;
  /** Records an end without a crash, which clears a suspect. */
  recordEnd(signature: string, endpoint: string, nowMs: number): void;
  /** Records an end without an answer or a proven crash; clears no suspect. */
  recordAbort(signature: string, endpoint: string): void;
  /** Records a crash of the endpoint, which ended all requests on it. */
  recordCrash(endpoint: string, nowMs: number): void;
  /**
   * Applies a note from another router; returns false if it changes nothing.
   */
  applyRemote(note: SuspectNote, nowMs: number): boolean;
  /** Notes for the next digest; each change is returned by several calls. */
  takeChanges(nowMs: number): readonly SuspectNote[];
  /** Signatures of the requests that run on the endpoint now. */
  runningOn(endpoint: string): readonly string[];
}

/** The input of a request's signature. */
export interface SignatureParts {
  readonly customer: string;
  readonly route: string;
  /** Digest of the body. */
  readonly body: string;
  /** The caller's idempotency key; replaces the body if given. */
  readonly key?: string;
}

/** A request's signature: 16 hexadecimal digits, the same for a resend. */
export function requestSignature({
  customer,
  route,
  body,
  key,
}: SignatureParts): string {
  const subject = key === undefined ? ['body', body] : ['key', key];
  return core.hash64(JSON.stringify([customer, route, ...subject]));
}

/** Default time for which a request stays suspect, in ms. */
export const DEFAULT_SUSPECT_MS = 120_000;

/** Default time for which a condemned request is refused, in ms. */
export const DEFAULT_CONDEMNED_MS = 600_000;

/** Default number of digests that carry each change, as some may be lost. */
export const DEFAULT_REPEATS = 3;

/** Options of `SignatureSuspectTracker`. */
export interface SuspectOptions {
  readonly suspectMs?: number;
  readonly condemnedMs?: number;
  /** Number of digests that carry each change. */
  readonly repeats?: number;
}

interface Suspicion {
  readonly state: 'suspect' | 'condemned';
  readonly untilMs: number;
}

interface Change {
  readonly state: SuspectNote['state'];
  readonly untilMs: number;
  /** Number of digests that are still to carry the change. */
  readonly sendsLeft: number;
}

/**
 * Finds the request that crashes endpoints. All requests that ran on a crashed
 * endpoint become suspects. No two suspects run on one endpoint, so the next
 * crash identifies the suspect that ran there, which is condemned; the others
 * are cleared when they end without a crash.
 *
 * Notes carry only changes that originate here; whether those from other
 * routers are passed on is up to the caller.
 */
export class SignatureSuspectTracker implements SuspectTracker {
  private readonly suspectMs: number;
  private readonly condemnedMs: number;
  private readonly repeats: number;
  private readonly requests = new runningRequests.RunningRequests();
  private readonly suspicions = new Map<string, Suspicion>();
  /** Changes that are still to be sent, by signature. */
  private readonly unsent = new Map<string, Change>();

  constructor({
    suspectMs = DEFAULT_SUSPECT_MS,
    condemnedMs = DEFAULT_CONDEMNED_MS,
    repeats = DEFAULT_REPEATS,
  }: SuspectOptions = {}) {
    this.suspectMs = suspectMs;
    this.condemnedMs = condemnedMs;
    this.repeats = repeats;
  }

  check(signature: string, endpoint: string, nowMs: number): SuspectVerdict {
    const state = this.activeState(signature, nowMs);
    if (state === 'condemned') return 'condemned';
    if (state === undefined) return 'free';
    const hasOtherSuspect = this.requests
      .signaturesOn(endpoint)
      .some(other => other !== signature && this.activeState(other, nowMs));
    return hasOtherSuspect ? 'wait' : 'free';
  }

  state(signature: string, nowMs: number): Suspicion['state'] | undefined {
    return this.activeState(signature, nowMs);
  }

  recordStart(signature: string, endpoint: string): void {
    this.requests.add(signature, endpoint);
  }

  recordEnd(signature: string, endpoint: string, nowMs: number): void {
    if (!this.requests.remove(signature, endpoint)) return;
    if (this.activeState(signature, nowMs) !== 'suspect') return;
    this.suspicions.delete(signature);
    this.queueChange(signature, 'cleared', nowMs + this.suspectMs);
  }

  recordAbort(signature: string, endpoint: string): void {
    this.requests.remove(signature, endpoint);
  }

  recordCrash(endpoint: string, nowMs: number): void {
    const signatures = this.requests.removeAll(endpoint);
    const isInState = (state: Suspicion['state']) => (signature: string) =>
      this.activeState(signature, nowMs) === state;
    if (signatures.some(isInState('condemned'))) return;
    const suspects = signatures.filter(isInState('suspect'));
    const [soleSuspect] = suspects;
    if (suspects.length === 1 && soleSuspect !== undefined) {
      this.setState(soleSuspect, 'condemned', nowMs + this.condemnedMs);
      return;
    }
    for (const signature of signatures) {
      this.setState(signature, 'suspect', nowMs + this.suspectMs);
    }
  }

  applyRemote(note: SuspectNote, nowMs: number): boolean {
    const {signature: id, state} = note;
    const existing = this.suspicions.get(id);
    const existingState = this.activeState(id, nowMs);
    if (existingState === 'condemned' && state !== 'condemned') return false;
    if (this.unsent.get(id)?.state !== state) this.unsent.delete(id);
    if (state === 'cleared') return this.suspicions.delete(id);
    const isUnchanged = existing !== undefined && existingState === state;
    const existingUntilMs = isUnchanged ? existing.untilMs : nowMs;
    const untilMs = Math.max(existingUntilMs, nowMs + this.clampValidMs(note));
    this.suspicions.set(id, {state, untilMs});
    return !isUnchanged;
  }

  takeChanges(nowMs: number): readonly SuspectNote[] {
    this.evictExpired(nowMs);
    const notes: SuspectNote[] = [];
    for (const [signature, change] of this.unsent) {
      const {state, untilMs, sendsLeft} = change;
      if (sendsLeft <= 1) this.unsent.delete(signature);
      else this.unsent.set(signature, {...change, sendsLeft: sendsLeft - 1});
      const validMs = untilMs - nowMs;
      if (validMs > 0) notes.push({signature, state, validMs});
    }
    return notes;
  }

  runningOn(endpoint: string): readonly string[] {
    return this.requests.signaturesOn(endpoint);
  }

  private activeState(
    signature: string,
    nowMs: number,
  ): Suspicion['state'] | undefined {
    const suspicion = this.suspicions.get(signature);
    if (!suspicion || suspicion.untilMs <= nowMs) return undefined;
    return suspicion.state;
  }

  private setState(
    signature: string,
    state: Suspicion['state'],
    untilMs: number,
  ): void {
    this.suspicions.set(signature, {state, untilMs});
    this.queueChange(signature, state, untilMs);
  }

  private queueChange(
    signature: string,
    state: Change['state'],
    untilMs: number,
  ): void {
    this.unsent.set(signature, {state, untilMs, sendsLeft: this.repeats});
  }

  private clampValidMs({state, validMs}: SuspectNote): number {
    const maxMs = state === 'condemned' ? this.condemnedMs : this.suspectMs;
    return Math.min(validMs, maxMs);
  }

  private evictExpired(nowMs: number): void {
    for (const [signature, {untilMs}] of this.suspicions) {
      if (untilMs <= nowMs) this.suspicions.delete(signature);
    }
  }
}

/** Baseline: no suspects; a poison request crashes endpoint after endpoint. */
export class NaiveSuspectTracker implements SuspectTracker {
  private readonly requests = new runningRequests.RunningRequests();

  check(): SuspectVerdict {
    return 'free';
  }

  state(): undefined {
    return undefined;
  }

  recordStart(signature: string, endpoint: string): void {
    this.requests.add(signature, endpoint);
  }

  recordEnd(signature: string, endpoint: string): void {
    this.requests.remove(signature, endpoint);
  }

  recordAbort(signature: string, endpoint: string): void {
    this.requests.remove(signature, endpoint);
  }

  recordCrash(endpoint: string): void {
    this.requests.removeAll(endpoint);
  }

  applyRemote(): boolean {
    return false;
  }

  takeChanges(): readonly SuspectNote[] {
    return [];
  }

  runningOn(endpoint: string): readonly string[] {
    return this.requests.signaturesOn(endpoint);
  }
}
