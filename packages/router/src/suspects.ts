/**
 * Suspect requests: the suspect tracker as a service, the signatures of
 * requests, and the exchange of suspicions between routers.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';

/** The contract under which the suspect tracker is registered. */
export const SUSPECTS = core.contract<decide.SuspectTracker>('suspects', [
  'check',
  'recordStart',
  'recordEnd',
  'recordCrash',
]);

const STATE_VALIDITY_MS = {
  suspect: decide.DEFAULT_SUSPECT_MS,
  condemned: decide.DEFAULT_CONDEMNED_MS,
} as const;

const signatures = new WeakMap<exchange.RouterRequest, string>();

/** The signature of a request; the same if the caller sends it again. */
export function signatureOf(
  request: exchange.RouterRequest,
  route: core.Route,
): string {
  const cached = signatures.get(request);
  if (cached) return cached;
  const signature = decide.requestSignature({
    customer: request.customer,
    route: route.name,
    body: request.body.toString('latin1'),
    key: request.key,
  });
  signatures.set(request, signature);
  return signature;
}

/** Header between routers: signature and state of a suspect request. */
export const SUSPICION_HEADER = 'oleander-suspicion';

/**
 * The suspicion header of a request; empty where it is not suspect. It is sent
 * with forwarded requests and refusals, since digests would arrive too late.
 */
export function suspicionHeaders(
  kernel: core.Kernel,
  request: exchange.RouterRequest,
): Record<string, string> {
  const signature = signatures.get(request);
  if (signature === undefined) return {};
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const state = kernel.find(SUSPECTS).state(signature, nowMs);
  return state ? {[SUSPICION_HEADER]: `${signature} ${state}`} : {};
}

/** Applies the suspicion header of another router; ignores a malformed one. */
export function applySuspicion(kernel: core.Kernel, value: unknown): void {
  if (typeof value !== 'string') return;
  const [signature = '', state] = value.split(' ');
  if (state !== 'suspect' && state !== 'condemned') return;
  const validMs = STATE_VALIDITY_MS[state];
  const nowMs = kernel.find(core.CLOCK).nowMs();
  kernel.find(SUSPECTS).applyRemote({signature, state, validMs}, nowMs);
}

/** Recent state changes of suspect requests, for the digests. */
export interface SuspectNotes {
  /** The recent changes, which the next digest carries. */
  notes(nowMs: number): readonly decide.SuspectNote[];
}

/** The contract under which the suspect notes are registered. */
export const SUSPECT_NOTES = core.contract<SuspectNotes>('suspect-notes', [
  'notes',
]);

/** How long a change is repeated, since a digest may be lost. */
const NOTE_REPEAT_MS = 3_000;

/** Repeats each change of the suspect tracker for a limited time. */
export class RepeatedNotes implements SuspectNotes {
  private recent: Array<{note: decide.SuspectNote; atMs: number}> = [];

  constructor(private readonly kernel: core.Kernel) {}

  notes(nowMs: number): readonly decide.SuspectNote[] {
    const changes = this.kernel.find(SUSPECTS).takeChanges(nowMs);
    const changed = new Set(changes.map(note => note.signature));
    this.recent = this.recent
      .filter(item => nowMs - item.atMs < NOTE_REPEAT_MS)
      .filter(item => !changed.has(item.note.signature));
    this.recent.push(...changes.map(note => ({note, atMs: nowMs})));
    return this.recent.map(item => item.note);
  }
}
