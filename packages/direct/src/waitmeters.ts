/** Metrics and log lines of the waiting room. */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';
import type * as routedRequest from './routedrequest.js';
import type * as waitingRoom from './waitingroom.js';

/** Maximum number of ended waits that are logged in a second. */
const MAX_LINES_PER_SECOND = 10;

const BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/** The requests that wait for a pool. */
export interface WaitingLength {
  readonly pool: string;
  readonly count: number;
  /** Age of the oldest, in ms. */
  readonly ageMs: number;
}

/** Records waits that have ended. */
export class WaitMeters {
  private readonly ends: prom.Counter<'pool' | 'end'>;
  private readonly durations: prom.Histogram<'pool'>;
  private readonly quota: core.LogQuota;

  constructor(
    private readonly kernel: core.Kernel,
    lengths: () => Iterable<WaitingLength>,
  ) {
    const log = kernel.find(core.LOGGER);
    this.quota = new core.LogQuota('wait_ended', MAX_LINES_PER_SECOND, log);
    const registers = [kernel.find(core.METRICS).registry()];
    this.ends = new prom.Counter({
      name: 'oleander_waits_total',
      help: 'Requests that waited for room, by how that ended.',
      labelNames: ['pool', 'end'],
      registers,
    });
    this.durations = new prom.Histogram({
      name: 'oleander_wait_seconds',
      help: 'Time for which requests waited for room.',
      labelNames: ['pool'],
      buckets: BUCKETS_S,
      registers,
    });
    registerLengths(registers, lengths);
  }

  recordEnd(
    {head, route, pool, priority}: routedRequest.RoutedRequest,
    end: waitingRoom.WaitEnd,
    waitedMs: number,
  ): void {
    const name = end.type === 'refused' ? end.reason : end.type;
    this.ends.inc({pool, end: name});
    this.durations.observe({pool}, waitedMs / 1_000);
    if (!this.quota.consume(this.kernel.find(core.CLOCK).nowMs())) return;
    const expectedMs = end.type === 'refused' ? end.expectedMs : undefined;
    this.kernel.find(core.LOGGER).info('wait_ended', {
      request: head.requestId,
      route: route.name,
      pool,
      priority,
      end: name,
      waited_ms: Math.round(waitedMs),
      expected_ms: expectedMs && Math.round(expectedMs),
    });
  }
}

/** Gauges that are read when the metrics are asked for. */
function registerLengths(
  registers: prom.Registry[],
  lengths: () => Iterable<WaitingLength>,
): void {
  new prom.Gauge({
    name: 'oleander_waiting_requests',
    help: 'Requests that wait for room now.',
    labelNames: ['pool'],
    registers,
    collect() {
      for (const {pool, count} of lengths()) this.set({pool}, count);
    },
  });
  new prom.Gauge({
    name: 'oleander_waiting_oldest_seconds',
    help: 'Age of the oldest request that waits for room now.',
    labelNames: ['pool'],
    registers,
    collect() {
      for (const {pool, ageMs} of lengths()) this.set({pool}, ageMs / 1_000);
    },
  });
}
