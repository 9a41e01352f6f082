/**
 * The listener for requests of callers. It reads a request, matches its route
 * and customer, refuses invalid requests itself, and passes the rest to the
 * dispatcher.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as routedRequest from './routedrequest.js';
import * as callerBounds from './callerbounds.js';
import * as callerResponses from './callerresponse.js';
import * as decisions from './decisions.js';
import * as streamVersions from './streamversions.js';
import * as wireProtocol from './wireprotocol.js';
import * as dispatcher from './dispatcher.js';
import * as runState from './runstate.js';
import type * as model from './model.js';
import * as promises from './promises.js';
import * as recorder from './recorder.js';
import type * as settings from './settings.js';
import * as activeTables from './activetables.js';

/** Maximum size of a request's head, in bytes. */
const MAX_HEAD_BYTES = 65_536;

/** What is read and dropped of the body of a request without route, in bytes. */
const MAX_SKIPPED_BYTES = 1_048_576;

/** Longest time for a complete request to arrive, in ms. */
const REQUEST_TIMEOUT_MS = 30_000;

/**
 * Time for which an idle connection is kept beyond the idle time promised to
 * callers, in ms.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Retry-after while the router starts or shuts down, in ms. */
const NOT_READY_RETRY_MS = 300;

/**
 * Time after which missing tables mean that the store is unavailable, in ms.
 */
const NORMAL_START_MS = 250;

/** Retry-after while the store is unavailable, in ms. */
const STORE_DOWN_RETRY_MS = 2_000;

/**
 * Number of event-loop turns after which a pending disconnect of a caller is
 * detected: the rest of the current turn, one that reads the end of the
 * connection, and one that closes it.
 */
const EVENT_LOOP_TURNS = 3;

/** The listener for requests of callers. */
export interface CallerListener {
  /** Makes each connection close after its next response. */
  disableKeepAlive(): void;
  /**
   * Stops accepting connections; resolves when the open ones have closed or
   * were closed after `timeoutMs`.
   */
  drain(timeoutMs: number): Promise<void>;
  /**
   * Closes all connections at once, so that callers see that responses in
   * progress are incomplete.
   */
  closeConnections(): void;
}

/** The contract under which the listener for callers is registered. */
export const CALLER_LISTENER = core.contract<CallerListener>(
  'caller-listener',
  ['disableKeepAlive', 'drain', 'closeConnections'],
);

/** The route and API key holder of a request, or why the request is refused. */
type RouteMatch = core.Result<{
  readonly route: model.Route;
  readonly keyHolder?: activeTables.KeyHolder;
}>;

/** Listens over HTTP. */
export class HttpCallerListener implements CallerListener, core.Lifecycle {
  private readonly listener: core.listener.Listener;
  private readonly startedMs: number;

