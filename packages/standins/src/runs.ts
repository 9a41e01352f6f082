/** Counters of an endpoint's runs by outcome, request id and key. */
import type * as core from '@oleanderrock/core';

const MAX_ADMISSIONS = 100_000;

/** Start of a run, with the number of requests in flight including it. */
export interface Admission {
  /** Wall-clock time in ms since 1970. */
  readonly at_ms: number;
  readonly in_flight: number;
  /** Requests queued inside the endpoint at that time. */
  readonly queued: number;
}

/** Ids that a run is counted under. */
export interface RunIdentity {
  readonly requestId?: string;
  readonly key?: string;
}

/** How a run ended: its answer was sent completely, or cut off. */
export type RunEnd = 'finished' | 'cut';

function increment(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

/** Counts an endpoint's runs. */
export class RunCounts {
  private readonly runsByRequest = new Map<string, number>();
  private readonly runsByKey = new Map<string, number>();
  private readonly admissions: Admission[] = [];
  private readonly endedCounts: Record<RunEnd, number> = {finished: 0, cut: 0};
  private startedCount = 0;
  private abandonedCount = 0;
  private maxInFlight = 0;
  private maxOutstanding = 0;

  constructor(private readonly clock: core.Clock) {}

  /** Number of requests that are running. */
  get inFlight(): number {
    return this.startedCount - this.endedCounts.finished - this.endedCounts.cut;
  }

  /** Counts a start; returns the number of runs of its key so far. */
  noteStart(identity: RunIdentity, queued: number): number {
    this.startedCount += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    this.noteOutstanding(queued);
    this.recordAdmission(queued);
    if (identity.requestId) increment(this.runsByRequest, identity.requestId);
    return identity.key ? increment(this.runsByKey, identity.key) : 1;
  }

  /** Updates the maximum of running and queued requests together. */
  noteOutstanding(queued: number): void {
    this.maxOutstanding = Math.max(this.maxOutstanding, this.inFlight + queued);
  }

  /** Counts the end of a run. */
  noteEnd(runEnd: RunEnd): void {
    this.endedCounts[runEnd] += 1;
  }

  /** Counts a request whose caller disconnected before it started. */
  noteAbandoned(): void {
    this.abandonedCount += 1;
  }

  /** All counters; `isBrief` omits those whose size grows. */
  stats(isBrief: boolean): object {
    const counts = {
      started: this.startedCount,
      ...this.endedCounts,
      abandoned: this.abandonedCount,
      in_flight: this.inFlight,
      max_in_flight: this.maxInFlight,
      max_carried: this.maxOutstanding,
    };
    if (isBrief) return counts;
    return {
      ...counts,
      admissions: this.admissions,
      runs_by_request: Object.fromEntries(this.runsByRequest),
      runs_by_key: Object.fromEntries(this.runsByKey),
    };
  }

  private recordAdmission(queued: number): void {
    if (this.admissions.length >= MAX_ADMISSIONS) return;
    this.admissions.push({
      at_ms: this.clock.wallClockMs(),
      in_flight: this.inFlight,
      queued,
    });
  }
}
