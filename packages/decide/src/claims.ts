/**
 * Claims: which attempt may run a call that must not run twice. The book is a
 * function of one claim stream's entries in offset order.
 */
import * as core from '@oleanderrock/core';

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
  /**
   * Notes that records written up to a wall-clock time were dropped unread:
   * keys that they may have claimed count as expired.
   */
  miss(writtenMs: number): void;
  /** Forgets keys that `check` would call expired. */
  expire(wallMs: number): void;
  /** Whether a key's time allows a claim. */
  check(key: string, wallMs: number): KeyVerdict;
  /** The next offset that the book has not taken in. */
  readonly nextOffset: number;
  readonly size: number;
}

/** How old a key may be, in ms, if not told. */
export const DEFAULT_WINDOW_MS = 600_000;

/** How far ahead of the wall clock a key's time may be, in ms, if not told. */
export const DEFAULT_FUTURE_MS = 30_000;

/** How long a key is remembered after it has expired. */
const EXPIRY_MARGIN_MS = 60_000;

/** Difference between the clocks of routers and log that `miss` allows for. */
const SKEW_MS = 5_000;

/** Keys are forgotten together with those made in the same time span. */
const SPAN_MS = 30_000;

/** Options of the books of claims. */
export interface ClaimBookOptions {
  readonly windowMs?: number;
  readonly futureMs?: number;
}

interface Claim {
  holder: string | undefined;
  offset: number;
  isAnswered: boolean;
  /** Attempts that can never hold the key: they lost it or gave it back. */
  spent: string[];
}

const UNCLAIMED: ClaimState = {type: 'unclaimed'};

function describe(claim: Claim | undefined): ClaimState {
  if (claim?.holder === undefined) return UNCLAIMED;
  const type = claim.isAnswered ? 'answered' : 'running';
  return {type, attempt: claim.holder, offset: claim.offset};
}

/**
 * Claims in the order of the log. An attempt has one chance at a key: once its
 * claim has met a holder, or it has given the key back, no later record makes
 * it the holder, since its router was told or will be told that it lost. So a
 * release that overtakes its own claim on the log ends that attempt too.
 *
 * What was forgotten stays refused: `check` calls a key expired when its
 * claims may have been dropped, even where the wall clock was set back since.
 *
 * Keys are compared in lower case, as UUIDs are the same in either case.
 */
export class StreamClaimBook implements ClaimBook {
  private readonly windowMs: number;
  private readonly futureMs: number;
  /** Claims by key, grouped by the span of time in which the key was made. */
  private readonly spans = new Map<number, Map<string, Claim>>();
  /** Claims on keys made before this may have been forgotten. */
  private forgottenMs = 0;
  private next = 0;

  constructor({
    windowMs = DEFAULT_WINDOW_MS,
    futureMs = DEFAULT_FUTURE_MS,
  }: ClaimBookOptions = {}) {
    this.windowMs = windowMs;
    this.futureMs = futureMs;
  }

  get nextOffset(): number {
    return this.next;
  }

  get size(): number {
    let total = 0;
    for (const claims of this.spans.values()) total += claims.size;
    return total;
  }

  apply(offset: number, batch: core.ClaimBatch, wallMs: number): void {
    if (offset < this.next) return;
    this.next = offset + 1;
    this.expire(wallMs);
    for (const entry of batch.entries) this.take(entry, offset);
  }

  state(key: string): ClaimState {
    const lowered = key.toLowerCase();
    if (!core.isTimed(lowered)) return UNCLAIMED;
    return describe(this.spans.get(spanOf(lowered))?.get(lowered));
  }

  expire(wallMs: number): void {
    const cutoff = wallMs - this.windowMs - EXPIRY_MARGIN_MS;
    if (cutoff <= this.forgottenMs) return;
    this.forgottenMs = cutoff;
    for (const span of this.spans.keys()) {
      if ((span + 1) * SPAN_MS <= cutoff) this.spans.delete(span);
    }
  }

  miss(writtenMs: number): void {
    const untilMs = writtenMs + this.futureMs + SKEW_MS;
    this.forgottenMs = Math.max(this.forgottenMs, untilMs);
  }

  check(key: string, wallMs: number): KeyVerdict {
    if (!core.isTimed(key)) return 'invalid';
    const createdMs = core.createdMs(key);
    if (createdMs < this.forgottenMs) return 'expired';
    if (wallMs - createdMs > this.windowMs) return 'expired';
    if (createdMs - wallMs > this.futureMs) return 'from_future';
    return 'fresh';
  }

  private take(entry: core.ClaimEntry, offset: number): void {
    const key = entry.key.toLowerCase();
    if (!core.isTimed(key)) return;
    if (core.createdMs(key) < this.forgottenMs) return;
    const claim = this.claimOf(key);
    const isHolder = claim.holder === entry.attempt;
    if (entry.type === 'claim') {
      if (!isHolder) compete(claim, entry.attempt, offset);
    } else if (entry.type === 'answered') {
      if (isHolder) claim.isAnswered = true;
    } else {
      giveUp(claim, entry.attempt);
    }
  }

  private claimOf(key: string): Claim {
    const span = spanOf(key);
    const claims = this.spans.get(span) ?? new Map<string, Claim>();
    this.spans.set(span, claims);
    const known = claims.get(key);
    if (known) return known;
    const claim = {holder: undefined, offset: 0, isAnswered: false, spent: []};
    claims.set(key, claim);
    return claim;
  }
}

function spanOf(key: string): number {
  return Math.floor(core.createdMs(key) / SPAN_MS);
}

function spend(claim: Claim, attempt: string): void {
  if (!claim.spent.includes(attempt)) claim.spent = [...claim.spent, attempt];
}

function compete(claim: Claim, attempt: string, offset: number): void {
  if (claim.spent.includes(attempt)) return;
  if (claim.holder !== undefined) {
    spend(claim, attempt);
    return;
  }
  claim.holder = attempt;
  claim.offset = offset;
}

function giveUp(claim: Claim, attempt: string): void {
  if (claim.holder !== attempt) {
    spend(claim, attempt);
    return;
  }
  if (claim.isAnswered) return;
  spend(claim, attempt);
  claim.holder = undefined;
}

/**
 * The first claim that this router saw wins, whatever the log's order: two
 * routers that each see their own claim first both run the call.
 */
export class NaiveClaimBook implements ClaimBook {
  private readonly claims = new Map<string, Claim>();
  private next = 0;

  get nextOffset(): number {
    return this.next;
  }

  get size(): number {
    return this.claims.size;
  }

  apply(offset: number, batch: core.ClaimBatch): void {
    this.next = Math.max(this.next, offset + 1);
    for (const {type, key, attempt} of batch.entries) {
      const claim = this.claims.get(key);
      if (!claim && type === 'claim') {
        const first = {holder: attempt, offset, isAnswered: false, spent: []};
        this.claims.set(key, first);
      }
      if (claim?.holder !== attempt) continue;
      if (type === 'release') this.claims.delete(key);
      if (type === 'answered') claim.isAnswered = true;
    }
  }

  state(key: string): ClaimState {
    return describe(this.claims.get(key));
  }

  miss(): void {}

  expire(): void {}

  check(key: string): KeyVerdict {
    return core.isTimed(key) ? 'fresh' : 'invalid';
  }
}
