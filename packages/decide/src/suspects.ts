/**
 * Suspects: requests under which an endpoint crashed. A signature names a
 * request by customer, route and body, so that a resend has the same one.
 */
import * as core from '@oleanderrock/core';
import * as running from './running.js';

/** What a router tells the others of a signature. */
export interface SuspectNote {
  readonly signature: string;
  readonly state: 'suspect' | 'condemned' | 'cleared';
  /** How long the state still holds. */
  readonly validMs: number;
}

/** Whether a request may be dispatched to an endpoint. */
export type SuspectVerdict = 'free' | 'wait' | 'condemned';

/** Book of suspect requests. */
export interface SuspectBook {
  /** `wait` while another suspect runs on the endpoint. */
  check(signature: string, endpoint: string, nowMs: number): SuspectVerdict;
  /** What is held against the request now, if anything. */
  state(signature: string, nowMs: number): 'suspect' | 'condemned' | undefined;
  began(signature: string, endpoint: string): void;
  /** The request ended without a crash; a suspect is cleared by it. */
  ended(signature: string, endpoint: string, nowMs: number): void;
  /** The request's connection broke without evidence of a crash. */
  abandoned(signature: string, endpoint: string): void;
  /** The endpoint crashed; all that ran on it ended with it. */
  crashed(endpoint: string, nowMs: number): void;
  /** Takes in another router's note. */
  learn(note: SuspectNote, nowMs: number): void;
  /** Notes that changed since the last call, for the digests. */
  changes(nowMs: number): readonly SuspectNote[];
  /** Requests running on the endpoint now, by signature. */
  running(endpoint: string): readonly string[];
}

/** What a request's signature is made of. */
export interface SignatureParts {
  readonly customer: string;
  readonly route: string;
  /** Digest of the body. */
  readonly body: string;
  /** The caller's idempotency key, which names the request if given. */
  readonly key?: string;
}

/** A request's signature, 16 hexadecimal digits, the same for a resend. */
export function signature({
  customer,
  route,
  body,
  key,
}: SignatureParts): string {
  const subject = key === undefined ? ['body', body] : ['key', key];
  return core.hash64(JSON.stringify([customer, route, ...subject]));
}

/** How long a suspect stays one, in ms, if not told. */
export const DEFAULT_SUSPECT_MS = 120_000;

/** How long a condemned request is refused, in ms, if not told. */
export const DEFAULT_CONDEMNED_MS = 600_000;

/** In how many digests a change is told, since a digest may be lost. */
export const DEFAULT_REPEATS = 3;

/** Options of the book of suspects. */
export interface SuspectOptions {
  readonly suspectMs?: number;
  readonly condemnedMs?: number;
  readonly repeats?: number;
}

interface Suspicion {
  readonly state: 'suspect' | 'condemned';
  readonly untilMs: number;
}

interface Change {
  readonly state: SuspectNote['state'];
  readonly untilMs: number;
  readonly left: number;
}

/**
 * Finds the request that crashes endpoints. All that ran at a crash become
 * suspects; as no two suspects run on one endpoint, the next crash under one
 * of them names it, and the others clear themselves by ending well.
 *
 * A note tells a change that this book made itself. What it learned from a
 * note it does not pass on.
 */
export class SignatureSuspectBook implements SuspectBook {
  private readonly suspectMs: number;
  private readonly condemnedMs: number;
  private readonly repeats: number;
  private readonly requests = new running.RunningRequests();
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly untold = new Map<string, Change>();

  constructor({
    suspectMs = DEFAULT_SUSPECT_MS,
    condemnedMs = DEFAULT_CONDEMNED_MS,
    repeats = DEFAULT_REPEATS,
  }: SuspectOptions = {}) {
    this.suspectMs = suspectMs;
    this.condemnedMs = condemnedMs;
    this.repeats = repeats;
  }

  check(name: string, endpoint: string, nowMs: number): SuspectVerdict {
    const state = this.stateOf(name, nowMs);
    if (state === 'condemned') return 'condemned';
    if (state === undefined) return 'free';
    const isTaken = this.requests
      .on(endpoint)
      .some(other => other !== name && this.stateOf(other, nowMs));
    return isTaken ? 'wait' : 'free';
  }

