/**
 * Runs a request at an endpoint that this router owns, once a slot there is
 * reserved: sends the request, copies the answer, releases the slot and reports
 * the result to the ejection and the suspect tracker.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as tsPattern from 'ts-pattern';
import * as connections from './connections.js';
import * as exchange from './exchange.js';
import * as headCheck from './headcheck.js';
import * as fleet from './fleet.js';
import * as digestExchange from './digestexchange.js';
import * as probes from './probes.js';
import * as admissionQueues from './admissionqueues.js';
import * as suspects from './suspects.js';
import * as requestTraces from './requesttraces.js';

/** How long the probe after a broken connection may take. */
const CRASH_PROBE_TIMEOUT_MS = 300;

/** A request with a reserved slot at an endpoint. */
export interface RunOptions {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly endpoint: string;
  /** Why the endpoint was chosen, for the caller and the trace. */
  readonly reason: string;
  readonly answer: exchange.Answer;
  /** Called just before the first byte is sent; if false, nothing is sent. */
  readonly mayDispatch?: () => boolean;
}

/** Runs requests at owned endpoints. */
export interface Runner {
  /** Runs the request and releases its slot. */
  run(options: RunOptions): Promise<exchange.Outcome>;
}

/** The contract under which the runner is registered. */
export const RUNNER = core.contract<Runner>('runner', ['run']);

/** Converts a relay's error into an outcome. */
export function toOutcome(
  error: core.relay.RelayError,
  endpoint: string,
): exchange.Outcome {
  const detail = `${endpoint}: ${error.detail}`;
  return tsPattern
    .match(error)
    .with({stage: 'connect', cause: 'aborted'}, () =>
      exchange.failed('caller_gone', detail),
    )
    .with({stage: 'connect'}, () =>
      exchange.failed('endpoint_unreachable', detail),
    )
    .with({stage: 'forbidden'}, () => exchange.failed('wait_timeout', detail))
    .with({cause: 'aborted'}, () => exchange.failed('caller_gone', detail))
    .with({cause: 'timeout'}, () => exchange.failed('endpoint_timeout', detail))
    .with({cause: 'protocol'}, () =>
      exchange.failed('endpoint_protocol', detail),
    )
    .with({cause: 'broken'}, () =>
      exchange.failed('endpoint_broke', detail, {isDisconnected: true}),
    )
    .exhaustive();
}

/** Converts a thrown error into an outcome, so that the slot is released. */
function toInternalFailure(error: unknown): exchange.Outcome {
  return exchange.failed('internal', core.errorMessage(error));
}

/** Runs requests over HTTP. */
export class HttpRunner implements Runner {
  constructor(private readonly kernel: core.Kernel) {}

  async run(options: RunOptions): Promise<exchange.Outcome> {
    const {request, route, endpoint} = options;
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.signatureOf(request, route);
    const traces = this.kernel.find(requestTraces.REQUEST_TRACES);
    traces.record(request.id, 'dispatched', options.reason, endpoint);
    suspectTracker.recordStart(signature, endpoint);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(fleet.EJECTION).recordStart(endpoint, nowMs);
    const outcome =
      await this.dispatchRequest(options).catch(toInternalFailure);
    await this.recordOutcome(signature, endpoint, outcome);
    this.kernel.find(admissionQueues.ADMISSION_QUEUES).release(endpoint);
    const summary =
      outcome.type === 'answered'
        ? `status ${outcome.status}`
        : `${outcome.failure.kind}: ${outcome.failure.detail}`;
    traces.record(request.id, outcome.type, summary, endpoint);
    return outcome;
  }

