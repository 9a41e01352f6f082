/**
 * Runs a request at an endpoint that this router owns, after a place was
 * reserved there: dispatch, copy the answer, and tell load, ejection and
 * suspects how it went.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as tsPattern from 'ts-pattern';
import * as connections from './connections.js';
import * as exchange from './exchange.js';
import * as headCheck from './headcheck.js';
import * as fleet from './fleet.js';
import * as peers from './peers.js';
import * as probes from './probes.js';
import * as rooms from './rooms.js';
import * as suspects from './suspects.js';
import * as trails from './trails.js';

const CRASH_PROBE_MS = 300;

/** A request with a place at an endpoint. */
export interface Run {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly endpoint: string;
  /** Why this endpoint, for the caller and the trail. */
  readonly reason: string;
  readonly answer: exchange.Answer;
  /** Asked last before the first byte leaves. */
  readonly mayDispatch?: () => boolean;
}

/** Runner of requests. */
export interface Runner {
  /** Runs the request and gives its place back. */
  run(run: Run): Promise<exchange.Outcome>;
}

/** The contract under which the runner is registered. */
export const RUNNER = core.contract<Runner>('runner', ['run']);

function wholeNumber(value: string | string[] | undefined): number {
  const parsed = Number(value);
  return Number.isSafeInteger(parsed) && parsed > 0 ? parsed : 0;
}

/** Turns a relay's error into an outcome. */
export function outcomeOf(
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
      exchange.failed('endpoint_broke', detail, {isBroken: true}),
    )
    .exhaustive();
}

/** The outcome where the router itself fails; the place is given back. */
function fault(error: unknown): exchange.Outcome {
  return exchange.failed('internal', core.reason(error));
}

/** Runs requests over HTTP. */
export class HttpRunner implements Runner {
  constructor(private readonly kernel: core.Kernel) {}

  async run(run: Run): Promise<exchange.Outcome> {
    const {request, route, endpoint} = run;
    const book = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.sign(request, route);
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(request.id, 'dispatched', run.reason, endpoint);
    book.began(signature, endpoint);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(fleet.EJECTION).began(endpoint, nowMs);
    const outcome = await this.dispatch(run).catch(fault);
    await this.judge(signature, endpoint, outcome);
    this.kernel.find(rooms.ROOMS).release(endpoint);
    const result =
      outcome.type === 'answered'
        ? `status ${outcome.status}`
        : `${outcome.failure.kind}: ${outcome.failure.detail}`;
    notes.note(request.id, outcome.type, result, endpoint);
    return outcome;
  }

  private async dispatch(run: Run): Promise<exchange.Outcome> {
    const {request, route, endpoint, answer} = run;
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) {
      return exchange.failed('endpoint_unreachable', `${endpoint} is gone`);
    }
    const kept = this.kernel.find(connections.CONNECTIONS);
    const send = route.repeatable ? core.relay.sendRepeatable : core.relay.send;
    const head = await send({
      address: target.address,
      port: target.port,
      method: request.method,
      path: request.path,
      headers: this.headers(request),
      body: request.body,
      checkHead: headCheck.headCheck({
        method: request.method,
        requestId: request.id,
      }),
      agent: route.repeatable
        ? kept.agent(target.address, target.port)
        : undefined,
      connectTimeoutMs: route.connect_timeout_ms,
      firstByteTimeoutMs: route.first_byte_timeout_ms,
      mayDispatch: run.mayDispatch,
      signal: route.repeatable ? answer.gone : undefined,
    });
    if (head.type === 'error') return outcomeOf(head.error, endpoint);
    return this.deliver(run, head.response);
  }

  private async deliver(
    run: Run,
    response: http.IncomingMessage,
  ): Promise<exchange.Outcome> {
    const {route, endpoint, answer} = run;
    const status = response.statusCode ?? 0;
    if (status >= 500 && response.headers[core.headers.RAN] === 'no') {
      response.resume();
      this.noteState(endpoint, response);
      const detail = `${endpoint} answered ${status} and did not run it`;
      return exchange.failed('endpoint_refused', detail);
    }
    answer.begin({
      status,
      headers: core.relay.endToEnd(response.headers),
      endpoint,
      reason: run.reason,
    });
    const cut = await core.relay.copy(response, answer, route.idle_timeout_ms);
    if (cut) {
      answer.cut();
      return outcomeOf(cut, endpoint);
    }
    answer.end();
    return {
      type: 'answered',
      endpoint,
      status,
      tokens: wholeNumber(response.headers[core.headers.TOKENS]),
      cachedTokens: wholeNumber(response.headers[core.headers.CACHED_TOKENS]),
      isLeaving: this.noteState(endpoint, response),
    };
  }

  private noteState(endpoint: string, response: http.IncomingMessage): boolean {
    const isLeaving = response.headers[core.headers.STATE] === 'leaving';
    if (isLeaving) this.kernel.find(probes.PROBES).saidLeaving(endpoint);
    return isLeaving;
  }

  private headers(request: exchange.RouterRequest): Record<string, string> {
    const headers: Record<string, string> = {
      ...request.headers,
      [core.headers.REQUEST_ID]: request.id,
      [core.headers.CUSTOMER]: request.customer,
    };
    if (request.chat) headers[core.headers.CHAT] = request.chat;
    if (request.key) headers[core.headers.IDEMPOTENCY_KEY] = request.key;
    return headers;
  }

  /** Tells ejection and suspects how the run went. */
  private async judge(
    signature: string,
    endpoint: string,
    outcome: exchange.Outcome,
  ): Promise<void> {
    const book = this.kernel.find(suspects.SUSPECTS);
    const ejection = this.kernel.find(fleet.EJECTION);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    if (outcome.type === 'answered') {
      ejection.succeeded(endpoint, nowMs);
      book.ended(signature, endpoint, nowMs);
      return;
    }
    const {kind} = outcome.failure;
    if (kind === 'caller_gone' || kind === 'wait_timeout') {
      book.abandoned(signature, endpoint);
      return;
    }
    ejection.failed(endpoint, nowMs);
    if (kind === 'endpoint_unreachable') {
      this.kernel.find(fleet.FLEET).unreachable(endpoint);
    }
    if (outcome.isBroken) await this.judgeBreak(signature, endpoint);
    else book.abandoned(signature, endpoint);
    if (kind === 'endpoint_timeout') this.suspectSilence(endpoint);
  }

  private async judgeBreak(signature: string, endpoint: string): Promise<void> {
    const book = this.kernel.find(suspects.SUSPECTS);
    const prober = this.kernel.find(probes.PROBES);
    const hasCrashed = await prober.hasCrashed(endpoint, CRASH_PROBE_MS);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    if (!hasCrashed) book.abandoned(signature, endpoint);
    // The first of the broken requests reports the crash for all of them.
    else if (book.running(endpoint).includes(signature)) {
      this.kernel.find(core.LOGGER).warn('endpoint_crashed', {endpoint});
      book.crashed(endpoint, nowMs);
      this.kernel.find(peers.PEERS).announce('state');
    }
  }

  private suspectSilence(endpoint: string): void {
    void this.kernel.find(probes.PROBES).renewIfSilent(endpoint);
  }
}
