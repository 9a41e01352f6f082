/**
 * Records when requests were sent and when endpoints began and finished their
 * answers, so that estimates are learned from it. Compares the estimates with
 * what came true: in a histogram, and now and then in one log line for each
 * pool.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import * as decisions from './decisions.js';
import * as routedRequest from './routedrequest.js';

/** Ratios of the true time until the first event to the estimated one. */
const RATIO_BUCKETS = [0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 3, 5, 10];

/** Interval between the log lines of a pool, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** Pools that have log lines. */
const MAX_POOLS = 32;

/** A request that was sent to an endpoint. */
export interface SendRecord {
  /** Records that the answer began. */
  recordFirstEvent(): void;
  /** @param isComplete whether the response arrived as a whole */
  recordEnd(isComplete: boolean): void;
}

/** Records sends for the estimates of when endpoints can answer. */
export interface StartRecorder {
  recordSend(
    request: routedRequest.RoutedRequest,
    endpoint: decide.EstimatedEndpoint,
  ): SendRecord;
}

/** The contract under which the recorder of sends is registered. */
export const START_RECORDER = core.contract<StartRecorder>('start-recorder', [
  'recordSend',
]);

/** Numbers of estimates of one pool since its last log line. */
interface PoolAccuracy {
  sinceMs: number;
  estimated: number;
  unknown: number;
  /** True times that are within 25% of the estimate, and within twice of it. */
  close: number;
  withinTwice: number;
}

/** Records to the estimates, the process's metrics and the log. */
export class MeasuringStartRecorder implements StartRecorder {
  private readonly ratio: prom.Histogram<'pool'>;
  private readonly accuracyByPool = new Map<string, PoolAccuracy>();

  constructor(private readonly kernel: core.Kernel) {
    this.ratio = new prom.Histogram({
      name: 'oleander_start_estimate_ratio',
      help: 'Time from a send to the first event, relative to its estimate.',
      labelNames: ['pool'],
      buckets: RATIO_BUCKETS,
      registers: [kernel.find(core.METRICS).registry()],
    });
  }

  recordSend(
    request: routedRequest.RoutedRequest,
    endpoint: decide.EstimatedEndpoint,
  ): SendRecord {
    const observer = this.kernel.find(decisions.WORK_OBSERVER);
    const work = routedRequest.workOf(request);
    const sent = observer.recordSend(work, endpoint, this.nowMs());
    let hasBegun = false;
    return {
      recordFirstEvent: () => {
        if (hasBegun) return;
        hasBegun = true;
        const nowMs = this.nowMs();
        observer.recordFirstEvent(sent, nowMs);
        this.compare(sent, nowMs);
      },
      recordEnd: isComplete =>
        observer.recordEnd(sent, this.nowMs(), isComplete),
    };
  }

  private compare(
    {work: {pool}, sentAtMs, estimate}: decide.SentWork,
    nowMs: number,
  ): void {
    const accuracy = this.accuracyOf(pool, nowMs);
    if (!accuracy) return;
    if (estimate) {
      const ratio = (nowMs - sentAtMs) / estimate.firstEventMs;
      this.ratio.observe({pool}, ratio);
      accuracy.estimated += 1;
      if (ratio >= 0.75 && ratio <= 1.25) accuracy.close += 1;
      if (ratio >= 0.5 && ratio <= 2) accuracy.withinTwice += 1;
    } else {
      accuracy.unknown += 1;
    }
    if (nowMs - accuracy.sinceMs >= LOG_INTERVAL_MS) this.log(pool, accuracy);
  }

  private log(pool: string, accuracy: PoolAccuracy): void {
    this.accuracyByPool.delete(pool);
    const {estimated, unknown, close, withinTwice} = accuracy;
    if (estimated === 0) return;
    const percentOf = (count: number) => Math.round((count / estimated) * 100);
    this.kernel.find(core.LOGGER).info('start_estimates', {
      pool,
      estimated,
      unknown,
      within_25_percent: percentOf(close),
      within_twice: percentOf(withinTwice),
    });
  }

  private accuracyOf(pool: string, nowMs: number): PoolAccuracy | undefined {
    const known = this.accuracyByPool.get(pool);
    if (known || this.accuracyByPool.size >= MAX_POOLS) return known;
    const accuracy = {
      sinceMs: nowMs,
      estimated: 0,
      unknown: 0,
      close: 0,
      withinTwice: 0,
    };
    this.accuracyByPool.set(pool, accuracy);
    return accuracy;
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
