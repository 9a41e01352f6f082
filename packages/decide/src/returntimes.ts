/**
 * When callers of refused requests are told to come back: when room is
 * expected, spread so that they do not all come back at once, and within the
 * time for which a caller waits at all.
 */
import type * as core from '@oleanderrock/core';

/** What is known when a request is refused. */
export interface ReturnQuestion {
  /** When room is expected, in ms; absent if unknown. */
  readonly expectedMs?: number;
  /** Time before which no endpoint takes a request, in ms; absent if none. */
  readonly notBeforeMs?: number;
  /** Time until the deadline, in ms. */
  readonly remainingMs: number;
}

/** Decides when callers come back. */
export interface ReturnTimes {
  /** Time after which the caller is to send the request again, in ms. */
  retryAfterMs(question: ReturnQuestion): number;
}

/** Time if nothing is known, in ms: long enough for queues to shorten. */
const UNKNOWN_MS = 300;

/** Shortest time, in ms: a router has to hear of the room before. */
const MIN_MS = 50;

/** Share of the remaining time for which callers wait at most. */
const MAX_SHARE = 1 / 3;

/**
 * Length of the span over which callers come back, as a share of the time, and
 * at most, in ms.
 */
const SPREAD_SHARE = 0.75;
const MAX_SPREAD_MS = 300;

/**
 * Spreads evenly from the expected time on. Only a time that endpoints named is
 * told even if the caller will not wait so long.
 */
export class SpreadReturnTimes implements ReturnTimes {
  constructor(private readonly random: core.Random) {}

  retryAfterMs(question: ReturnQuestion): number {
    const {expectedMs = UNKNOWN_MS, notBeforeMs = 0, remainingMs} = question;
    const maxMs = Math.max(0, remainingMs) * MAX_SHARE;
    // Where the caller cannot wait so long, it comes back in the last part of
    // the time for which it can.
    const latestFromMs = maxMs / (1 + SPREAD_SHARE);
    const roomMs = Math.max(MIN_MS, expectedMs);
    const fromMs = Math.max(notBeforeMs, Math.min(roomMs, latestFromMs));
    const spreadMs = Math.min(MAX_SPREAD_MS, fromMs * SPREAD_SHARE);
    return Math.ceil(fromMs + spreadMs * this.random.nextFloat());
  }
}

/** Baseline: always the same time, if endpoints named none. */
export class FixedReturnTimes implements ReturnTimes {
  retryAfterMs({notBeforeMs = UNKNOWN_MS}: ReturnQuestion): number {
    return notBeforeMs;
  }
}
