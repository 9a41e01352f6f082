/**
 * Forwards a request to another router over HTTP and copies the answer back.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as tsPattern from 'ts-pattern';
import * as v from 'valibot';
import * as connections from './connections.js';
import * as exchange from './exchange.js';
import * as headCheck from './headcheck.js';
import * as fleet from './fleet.js';
import * as httpAnswer from './httpanswer.js';
import * as meters from './meters.js';
import type * as settings from './settings.js';
import * as suspects from './suspects.js';
import * as requestTraces from './requesttraces.js';

const MAX_REFUSAL_BYTES = 65_536;
/** Added to a route's time-outs for the extra hop through another router. */
const HOP_MARGIN_MS = 500;

/** A request to forward, and where to send it. */
export interface ForwardOptions {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  /** The name of the router to forward to. */
  readonly router: string;
  /** The endpoint to run the request; if absent, the other router chooses. */
  readonly targetEndpoint?: string;
  /** The endpoint that last served the chat. */
  readonly lastEndpoint?: string;
  /** The claim attempt under which the call may be dispatched. */
  readonly claimAttempt?: string;
  /** Why the request is forwarded to this router, for the trace. */
  readonly reason: string;
  readonly answer: exchange.Answer;
  /** Called just before the first byte is sent; if false, nothing is sent. */
  readonly mayDispatch?: () => boolean;
}

/** Forwards requests to other routers. */
export interface Forwarder {
  forward(options: ForwardOptions): Promise<exchange.Outcome>;
}

/** The contract under which the forwarder is registered. */
export const FORWARDER = core.contract<Forwarder>('forwarder', ['forward']);

/** The header with the secret by which routers authenticate to each other. */
export const PEER_TOKEN_HEADER = 'oleander-peer-token';

/** Path prefix of forwarded requests. */
export const FORWARD_PREFIX = '/pass';

/** Forwards requests over HTTP. */
export class HttpForwarder implements Forwarder {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {}

  async forward(options: ForwardOptions): Promise<exchange.Outcome> {
    const {request, router, reason, targetEndpoint} = options;
    const traces = this.kernel.find(requestTraces.REQUEST_TRACES);
    traces.record(
      request.id,
      'passed_on',
      `to ${router}: ${reason}`,
      targetEndpoint,
    );
    this.kernel.find(meters.METERS).countForward();
    const outcome = await this.relay(options);
    if (outcome.type === 'failed') {
      const {kind, detail} = outcome.failure;
      traces.record(
        request.id,
        'pass_failed',
        `${kind}: ${detail}`,
        targetEndpoint,
      );
      this.recordFailure(options, kind);
    }
    return outcome;
  }

  private async relay(options: ForwardOptions): Promise<exchange.Outcome> {
    const {request, route, router, answer} = options;
    const peer = this.kernel.find(fleet.FLEET).find(router);
    if (!peer) {
      return exchange.failed('peer_unreachable', `${router} is not listed`);
    }
    const connectionPool = this.kernel.find(connections.CONNECTIONS);
    const send = route.repeatable ? core.relay.sendRepeatable : core.relay.send;
    const head = await send({
      address: peer.address,
      port: peer.peer_port,
      method: request.method,
      path: FORWARD_PREFIX + request.path,
      headers: this.requestHeaders(options),
      body: request.body,
      checkHead: headCheck.createHeadCheck({
        method: request.method,
        requestId: request.id,
      }),
      agent: route.repeatable
        ? connectionPool.agent(peer.address, peer.peer_port)
        : undefined,
      connectTimeoutMs: this.routerSettings.peerAckTimeoutMs,
      ackTimeoutMs: this.routerSettings.peerAckTimeoutMs,
      firstByteTimeoutMs:
        route.wait_ms + route.first_byte_timeout_ms + HOP_MARGIN_MS,
      mayDispatch: options.mayDispatch,
      signal: route.repeatable ? answer.callerGone : undefined,
    });
    if (head.type === 'error') return toOutcome(head.error, router);
    return this.copyAnswer(options, head.response);
  }

