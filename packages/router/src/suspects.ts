/** The book of suspect requests as a service, and requests' signatures. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';

/** The contract under which the suspects are registered. */
export const SUSPECTS = core.contract<decide.SuspectBook>('suspects', [
  'check',
  'began',
  'ended',
  'crashed',
]);

const VALID_MS = {
  suspect: decide.DEFAULT_SUSPECT_MS,
  condemned: decide.DEFAULT_CONDEMNED_MS,
} as const;

const signatures = new WeakMap<exchange.RouterRequest, string>();

/** The signature of a request; a resend has the same one. */
export function sign(
  request: exchange.RouterRequest,
  route: core.Route,
): string {
  const known = signatures.get(request);
  if (known) return known;
  const made = decide.signature({
    customer: request.customer,
    route: route.name,
    body: request.body.toString('latin1'),
    key: request.key,
  });
  signatures.set(request, made);
  return made;
}

/** Between routers, with a request or a refusal: what is held against it. */
export const SUSPICION = 'oleander-suspicion';

/** The mark for a request under suspicion; digests would come too late. */
export function mark(
  kernel: core.Kernel,
  request: exchange.RouterRequest,
): Record<string, string> {
  const signature = signatures.get(request);
  if (signature === undefined) return {};
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const state = kernel.find(SUSPECTS).state(signature, nowMs);
  return state ? {[SUSPICION]: `${signature} ${state}`} : {};
}

/** Takes in the mark of another router. */
export function heed(kernel: core.Kernel, value: unknown): void {
  if (typeof value !== 'string') return;
  const [signature = '', state] = value.split(' ');
  if (state !== 'suspect' && state !== 'condemned') return;
  const validMs = VALID_MS[state];
  const nowMs = kernel.find(core.CLOCK).nowMs();
  kernel.find(SUSPECTS).learn({signature, state, validMs}, nowMs);
}

/** Notes on suspects for the digests of the next seconds. */
export interface SuspectNotes {
  notes(nowMs: number): readonly decide.SuspectNote[];
}

/** The contract under which the notes are registered. */
export const SUSPECT_NOTES = core.contract<SuspectNotes>('suspect-notes', [
  'notes',
]);

/** How long a change is repeated in digests, which may get lost. */
const REPEAT_MS = 3_000;

/** Repeats each change of the book for a while. */
export class RepeatedNotes implements SuspectNotes {
  private recent: Array<{note: decide.SuspectNote; atMs: number}> = [];

  constructor(private readonly kernel: core.Kernel) {}

  notes(nowMs: number): readonly decide.SuspectNote[] {
    const changes = this.kernel.find(SUSPECTS).changes(nowMs);
    const changed = new Set(changes.map(note => note.signature));
    this.recent = this.recent
      .filter(item => nowMs - item.atMs < REPEAT_MS)
      .filter(item => !changed.has(item.note.signature));
    this.recent.push(...changes.map(note => ({note, atMs: nowMs})));
    return this.recent.map(item => item.note);
  }
}
