/**
 * Records the outcome of each request in counters, histograms and one log line.
 * Above a rate limit, log lines are skipped.
 */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';
import type * as routedRequest from './routedrequest.js';
import type * as wireProtocol from './wireprotocol.js';
import * as activeTables from './activetables.js';
import * as fleetRegistry from './fleetregistry.js';
import * as runState from './runstate.js';

/** Maximum numbers of requests and of refusals that are logged in a second. */
const MAX_LINES_PER_SECOND = 40;
const MAX_REFUSAL_LINES_PER_SECOND = 20;

const BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** A request that has ended. */
export interface EndedRequest {
  readonly head: wireProtocol.CallerRequestHead;
  readonly path: string;
  readonly arrivedMs: number;
  /**
   * Monotonic time at which the endpoint's response began to be passed on, in
   * ms; absent if none was.
   */
  readonly responseStartedMs?: number;
  /** Absent if the request was refused before it was routed. */
  readonly routed?: routedRequest.RoutedRequest;
}

/** Records ended requests. */
export interface RequestRecorder {
  recordEnd(request: EndedRequest, outcome: routedRequest.RequestOutcome): void;
}

/** The contract under which the request recorder is registered. */
export const REQUEST_RECORDER = core.contract<RequestRecorder>(
  'request-recorder',
  ['recordEnd'],
);

/** Records to the process's metrics and log. */
export class LoggingRequestRecorder implements RequestRecorder {
  private readonly requests: prom.Counter<'route' | 'result'>;
  private readonly sends: prom.Counter<'route'>;
  private readonly secondSends: prom.Counter<'route' | 'result'>;
  private readonly duration: prom.Histogram<'route'>;
  private readonly firstByte: prom.Histogram<'route'>;
  private readonly requestQuota: core.LogQuota;
  private readonly refusalQuota: core.LogQuota;

  constructor(private readonly kernel: core.Kernel) {
    const log = kernel.find(core.LOGGER);
    this.requestQuota = new core.LogQuota('request', MAX_LINES_PER_SECOND, log);
    this.refusalQuota = new core.LogQuota(
      'refused',
      MAX_REFUSAL_LINES_PER_SECOND,
      log,
    );
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
    this.secondSends = new prom.Counter({
      name: 'oleander_second_sends_total',
      help: 'Sends beside one that took unusually long, by whether they won.',
      labelNames: ['route', 'result'],
      registers,
    });
    this.duration = new prom.Histogram({
      name: 'oleander_request_seconds',
      help: 'Time from the arrival of a request to the end of its answer.',
      labelNames: ['route'],
      buckets: BUCKETS_S,
      registers,
    });
    this.firstByte = new prom.Histogram({
      name: 'oleander_first_byte_seconds',
      help: 'Time from the arrival of a request to the beginning of its answer.',
      labelNames: ['route'],
      buckets: BUCKETS_S,
      registers,
    });
  }

  recordEnd(
    request: EndedRequest,
    outcome: routedRequest.RequestOutcome,
  ): void {
    const route = request.routed?.route.name ?? 'none';
    const durationMs = this.nowMs() - request.arrivedMs;
    this.requests.inc({route, result: resultOf(outcome)});
    this.sends.inc({route}, outcome.sendCount);
    const {secondSend} = outcome;
    if (secondSend) this.secondSends.inc({route, result: secondSend});
    this.duration.observe({route}, durationMs / 1_000);
    const firstByteMs = firstByteMsOf(request);
    if (firstByteMs !== undefined) {
      this.firstByte.observe({route}, firstByteMs / 1_000);
    }
    const nowMs = this.nowMs();
    if (this.requestQuota.consume(nowMs)) {
      this.logRequest(request, outcome, durationMs);
    }
    if (outcome.type === 'failed' && isRefusedAsWrong(outcome.failure.kind)) {
      if (this.refusalQuota.consume(nowMs)) {
        this.logRefusal(request, outcome.failure.kind);
      }
    }
  }

  /**
   * Logs what a refusal was decided on, so that outdated tables can be told
   * from tables that differ and from a request that is wrong.
   */
  private logRefusal({head, path}: EndedRequest, kind: core.ErrorKind): void {
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES);
    const provenance = tables.provenance();
    this.kernel.find(core.LOGGER).warn('refused', {
      request: head.requestId,
      kind,
      host: head.host,
      path: path.split('?')[0],
      key: head.apiKey && core.hash64(head.apiKey),
      tables: tables.version(),
      tables_source: provenance?.source,
      tables_age_ms:
        provenance && Math.round(this.nowMs() - provenance.sinceMs),
      tables_fingerprint: provenance?.fingerprint,
      fleet_tables: this.kernel
        .find(fleetRegistry.FLEET_REGISTRY)
        .newestVersion(),
      uptime_s: this.kernel.find(runState.RUN_STATE).uptimeS(),
    });
  }

  private logRequest(
    request: EndedRequest,
    outcome: routedRequest.RequestOutcome,
    durationMs: number,
  ): void {
    const {head, routed, path} = request;
    const firstByteMs = firstByteMsOf(request);
    const isAnswered = outcome.type === 'answered';
    const {placement} = outcome;
    this.kernel.find(core.LOGGER).info('request', {
      request: head.requestId,
      route: routed?.route.name,
      path: routed ? undefined : path.split('?')[0],
      pool: routed?.pool,
      customer: routed?.customer,
      prefix: head.sharedPrefix,
      prefix_tokens: head.sharedPrefix && head.sharedPrefixTokens,
      result: resultOf(outcome),
      endpoint: isAnswered ? outcome.endpoint : undefined,
      detail: isAnswered ? undefined : outcome.failure.detail,
      sends: outcome.sendCount,
      runs: hasRunHistory(outcome) ? String(outcome.runs) : undefined,
      placed: placement?.reason,
      version: placement?.softwareVersion,
      resumes: head.resumedRequestId,
      after_event: head.lastEventId,
      load: placement?.endpoint.inFlight,
      context_from: placement?.contextSource,
      limit: placement?.limit && Math.round(placement.limit),
      estimate_ms:
        placement?.estimate && Math.round(placement.estimate.firstEventMs),
      tables: this.kernel.find(activeTables.ACTIVE_TABLES).version(),
      waited_ms: outcome.waitedMs ? Math.round(outcome.waitedMs) : undefined,
      second_send: outcome.secondSend,
      first_ms: firstByteMs && Math.round(firstByteMs),
      duration_ms: Math.round(durationMs),
      left_ms: routed
        ? Math.round(routed.deadlineMs - this.nowMs())
        : undefined,
    });
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

/** Whether the answer says that the caller sent a wrong request. */
function isRefusedAsWrong(kind: core.ErrorKind): boolean {
  const {status} = core.ERROR_RESPONSES[kind];
  return status >= 400 && status < 500 && kind !== 'caller_gone';
}

/** Whether more is known of the runs than that one endpoint answered. */
function hasRunHistory({
  type,
  sendCount,
  runs,
}: routedRequest.RequestOutcome): boolean {
  return runs !== undefined && (type === 'failed' || sendCount > 1);
}

function firstByteMsOf({
  arrivedMs,
  responseStartedMs,
}: EndedRequest): number | undefined {
  return responseStartedMs === undefined
    ? undefined
    : responseStartedMs - arrivedMs;
}

function resultOf(outcome: routedRequest.RequestOutcome): string {
  if (outcome.type === 'answered') return String(outcome.status);
  return outcome.failure.kind;
}