  constructor(
    private readonly kernel: core.Kernel,
    routerSettings: settings.Settings,
  ) {
    this.startedMs = kernel.find(core.CLOCK).nowMs();
    this.listener = new core.listener.Listener({
      name: 'entry',
      host: routerSettings.address,
      port: routerSettings.entryListen,
      maxHeaderBytes: MAX_HEAD_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: kernel.find(core.LOGGER),
      bounds: kernel.find(callerBounds.CALLER_BOUNDS).of('entry'),
      pacer: kernel.find(core.READ_PACER),
      serve: call => this.serve(call),
    });
    kernel.find(activeTables.ACTIVE_TABLES).onChange(({limits}) => {
      this.listener.setKeepAliveTimeout(limits.idleMs + KEEP_ALIVE_MARGIN_MS);
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  disableKeepAlive(): void {
    this.listener.disableKeepAlive();
  }

  drain(timeoutMs: number): Promise<void> {
    return this.listener.drain(timeoutMs);
  }

  closeConnections(): void {
    this.listener.closeConnections();
  }

  private async serve(call: core.listener.Call): Promise<void> {
    const endRequest = this.kernel.find(runState.RUN_STATE).beginRequest();
    const clock = this.kernel.find(core.CLOCK);
    const arrivedMs = clock.nowMs();
    const {request, response, memory} = call;
    const protocol = this.kernel.find(wireProtocol.WIRE_PROTOCOL);
    const head = protocol.readCallerRequest(request.headers);
    const callerResponse = new callerResponses.HttpCallerResponse(
      response,
      memory,
      clock,
    );
    try {
      const routing = await this.readRequest(call, head, arrivedMs);
      if (routing.ok) {
        memory.connection.setServed(true);
        await processPendingSocketEvents();
      }
      const dispatched: routedRequest.RequestOutcome = routing.ok
        ? await this.kernel
            .find(dispatcher.DISPATCHER)
            .serve(routing.value, callerResponse)
        : {type: 'failed', failure: routing.failure, sendCount: 0};
      const outcome = this.withholdUnfounded(dispatched, head);
      await this.sendFailure(outcome, head, callerResponse);
      const routed = routing.ok ? routing.value : undefined;
      const {startedMs: responseStartedMs} = callerResponse;
      const path = request.url ?? '';
      this.kernel
        .find(recorder.REQUEST_RECORDER)
        .recordEnd({head, path, arrivedMs, responseStartedMs, routed}, outcome);
    } finally {
      memory.connection.setServed(false);
      endRequest();
    }
  }

  /** Matches the request to its route and reads the body. */
  private async readRequest(
    {request, memory}: core.listener.Call,
    head: wireProtocol.CallerRequestHead,
    arrivedMs: number,
  ): Promise<core.Result<routedRequest.RoutedRequest>> {
    const tablesInForce = this.kernel.find(activeTables.ACTIVE_TABLES);
    const tables = tablesInForce.current();
    const path = request.url ?? '/';
    const match = this.matchRoute(head, path, tables);
    const maxBytes = tables?.limits.maxBodyBytes ?? 0;
    if (!match.ok) {
      // The body is still read, because an unread body would make the
      // connection unusable.
      await core.listener.skipBody(request, MAX_SKIPPED_BYTES, memory);
      return match;
    }
    const body = await core.listener.readBody(request, maxBytes, memory);
    if (!body.ok) return body;
    const {route, keyHolder} = match.value;
    const method = request.method ?? 'GET';
    const signature = this.signatureOf(
      method,
      path,
      keyHolder?.name,
      body.value,
    );
    const crashKeys = decide.crashKeys(signature, head.sharedParts);
    const verdict = this.kernel
      .find(decisions.CRASH_TRACKER)
      .admit(head.requestId, crashKeys, this.kernel.find(core.CLOCK).nowMs());
    if (verdict.type === 'refused') {
      const detail = `endpoints crashed under requests with ${verdict.key}`;
      return core.fail('quarantined', detail);
    }
    const timeoutMs = Math.min(
      head.callerTimeoutMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    return core.succeed({
      head,
      method,
      path,
      headers: request.headers,
      body: body.value,
      route,
      pool: choosePool(route, streamVersions.streamIdOf(head)),
      customer: keyHolder?.name,
      priority: keyHolder?.priority ?? route.priority,
      arrivedMs,
      deadlineMs: arrivedMs + timeoutMs,
      crashKeys,
    });
  }

  private matchRoute(
    head: wireProtocol.CallerRequestHead,
    path: string,
    tables: model.Tables | undefined,
  ): RouteMatch {
    const tablesInForce = this.kernel.find(activeTables.ACTIVE_TABLES);
    if (!this.kernel.find(runState.RUN_STATE).acceptsRequests()) {
      return core.fail(
        'draining',
        'the router is shutting down',
        NOT_READY_RETRY_MS,
      );
    }
    if (!tables) {
      const detail = 'the routing tables are not loaded yet';
      return core.fail('not_ready', detail, this.notReadyRetryMs());
    }
    const route = tablesInForce.findRoute(head.host, path);
    if (!route) return core.fail('no_route', 'no route matches the request');
    if (route.isPublic || !tables.customers) return core.succeed({route});
    const keyHolder = head.apiKey
      ? tablesInForce.findKeyHolder(head.apiKey)
      : undefined;
    if (!keyHolder) return core.fail('unauthorized', 'the API key is unknown');
    return core.succeed({route, keyHolder});
  }

  private notReadyRetryMs(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const isNormalStart = nowMs - this.startedMs < NORMAL_START_MS;
    return isNormalStart ? NOT_READY_RETRY_MS : STORE_DOWN_RETRY_MS;
  }

  private signatureOf(
    method: string,
    path: string,
    customer: string | undefined,
    body: Buffer,
  ): string {
    return core.hash64Bytes(`${method} ${path} ${customer ?? ''} `, body);
  }

  /**
   * Replaces a failure that promises "not run" although the request may have
   * run, which no path of the dispatcher should return.
   */
  private withholdUnfounded(
    outcome: routedRequest.RequestOutcome,
    {requestId}: wireProtocol.CallerRequestHead,
  ): routedRequest.RequestOutcome {
    if (outcome.type === 'answered' || !promises.isUnfounded(outcome)) {
      return outcome;
    }
    const {failure, runs} = outcome;
    this.kernel.find(core.LOGGER).error('promise_withheld', {
      request: requestId,
      kind: failure.kind,
      detail: failure.detail,
      runs: String(runs),
    });
    const {detail} = failure;
    return {...outcome, failure: {kind: 'endpoint_broke', detail}};
  }

  private sendFailure(
    outcome: routedRequest.RequestOutcome,
    {requestId}: wireProtocol.CallerRequestHead,
    callerResponse: callerResponses.HttpCallerResponse,
  ): Promise<void> {
    if (outcome.type === 'answered') return Promise.resolve();
    const {failure} = outcome;
    const headers = this.kernel
      .find(wireProtocol.WIRE_PROTOCOL)
      .failureHeaders(requestId, failure.retryAfterMs);
    return callerResponse.sendFailure(failure, requestId, headers);
  }
}

/**
 * Waits until the event loop has handled pending socket events. After a pause
 * of this process, a caller's disconnect may still be unread behind its
 * request.
 */
function processPendingSocketEvents(): Promise<void> {
  return new Promise(resolve => {
    let turnsLeft = EVENT_LOOP_TURNS;
    const endTurn = () => {
      turnsLeft -= 1;
      if (turnsLeft === 0) resolve();
      else setImmediate(endTurn);
    };
    setImmediate(endTurn);
  });
}

/**
 * Chooses one of the route's pools by weight; the same id always yields the same
 * pool, so that a stream that is taken up stays in its own.
 */
function choosePool({pools}: model.Route, id: string): string {
  const [first] = pools;
  if (pools.length <= 1) return first?.name ?? '';
  const total = pools.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight = (core.hash32(id) / 2 ** 32) * total;
  for (const {name, weight} of pools) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return name;
  }
  return first!.name;
}
