/**
 * How long requests of a pool wait: the rate at which room comes while requests
 * wait, and from it whether a request can still be answered in its time, or is
 * better told at once when to come back.
 */
import type * as startEstimates from './startestimates.js';

/** Rate at which waiting requests find room. */
export interface RoomRate {
  /** Records that requests begin to wait. */
  recordStart(nowMs: number): void;
  /** Records that a waiting request found room. */
  recordRoom(nowMs: number): void;
  /** Undefined as long as too little was seen. */
  perSecond(nowMs: number): number | undefined;
}

/** Time after which what was seen counts half, in ms. */
const HALF_LIFE_MS = 1_000;

/** Time for which requests have to wait before the rate is known, in ms. */
const MIN_SEEN_MS = 100;

/** Age at which a rate of before says nothing of a new wait, in ms. */
const MAX_AGE_MS = 10_000;

/** Counts with exponential forgetting, over the time in which requests wait. */
export class DecayingRoomRate implements RoomRate {
  private rooms = 0;
  private seenMs = 0;
  private updatedAtMs = Number.NEGATIVE_INFINITY;

  recordStart(nowMs: number): void {
    if (nowMs - this.updatedAtMs > MAX_AGE_MS) {
      this.rooms = 0;
      this.seenMs = 0;
    }
    this.updatedAtMs = nowMs;
  }

  recordRoom(nowMs: number): void {
    this.advance(nowMs);
    this.rooms += 1;
  }

  perSecond(nowMs: number): number | undefined {
    this.advance(nowMs);
    if (this.seenMs < MIN_SEEN_MS) return undefined;
    // One more than was seen, since a first room may be about to come.
    return ((this.rooms + 1) * 1_000) / this.seenMs;
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.rooms *= factor;
    // Sum of the elapsed times, each weighted like a room at that time.
    const addedMs = (HALF_LIFE_MS / Math.LN2) * (1 - factor);
    this.seenMs = this.seenMs * factor + addedMs;
    this.updatedAtMs = nowMs;
  }
}

/** What is known of a request that would wait. */
export interface WaitQuestion {
  /** Time until the deadline, in ms. */
  readonly remainingMs: number;
  /** Number of requests that go before it. */
  readonly aheadCount: number;
  /** Rate at which waiting requests find room; absent if unknown. */
  readonly roomsPerSecond?: number;
  /** Time before which no endpoint takes a request, in ms; absent if none. */
  readonly notBeforeMs?: number;
  /** Estimate for an endpoint that has room; absent if unknown. */
  readonly estimate?: startEstimates.StartEstimate;
}

/** Whether a request waits. */
export interface WaitDecision {
  /** Longest time to wait, in ms; 0 to refuse at once. */
  readonly maxWaitMs: number;
  /** When room is expected, in ms; absent if unknown. */
  readonly expectedMs?: number;
}

/** Decides whether and how long requests wait. */
export interface WaitPolicy {
  decide(question: WaitQuestion): WaitDecision;
}

/** Share of the remaining time that a request waits at most. */
const MAX_WAIT_SHARE = 0.5;

/**
 * Longest wait, in ms: callers give a stream up that is silent for 2 s, and an
 * endpoint needs some of that.
 */
const MAX_WAIT_MS = 1_000;

/** Remaining time from which a request may wait, in ms. */
const MIN_REMAINING_MS = 50;

/**
 * Lets a request wait for up to half of its remaining time, so that the other
 * half is left for an endpoint, or to come back; refuses it at once if room is
 * not expected until then.
 */
export class TimelyWaitPolicy implements WaitPolicy {
  decide(question: WaitQuestion): WaitDecision {
    const {remainingMs, estimate} = question;
    const expectedMs = expectedRoomMs(question);
    if (remainingMs < MIN_REMAINING_MS) return {maxWaitMs: 0, expectedMs};
    const latestMs = remainingMs - (estimate?.firstEventMs ?? 0);
    const maxWaitMs = Math.max(
      0,
      Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE, latestMs),
    );
    const isTooLate = expectedMs !== undefined && expectedMs > maxWaitMs;
    return {maxWaitMs: isTooLate ? 0 : maxWaitMs, expectedMs};
  }
}

/** When room is expected, in ms; undefined if unknown. */
function expectedRoomMs({
  aheadCount,
  roomsPerSecond,
  notBeforeMs,
}: WaitQuestion): number | undefined {
  if (roomsPerSecond === undefined) return notBeforeMs;
  const turnMs = ((aheadCount + 1) * 1_000) / roomsPerSecond;
  return Math.max(turnMs, notBeforeMs ?? 0);
}

/** Baseline: no request waits. */
export class NoWaitPolicy implements WaitPolicy {
  decide(): WaitDecision {
    return {maxWaitMs: 0};
  }
}