  private async dispatchRequest(
    options: RunOptions,
  ): Promise<exchange.Outcome> {
    const {request, route, endpoint, answer} = options;
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) {
      return exchange.failed(
        'endpoint_unreachable',
        `${endpoint} is no longer listed`,
      );
    }
    const connectionPool = this.kernel.find(connections.CONNECTIONS);
    const send = route.repeatable ? core.relay.sendRepeatable : core.relay.send;
    const head = await send({
      address: target.address,
      port: target.port,
      method: request.method,
      path: request.path,
      headers: this.requestHeaders(request),
      body: request.body,
      checkHead: headCheck.createHeadCheck({
        method: request.method,
        requestId: request.id,
      }),
      agent: route.repeatable
        ? connectionPool.agent(target.address, target.port)
        : undefined,
      connectTimeoutMs: route.connect_timeout_ms,
      firstByteTimeoutMs: route.first_byte_timeout_ms,
      mayDispatch: options.mayDispatch,
      signal: route.repeatable ? answer.callerGone : undefined,
    });
    if (head.type === 'error') return toOutcome(head.error, endpoint);
    return this.copyAnswer(options, head);
  }

  private async copyAnswer(
    options: RunOptions,
    {response, mayHaveRunBefore}: core.relay.ResponseHead,
  ): Promise<exchange.Outcome> {
    const {route, endpoint, answer} = options;
    const status = response.statusCode ?? 0;
    if (status >= 500 && response.headers[core.headers.EXECUTED] === 'no') {
      core.relay.discardBody(response);
      this.recordLeaving(endpoint, response);
      const detail = `${endpoint} answered ${status} and did not run the request`;
      return mayHaveRunBefore
        ? exchange.failed('endpoint_broke', `${detail} when it was sent again`)
        : exchange.failed('endpoint_refused', detail);
    }
    answer.begin({
      status,
      headers: core.relay.endToEndHeaders(response.headers),
      endpoint,
      reason: options.reason,
    });
    const relayError = await core.relay.copyBody(
      response,
      answer,
      route.idle_timeout_ms,
    );
    if (relayError) {
      answer.abort();
      return toOutcome(relayError, endpoint);
    }
    answer.end();
    return {
      type: 'answered',
      endpoint,
      status,
      tokens: exchange.parseTokenCount(response.headers[core.headers.TOKENS]),
      cachedTokens: exchange.parseTokenCount(
        response.headers[core.headers.CACHED_TOKENS],
      ),
      isLeaving: this.recordLeaving(endpoint, response),
    };
  }

  private recordLeaving(
    endpoint: string,
    response: http.IncomingMessage,
  ): boolean {
    const isLeaving =
      response.headers[core.headers.ENDPOINT_STATE] === 'leaving';
    if (isLeaving) this.kernel.find(probes.PROBES).recordLeaving(endpoint);
    return isLeaving;
  }

  private requestHeaders(
    request: exchange.RouterRequest,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      ...request.headers,
      [core.headers.REQUEST_ID]: request.id,
      [core.headers.CUSTOMER]: request.customer,
    };
    if (request.chat) headers[core.headers.CHAT] = request.chat;
    if (request.key) headers[core.headers.IDEMPOTENCY_KEY] = request.key;
    return headers;
  }

  /** Reports the result of the run to the ejection and the suspect tracker. */
  private async recordOutcome(
    signature: string,
    endpoint: string,
    outcome: exchange.Outcome,
  ): Promise<void> {
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    const ejection = this.kernel.find(fleet.EJECTION);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    if (outcome.type === 'answered') {
      ejection.recordSuccess(endpoint, nowMs);
      suspectTracker.recordEnd(signature, endpoint, nowMs);
      return;
    }
    const {kind} = outcome.failure;
    if (kind === 'caller_gone' || kind === 'wait_timeout') {
      suspectTracker.recordAbort(signature, endpoint);
      return;
    }
    ejection.recordFailure(endpoint, nowMs);
    if (kind === 'endpoint_unreachable') {
      this.kernel.find(fleet.FLEET).recordUnreachable(endpoint);
    }
    if (outcome.isDisconnected) await this.checkForCrash(signature, endpoint);
    else suspectTracker.recordAbort(signature, endpoint);
    if (kind === 'endpoint_timeout') this.renewStaleConnections(endpoint);
  }

  private async checkForCrash(
    signature: string,
    endpoint: string,
  ): Promise<void> {
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    const endpointProbes = this.kernel.find(probes.PROBES);
    const hasCrashed = await endpointProbes.hasCrashed(
      endpoint,
      CRASH_PROBE_TIMEOUT_MS,
    );
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    if (!hasCrashed) suspectTracker.recordAbort(signature, endpoint);
    // Only the first of the requests that a crash broke reports it; by then the
    // others are no longer listed as running.
    else if (suspectTracker.runningOn(endpoint).includes(signature)) {
      this.kernel.find(core.LOGGER).warn('endpoint_crashed', {endpoint});
      suspectTracker.recordCrash(endpoint, nowMs);
      this.kernel.find(digestExchange.DIGEST_EXCHANGE).announce('state');
    }
  }

  private renewStaleConnections(endpoint: string): void {
    void this.kernel.find(probes.PROBES).renewIfStale(endpoint);
  }
}