  state(name: string, nowMs: number): Suspicion['state'] | undefined {
    return this.stateOf(name, nowMs);
  }

  began(name: string, endpoint: string): void {
    this.requests.add(name, endpoint);
  }

  ended(name: string, endpoint: string, nowMs: number): void {
    if (!this.requests.drop(name, endpoint)) return;
    if (this.stateOf(name, nowMs) !== 'suspect') return;
    this.suspicions.delete(name);
    this.tell(name, 'cleared', nowMs + this.suspectMs);
  }

  abandoned(name: string, endpoint: string): void {
    this.requests.drop(name, endpoint);
  }

  crashed(endpoint: string, nowMs: number): void {
    const names = this.requests.clear(endpoint);
    const isIn = (state: Suspicion['state']) => (name: string) =>
      this.stateOf(name, nowMs) === state;
    if (names.some(isIn('condemned'))) return;
    const suspects = names.filter(isIn('suspect'));
    const [culprit] = suspects;
    if (suspects.length === 1 && culprit !== undefined) {
      this.mark(culprit, 'condemned', nowMs + this.condemnedMs);
      return;
    }
    for (const name of names) {
      this.mark(name, 'suspect', nowMs + this.suspectMs);
    }
  }

  learn(note: SuspectNote, nowMs: number): void {
    const {signature: name, state} = note;
    const known = this.suspicions.get(name);
    const knownState = this.stateOf(name, nowMs);
    if (knownState === 'condemned' && state !== 'condemned') return;
    if (this.untold.get(name)?.state !== state) this.untold.delete(name);
    if (state === 'cleared') {
      this.suspicions.delete(name);
      return;
    }
    const isSame = known !== undefined && knownState === state;
    const knownMs = isSame ? known.untilMs : nowMs;
    const untilMs = Math.max(knownMs, nowMs + this.bound(note));
    this.suspicions.set(name, {state, untilMs});
  }

  changes(nowMs: number): readonly SuspectNote[] {
    this.sweep(nowMs);
    const notes: SuspectNote[] = [];
    for (const [name, change] of this.untold) {
      const {state, untilMs, left} = change;
      if (left <= 1) this.untold.delete(name);
      else this.untold.set(name, {...change, left: left - 1});
      const validMs = untilMs - nowMs;
      if (validMs > 0) notes.push({signature: name, state, validMs});
    }
    return notes;
  }

  running(endpoint: string): readonly string[] {
    return this.requests.on(endpoint);
  }

  private stateOf(name: string, nowMs: number): Suspicion['state'] | undefined {
    const suspicion = this.suspicions.get(name);
    if (!suspicion || suspicion.untilMs <= nowMs) return undefined;
    return suspicion.state;
  }

  private mark(name: string, state: Suspicion['state'], untilMs: number): void {
    this.suspicions.set(name, {state, untilMs});
    this.tell(name, state, untilMs);
  }

  private tell(name: string, state: Change['state'], untilMs: number): void {
    this.untold.set(name, {state, untilMs, left: this.repeats});
  }

  private bound({state, validMs}: SuspectNote): number {
    const maxMs = state === 'condemned' ? this.condemnedMs : this.suspectMs;
    return Math.min(validMs, maxMs);
  }

  private sweep(nowMs: number): void {
    for (const [name, {untilMs}] of this.suspicions) {
      if (untilMs <= nowMs) this.suspicions.delete(name);
    }
  }
}

/** Knows nothing, so a poison request crashes one endpoint after another. */
export class NaiveSuspectBook implements SuspectBook {
  private readonly requests = new running.RunningRequests();

  check(): SuspectVerdict {
    return 'free';
  }

  state(): undefined {
    return undefined;
  }

  began(name: string, endpoint: string): void {
    this.requests.add(name, endpoint);
  }

  ended(name: string, endpoint: string): void {
    this.requests.drop(name, endpoint);
  }

  abandoned(name: string, endpoint: string): void {
    this.requests.drop(name, endpoint);
  }

  crashed(endpoint: string): void {
    this.requests.clear(endpoint);
  }

  learn(): void {}

  changes(): readonly SuspectNote[] {
    return [];
  }

  running(endpoint: string): readonly string[] {
    return this.requests.on(endpoint);
  }
}
