/**
 * Claims: which attempt may run a call that must not run twice. The state is a
 * pure function of the entries of one claim stream, in offset order.
 */
import * as core from '@oleanderrock/core';

/** State of an idempotency key. */
export type ClaimState =
  | {readonly type: 'unclaimed'}
  | {
      readonly type: 'running' | 'answered';
      /** The attempt that holds the key. */
      readonly attempt: string;
      /** Log offset of the claim that won. */
      readonly offset: number;
    };

/** Whether a key may be claimed, judged by its creation time alone. */
export type KeyVerdict = 'fresh' | 'invalid' | 'expired' | 'from_future';

/** The claims on one log stream. */
export interface ClaimRegistry {
  /** Applies the record at `offset`; one below `nextOffset` is ignored. */
  apply(offset: number, batch: core.ClaimBatch, wallMs: number): void;
  /** State of the key after all applied entries. */
  state(key: string): ClaimState;
  /**
   * Marks all entries written up to `writtenMs` (wall clock) as lost: the log
   * dropped them before they were read. Keys that they may have claimed count
   * as expired from now on.
   */
  markLost(writtenMs: number): void;
  /** Removes keys that expired more than a grace period ago. */
  expire(wallMs: number): void;
  /** Whether the key's creation time allows a claim. */
  check(key: string, wallMs: number): KeyVerdict;
  /** The lowest offset that has not been applied. */
  readonly nextOffset: number;
  /** Number of keys held. */
  readonly size: number;
}

/** Default maximum age of a key, in ms. */
export const DEFAULT_KEY_MAX_AGE_MS = 600_000;

/** Default of how far a key's time may be ahead of the wall clock, in ms. */
export const DEFAULT_KEY_MAX_LEAD_MS = 30_000;

/** How long a key is kept after it has expired, in ms. */
const KEEP_EXPIRED_MS = 60_000;

/** Largest assumed difference between a router's clock and the log's, in ms. */
const MAX_CLOCK_SKEW_MS = 5_000;

/** Length of the creation-time spans by which keys are grouped, in ms. */
const SPAN_MS = 30_000;

/** Options of `StreamClaimRegistry`. */
export interface ClaimRegistryOptions {
  /** Maximum age of a key. */
  readonly maxAgeMs?: number;
  /** How far a key's creation time may be ahead of the wall clock. */
  readonly maxLeadMs?: number;
}

interface Claim {
  holder: string | undefined;
  offset: number;
  isAnswered: boolean;
  /** Attempts that lost or released the key, and so can no longer hold it. */
  ended: string[];
}

const UNCLAIMED: ClaimState = {type: 'unclaimed'};

function toState(claim: Claim | undefined): ClaimState {
  if (claim?.holder === undefined) return UNCLAIMED;
  const type = claim.isAnswered ? 'answered' : 'running';
  return {type, attempt: claim.holder, offset: claim.offset};
}

/**
 * Applies claims in log order. An attempt that lost a key to another holder, or
 * released it, never becomes the holder later, since its router has already
 * acted on that. This also holds if the release reaches the log before the
 * attempt's own claim.
 *
 * A key whose claims may have been removed stays expired, even if the wall
 * clock is set back afterwards.
 *
 * Keys are compared in lower case, since UUIDs are case-insensitive.
 */
export class StreamClaimRegistry implements ClaimRegistry {
  private readonly maxAgeMs: number;
  private readonly maxLeadMs: number;
  /** Claims by key, grouped by the time span in which the key was created. */
  private readonly bySpan = new Map<number, Map<string, Claim>>();
  /** Claims on keys created before this time may have been removed or lost. */
  private incompleteUntilMs = 0;
  private nextUnapplied = 0;

  constructor({
    maxAgeMs = DEFAULT_KEY_MAX_AGE_MS,
    maxLeadMs = DEFAULT_KEY_MAX_LEAD_MS,
  }: ClaimRegistryOptions = {}) {
    this.maxAgeMs = maxAgeMs;
    this.maxLeadMs = maxLeadMs;
  }

  get nextOffset(): number {
    return this.nextUnapplied;
  }

  get size(): number {
    let total = 0;
    for (const claims of this.bySpan.values()) total += claims.size;
    return total;
  }

  apply(offset: number, batch: core.ClaimBatch, wallMs: number): void {
    if (offset < this.nextUnapplied) return;
    this.nextUnapplied = offset + 1;
    this.expire(wallMs);
    for (const entry of batch.entries) this.applyEntry(entry, offset);
  }

