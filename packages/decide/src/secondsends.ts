/**
 * When a request that may be repeated is sent to a second endpoint while the
 * first still holds it: when it takes longer than the route's own times explain.
 * The second sends of a pool are a small share of its requests, so that a pool
 * that is slow as a whole gets hardly more of them, and their slow times raise
 * what counts as long.
 */
import type * as startEstimates from './startestimates.js';

/** The requests whose times are alike. */
export interface RouteOfPool {
  readonly pool: string;
  readonly route: string;
}

/** Decides on second sends. */
export interface SecondSends {
  /** Whether there are any. */
  readonly isOn: boolean;
  /** Records that a request was sent that could be sent a second time. */
  recordSend(pool: string): void;
  /** Records the time until the answer began, or the wait for it ended. */
  recordAnswer(kind: RouteOfPool, elapsedMs: number): void;
  /**
   * Time after the first send at which the second is due, in ms; undefined for
   * no second send.
   */
  delayMs(
    kind: RouteOfPool,
    estimate?: startEstimates.StartEstimate,
  ): number | undefined;
  /** Takes one second send; false if too many were sent lately. */
  trySpend(pool: string): boolean;
}

/** Share of the requests of a pool that are sent a second time at most. */
const MAX_SHARE = 0.05;

/** Second sends that may follow one another at once. */
const MAX_BURST = 3;

/** Answers of a route from which its times count as known. */
const MIN_ANSWERS = 8;

/** Maximum number of routes whose times are kept. */
const MAX_ROUTES = 1_024;

/** Weights of a new time in the mean and in the mean deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Mean deviations above the mean from which a time is unusual. */
const UNUSUAL_DEVIATIONS = 4;

/** Multiple of the estimate below which no time is unusual. */
const ESTIMATE_MULTIPLE = 2;

/** Shortest delay, in ms: below, a second send gains nothing. */
const MIN_DELAY_MS = 30;

interface RouteTimes {
  answers: number;
  meanMs: number;
  deviationMs: number;
}

/** Learns mean and mean deviation of the times of each route. */
export class UnusualTimeSecondSends implements SecondSends {
  /** By pool and route, in the order in which they were first seen. */
  private readonly timesByKind = new Map<string, RouteTimes>();
  /** Second sends that each pool may make now. */
  private readonly creditByPool = new Map<string, number>();

  /** @param isCalledFor whether endpoints are so uneven that they help */
  constructor(private readonly isCalledFor: () => boolean = () => true) {}

  get isOn(): boolean {
    return this.isCalledFor();
  }

  recordSend(pool: string): void {
    const credit = this.creditByPool.get(pool) ?? 0;
    this.creditByPool.set(pool, Math.min(MAX_BURST, credit + MAX_SHARE));
  }

  recordAnswer(kind: RouteOfPool, elapsedMs: number): void {
    const times = this.timesOf(kind);
    times.answers += 1;
    if (times.answers === 1) {
      times.meanMs = elapsedMs;
      times.deviationMs = elapsedMs / 2;
      return;
    }
    // A single outlier moves the limit by little.
    const sampleMs = Math.min(elapsedMs, 2 * limitOf(times));
    const errorMs = sampleMs - times.meanMs;
    times.meanMs += MEAN_WEIGHT * errorMs;
    times.deviationMs +=
      DEVIATION_WEIGHT * (Math.abs(errorMs) - times.deviationMs);
  }

  delayMs(
    kind: RouteOfPool,
    estimate?: startEstimates.StartEstimate,
  ): number | undefined {
    const times = this.timesByKind.get(keyOf(kind));
    if (!times || times.answers < MIN_ANSWERS) return undefined;
    const estimatedMs = (estimate?.firstEventMs ?? 0) * ESTIMATE_MULTIPLE;
    return Math.max(MIN_DELAY_MS, limitOf(times), estimatedMs);
  }

  trySpend(pool: string): boolean {
    const credit = this.creditByPool.get(pool) ?? 0;
    if (credit < 1) return false;
    this.creditByPool.set(pool, credit - 1);
    return true;
  }

  private timesOf(kind: RouteOfPool): RouteTimes {
    const key = keyOf(kind);
    let times = this.timesByKind.get(key);
    if (times) return times;
    times = {answers: 0, meanMs: 0, deviationMs: 0};
    this.timesByKind.set(key, times);
    if (this.timesByKind.size > MAX_ROUTES) {
      const [oldest] = this.timesByKind.keys();
      this.timesByKind.delete(oldest!);
    }
    return times;
  }
}

function keyOf({pool, route}: RouteOfPool): string {
  return `${pool} ${route}`;
}

function limitOf({meanMs, deviationMs}: RouteTimes): number {
  return meanMs + UNUSUAL_DEVIATIONS * deviationMs;
}

/** Baseline: no second sends. */
export class NoSecondSends implements SecondSends {
  readonly isOn = false;

  recordSend(): void {}

  recordAnswer(): void {}

  delayMs(): undefined {}

  trySpend(): boolean {
    return false;
  }
}
