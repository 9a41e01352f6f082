/** What an endpoint ran: counts, keys, and how much ran at the same time. */
import type * as core from '@oleanderrock/core';

const MAX_ADMISSIONS = 100_000;

/** One start of a request, with what ran after it. */
export interface Admission {
  /** Wall-clock time in ms since 1970. */
  readonly at_ms: number;
  readonly in_flight: number;
  /** Requests that waited inside the endpoint at that time. */
  readonly queued: number;
}

/** Whose run it is. */
export interface RunOwner {
  readonly requestId?: string;
  readonly key?: string;
}

/** How a run ended. */
export type Ending = 'finished' | 'cut';

function increment(counts: Map<string, number>, name: string): number {
  const count = (counts.get(name) ?? 0) + 1;
  counts.set(name, count);
  return count;
}

/** Counts of an endpoint's runs. */
export class Runs {
  private readonly byRequest = new Map<string, number>();
  private readonly byKey = new Map<string, number>();
  private readonly admissions: Admission[] = [];
  private readonly ended: Record<Ending, number> = {finished: 0, cut: 0};
  private started = 0;
  private abandoned = 0;
  private maxInFlight = 0;
  private maxCarried = 0;

  constructor(private readonly clock: core.Clock) {}

  /** Requests that run now. */
  get inFlight(): number {
    return this.started - this.ended.finished - this.ended.cut;
  }

  /** Counts a start and returns which run of its key it is. */
  start(owner: RunOwner, queued: number): number {
    this.started += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    this.carry(queued);
    this.admit(queued);
    if (owner.requestId) increment(this.byRequest, owner.requestId);
    return owner.key ? increment(this.byKey, owner.key) : 1;
  }

  /** Notes how many requests wait besides those that run. */
  carry(queued: number): void {
    this.maxCarried = Math.max(this.maxCarried, this.inFlight + queued);
  }

  /** Counts the end of a run. */
  end(ending: Ending): void {
    this.ended[ending] += 1;
  }

  /** Counts a request whose caller left before it started. */
  abandon(): void {
    this.abandoned += 1;
  }

  /** All counts; `isBrief` leaves out those that grow with time. */
  stats(isBrief: boolean): object {
    const counts = {
      started: this.started,
      ...this.ended,
      abandoned: this.abandoned,
      in_flight: this.inFlight,
      max_in_flight: this.maxInFlight,
      max_carried: this.maxCarried,
    };
    if (isBrief) return counts;
    return {
      ...counts,
      admissions: this.admissions,
      runs_by_request: Object.fromEntries(this.byRequest),
      runs_by_key: Object.fromEntries(this.byKey),
    };
  }

  private admit(queued: number): void {
    if (this.admissions.length >= MAX_ADMISSIONS) return;
    this.admissions.push({
      at_ms: this.clock.wallClockMs(),
      in_flight: this.inFlight,
      queued,
    });
  }
}