  state(key: string): ClaimState {
    const lowered = key.toLowerCase();
    if (!core.isUuidV7(lowered)) return UNCLAIMED;
    return toState(this.bySpan.get(spanIndex(lowered))?.get(lowered));
  }

  expire(wallMs: number): void {
    const expiredUntilMs = wallMs - this.maxAgeMs - KEEP_EXPIRED_MS;
    if (expiredUntilMs <= this.incompleteUntilMs) return;
    this.incompleteUntilMs = expiredUntilMs;
    for (const span of this.bySpan.keys()) {
      if ((span + 1) * SPAN_MS <= expiredUntilMs) this.bySpan.delete(span);
    }
  }

  markLost(writtenMs: number): void {
    const createdUntilMs = writtenMs + this.maxLeadMs + MAX_CLOCK_SKEW_MS;
    this.incompleteUntilMs = Math.max(this.incompleteUntilMs, createdUntilMs);
  }

  check(key: string, wallMs: number): KeyVerdict {
    if (!core.isUuidV7(key)) return 'invalid';
    const createdMs = core.creationTimeMs(key);
    if (createdMs < this.incompleteUntilMs) return 'expired';
    if (wallMs - createdMs > this.maxAgeMs) return 'expired';
    if (createdMs - wallMs > this.maxLeadMs) return 'from_future';
    return 'fresh';
  }

  private applyEntry(entry: core.ClaimEntry, offset: number): void {
    const key = entry.key.toLowerCase();
    if (!core.isUuidV7(key)) return;
    if (core.creationTimeMs(key) < this.incompleteUntilMs) return;
    const claim = this.findOrCreateClaim(key);
    const isHolder = claim.holder === entry.attempt;
    if (entry.type === 'claim') {
      if (!isHolder) claimKey(claim, entry.attempt, offset);
    } else if (entry.type === 'answered') {
      if (isHolder) claim.isAnswered = true;
    } else {
      releaseKey(claim, entry.attempt);
    }
  }

  private findOrCreateClaim(key: string): Claim {
    const span = spanIndex(key);
    const claims = this.bySpan.get(span) ?? new Map<string, Claim>();
    this.bySpan.set(span, claims);
    const existing = claims.get(key);
    if (existing) return existing;
    const claim = {
      holder: undefined,
      offset: 0,
      isAnswered: false,
      ended: [],
    };
    claims.set(key, claim);
    return claim;
  }
}

function spanIndex(key: string): number {
  return Math.floor(core.creationTimeMs(key) / SPAN_MS);
}

function disqualify(claim: Claim, attempt: string): void {
  if (!claim.ended.includes(attempt)) claim.ended = [...claim.ended, attempt];
}

function claimKey(claim: Claim, attempt: string, offset: number): void {
  if (claim.ended.includes(attempt)) return;
  if (claim.holder !== undefined) {
    disqualify(claim, attempt);
    return;
  }
  claim.holder = attempt;
  claim.offset = offset;
}

function releaseKey(claim: Claim, attempt: string): void {
  if (claim.holder !== attempt) {
    disqualify(claim, attempt);
    return;
  }
  if (claim.isAnswered) return;
  disqualify(claim, attempt);
  claim.holder = undefined;
}

/**
 * Baseline that ignores the log's order: the first claim that this router reads
 * wins, so two routers that each read their own claim first both run the call.
 */
export class NaiveClaimRegistry implements ClaimRegistry {
  private readonly claims = new Map<string, Claim>();
  private nextUnapplied = 0;

  get nextOffset(): number {
    return this.nextUnapplied;
  }

  get size(): number {
    return this.claims.size;
  }

  apply(offset: number, batch: core.ClaimBatch): void {
    this.nextUnapplied = Math.max(this.nextUnapplied, offset + 1);
    for (const {type, key, attempt} of batch.entries) {
      const claim = this.claims.get(key);
      if (!claim && type === 'claim') {
        const newClaim = {
          holder: attempt,
          offset,
          isAnswered: false,
          ended: [],
        };
        this.claims.set(key, newClaim);
      }
      if (claim?.holder !== attempt) continue;
      if (type === 'release') this.claims.delete(key);
      if (type === 'answered') claim.isAnswered = true;
    }
  }

  state(key: string): ClaimState {
    return toState(this.claims.get(key));
  }

  markLost(): void {}

  expire(): void {}

  check(key: string): KeyVerdict {
    return core.isUuidV7(key) ? 'fresh' : 'invalid';
  }
}