  private async copyAnswer(
    options: ForwardOptions,
    response: http.IncomingMessage,
  ): Promise<exchange.Outcome> {
    const {route, router, answer} = options;
    const refusal = response.headers[httpAnswer.REFUSAL_HEADER];
    if (refusal !== undefined) {
      suspects.applySuspicion(
        this.kernel,
        response.headers[suspects.SUSPICION_HEADER],
      );
      return readRefusal(response, router);
    }
    const endpoint = String(response.headers[core.headers.ENDPOINT] ?? '');
    answer.begin({
      status: response.statusCode ?? 0,
      headers: core.relay.endToEndHeaders(response.headers),
      endpoint,
      reason: String(response.headers[core.headers.REASON] ?? ''),
    });
    const idleTimeoutMs = route.idle_timeout_ms + HOP_MARGIN_MS;
    const relayError = await core.relay.copyBody(
      response,
      answer,
      idleTimeoutMs,
    );
    if (relayError) {
      answer.abort();
      return toOutcome(relayError, router);
    }
    answer.end();
    return {
      type: 'answered',
      endpoint,
      status: response.statusCode ?? 0,
      tokens: exchange.parseTokenCount(response.headers[core.headers.TOKENS]),
      cachedTokens: exchange.parseTokenCount(
        response.headers[core.headers.CACHED_TOKENS],
      ),
      isLeaving: false,
    };
  }

  private requestHeaders(options: ForwardOptions): Record<string, string> {
    const {request, targetEndpoint, lastEndpoint, claimAttempt} = options;
    const headers: Record<string, string> = {
      ...request.headers,
      [PEER_TOKEN_HEADER]: this.routerSettings.peerToken,
      [core.headers.REQUEST_ID]: request.id,
      [core.headers.CUSTOMER]: request.customer,
      [core.headers.HOPS]: String(request.hops + 1),
    };
    if (request.chat) headers[core.headers.CHAT] = request.chat;
    if (request.key) headers[core.headers.IDEMPOTENCY_KEY] = request.key;
    Object.assign(headers, suspects.suspicionHeaders(this.kernel, request));
    if (targetEndpoint) headers[core.headers.TARGET_ENDPOINT] = targetEndpoint;
    if (lastEndpoint) headers[core.headers.LAST_ENDPOINT] = lastEndpoint;
    if (claimAttempt) headers[core.headers.CLAIM_ATTEMPT] = claimAttempt;
    return headers;
  }

  private recordFailure(options: ForwardOptions, kind: core.ErrorKind): void {
    const fleetView = this.kernel.find(fleet.FLEET);
    if (kind === 'peer_unreachable') fleetView.recordRefusal(options.router);
    if (kind === 'draining') fleetView.setDraining(options.router, true);
    const peer = fleetView.find(options.router);
    if (kind !== 'peer_broke' || !peer) return;
    // New connections may still work where a keep-alive one broke or hangs.
    const connectionPool = this.kernel.find(connections.CONNECTIONS);
    connectionPool.renew(peer.address, peer.peer_port);
  }
}

function toOutcome(
  error: core.relay.RelayError,
  router: string,
): exchange.Outcome {
  const detail = `${router}: ${error.detail}`;
  return tsPattern
    .match(error)
    .with({cause: 'aborted', stage: 'forbidden'}, () =>
      exchange.failed('wait_timeout', detail),
    )
    .with({cause: 'aborted'}, () => exchange.failed('caller_gone', detail))
    .with({stage: 'connect'}, () => exchange.failed('peer_unreachable', detail))
    .otherwise(() => exchange.failed('peer_broke', detail));
}

async function readRefusal(
  response: http.IncomingMessage,
  router: string,
): Promise<exchange.Outcome> {
  const raw = await core.relay.collectBody(response, {
    maxBytes: MAX_REFUSAL_BYTES,
    idleTimeoutMs: HOP_MARGIN_MS,
    totalTimeoutMs: HOP_MARGIN_MS,
  });
  const parsed = v.safeParse(core.problemSchema, parseJson(raw));
  if (!parsed.success) {
    return exchange.failed('peer_broke', `${router} sent a malformed refusal`);
  }
  const {kind, detail, retry_after_ms: retryAfterMs} = parsed.output;
  return exchange.failed(kind, detail, {retryAfterMs});
}

function parseJson(raw: Buffer | undefined): unknown {
  try {
    return JSON.parse(raw?.toString('utf8') ?? '');
  } catch {
    return undefined;
  }
}
