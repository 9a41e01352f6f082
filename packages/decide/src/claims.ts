/**
 * Claims: which attempt may run a call that must not run twice. The book is a
 * function of one claim stream's entries in offset order.
 */
import type * as core from '@oleanderrock/core';

/** What is known of a key. */
export type ClaimState =
  | {readonly type: 'unclaimed'}
  | {
      readonly type: 'running' | 'answered';
      /** The attempt whose claim stands at the lowest offset. */
      readonly attempt: string;
      readonly offset: number;
    };

/** Whether a key may be claimed, by its time alone. */
export type KeyVerdict = 'fresh' | 'invalid' | 'expired' | 'from_future';

/** Book of the claims on one stream. */
export interface ClaimBook {
  /** Takes in the record at an offset; a lower offset than seen is ignored. */
  apply(offset: number, batch: core.ClaimBatch, wallMs: number): void;
  /** What the entries up to the newest offset say of the key. */
  state(key: string): ClaimState;
  /** Forgets keys that `check` would call expired. */
  expire(wallMs: number): void;
  /** Whether a key's time allows a claim. */
  check(key: string, wallMs: number): KeyVerdict;
  /** The next offset that the book has not taken in. */
  readonly nextOffset: number;
  readonly size: number;
}
