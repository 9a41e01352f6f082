/**
 * Records how requests ended: counters and histograms, and one log line each.
 * Lines of successes are sampled under load; failures are written up to a rate.
 */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';
import type * as asks from './ask.js';
import type * as dialects from './dialect.js';
import * as tablesBook from './tablesbook.js';

/** Lines of requests that a router writes in a second, at most. */
const MAX_LINES_PER_SECOND = 40;

const BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** A request that has ended. */
export interface Ended {
  readonly head: dialects.CallerHead;
  readonly path: string;
  readonly arrivedMs: number;
  /** When the answer began to leave; absent where no endpoint's did. */
  readonly beganMs?: number;
  /** Absent where the request was refused before it was matched. */
  readonly ask?: asks.Ask;
}

/** Recorder of requests. */
export interface Recorder {
  ended(request: Ended, outcome: asks.Outcome): void;
}

/** The contract under which the recorder is registered. */
export const RECORDER = core.contract<Recorder>('recorder', ['ended']);

/** Records in the process's metrics and its log. */
export class MetricsRecorder implements Recorder {
  private readonly requests: prom.Counter<'route' | 'result'>;
  private readonly sends: prom.Counter<'route'>;
  private readonly duration: prom.Histogram<'route'>;
  private readonly first: prom.Histogram<'route'>;
  private secondMs = 0;
  private lines = 0;
  private skipped = 0;

  constructor(private readonly kernel: core.Kernel) {
    const registers = [kernel.find(core.METRICS).registry()];
    this.requests = new prom.Counter({
      name: 'oleander_requests_total',
      help: 'Requests of callers by result: a status, or an error kind.',
      labelNames: ['route', 'result'],
      registers,
    });
    this.sends = new prom.Counter({
      name: 'oleander_sends_total',
      help: 'Requests sent to endpoints, repeats included.',
      labelNames: ['route'],
      registers,
    });
    this.duration = new prom.Histogram({
      name: 'oleander_request_seconds',
      help: 'Time from the arrival of a request to the end of its answer.',
      labelNames: ['route'],
      buckets: BUCKETS_S,
      registers,
    });
    this.first = new prom.Histogram({
      name: 'oleander_first_byte_seconds',
      help: 'Time from the arrival of a request to the beginning of its answer.',
      labelNames: ['route'],
      buckets: BUCKETS_S,
      registers,
    });
  }

  ended(request: Ended, outcome: asks.Outcome): void {
    const route = request.ask?.route.name ?? 'none';
    const durationMs = this.nowMs() - request.arrivedMs;
    this.requests.inc({route, result: resultOf(outcome)});
    this.sends.inc({route}, outcome.sends);
    this.duration.observe({route}, durationMs / 1_000);
    const firstMs = firstMsOf(request);
    if (firstMs !== undefined) this.first.observe({route}, firstMs / 1_000);
    if (this.mayWrite()) this.write(request, outcome, durationMs);
  }

  private write(
    request: Ended,
    outcome: asks.Outcome,
    durationMs: number,
  ): void {
    const {head, ask, path} = request;
    const firstMs = firstMsOf(request);
    const isAnswered = outcome.type === 'answered';
    const {placed} = outcome;
    this.kernel.find(core.LOGGER).info('request', {
      request: head.requestId,
      route: ask?.route.name,
      path: ask ? undefined : path.split('?')[0],
      pool: ask?.pool,
      customer: ask?.customer,
      prefix: head.sharedPrefix,
      prefix_tokens: head.sharedPrefix && head.sharedTokens,
      result: resultOf(outcome),
      endpoint: isAnswered ? outcome.endpoint : undefined,
      detail: isAnswered ? undefined : outcome.failure.detail,
      sends: outcome.sends,
      placed: placed?.reason,
      load: placed?.spot.inFlight,
      context_from: placed?.source,
      limit: placed?.limit && Math.round(placed.limit),
      tables: this.kernel.find(tablesBook.TABLES_BOOK).version(),
      first_ms: firstMs && Math.round(firstMs),
      duration_ms: Math.round(durationMs),
      left_ms: ask ? Math.round(ask.deadlineMs - this.nowMs()) : undefined,
    });
  }

  private mayWrite(): boolean {
    const nowMs = this.nowMs();
    if (nowMs - this.secondMs >= 1_000) {
      if (this.skipped > 0) {
        const log = this.kernel.find(core.LOGGER);
        log.info('request_lines_skipped', {count: this.skipped});
      }
      this.secondMs = nowMs;
      this.lines = 0;
      this.skipped = 0;
    }
    this.lines += 1;
    if (this.lines <= MAX_LINES_PER_SECOND) return true;
    this.skipped += 1;
    return false;
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function firstMsOf({arrivedMs, beganMs}: Ended): number | undefined {
  return beganMs === undefined ? undefined : beganMs - arrivedMs;
}

function resultOf(outcome: asks.Outcome): string {
  if (outcome.type === 'answered') return String(outcome.status);
  return outcome.failure.kind;
}
