/**
 * Suspects: requests under which an endpoint crashed. A signature names a
 * request by customer, route and body, so that a resend has the same one.
 */

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
