/**
 * One attempt: sends a request to one endpoint and waits for the head of its
 * response, while the request watch checks the endpoint. The result
 * distinguishes a request that was not sent, one that did not run, and one that
 * may have run.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as routedRequest from './routedrequest.js';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import * as wireProtocol from './wireprotocol.js';
import * as endpointNotices from './endpointnotices.js';
import * as liveness from './liveness.js';
import type * as model from './model.js';
import * as requestWatch from './requestwatch.js';
import * as responseCheck from './responsecheck.js';
import * as sendPermits from './sendpermits.js';
import * as startRecorder from './startrecorder.js';

/** Options of an attempt. */
export interface AttemptOptions {
  readonly request: routedRequest.RoutedRequest;
  readonly endpoint: model.Endpoint;
  readonly timeoutMs: number;
  /**
   * Id of the last event that the caller received; the endpoint resumes after
   * it.
   */
  readonly lastEventId?: string;
  readonly callerGone: AbortSignal;
  /**
   * Whether the request could be sent to another endpoint now, if this attempt
   * were given up.
   */
  readonly mayRetry: () => boolean;
  /**
   * Endpoint that holds the prompt's context; the receiving endpoint copies it
   * before it processes the prompt.
   */
  readonly contextSource?: model.Endpoint;
  /** Whether the endpoint holds the context of the prompt's shared part. */
  readonly holdsPrefix?: boolean;
  /** Monotonic time until which the request may be sent, in ms. */
  readonly permitUntilMs?: number;
}

/**
 * Why a request that may have run has no complete response: `broken`: the
 * connection broke; `protocol`: the response was malformed; `timeout`: the
 * deadline passed; `silent`: no bytes arrived for too long; `dead`: the
 * endpoint crashed or cannot be reached.
 */
export type FailureCause =
  'broken' | 'protocol' | 'timeout' | 'silent' | 'dead';

/** A response that states that the endpoint did not run the request. */
export interface EndpointRefusal {
  readonly type: 'not_run';
  readonly status: number;
  /** Whether the endpoint had no room, and may have some later. */
  readonly isFull: boolean;
  /** Request id in the response's head. */
  readonly headId?: string;
  /** Number of requests that the connection carried before this one. */
  readonly earlierRequests: number;
}

/** The result of an attempt. */
export type AttemptResult =
  /** No byte was sent; another endpoint may be tried. */
  | {
      readonly type: 'not_sent';
      readonly detail: string;
      /** Whether there was no connection, rather than a malformed request. */
      readonly isUnreachable: boolean;
    }
  /**
   * The endpoint announced before the first byte was sent that it accepts no
   * further requests, or the permit to send to it has run out.
   */
  | {readonly type: 'withheld'}
  /** The endpoint reports that it did not run the request. */
  | EndpointRefusal
  | {
      readonly type: 'broken';
      readonly cause: FailureCause;
      readonly detail: string;
      /**
       * Number of requests that the connection carried before this one, if the
       * head of the response was not valid.
       */
      readonly earlierRequests?: number;
    }
  | {readonly type: 'caller_gone'}
  | {readonly type: 'response'; readonly response: EndpointResponse};

/** A response whose head has arrived. */
export interface EndpointResponse {
  readonly response: http.IncomingMessage;
  /** Counts the pieces of the body. */
  readonly meter: core.ItemMeter;
  readonly status: number;
  /** Records that bytes arrived. */
  recordActivity(): void;
  /** Records that the answer began, so that it is no cause of later crashes. */
  recordBegun(): void;
  /**
   * Releases the resources of the attempt, once the response is complete or
   * abandoned.
   */
  release(): void;
  /**
   * Why the request watch or the deadline aborted the attempt; undefined if
   * neither did.
   */
  abortCause(): FailureCause | undefined;
}

/** Sends requests to endpoints. */
export interface AttemptSender {
  send(options: AttemptOptions): Promise<AttemptResult>;
}

/** The contract under which the sender of attempts is registered. */
export const ATTEMPT_SENDER = core.contract<AttemptSender>('attempt-sender', [
  'send',
]);

/** Sends over HTTP. */
export class HttpAttemptSender implements AttemptSender {
  constructor(private readonly kernel: core.Kernel) {}

  async send(options: AttemptOptions): Promise<AttemptResult> {
    const activeAttempt = new ActiveAttempt(this.kernel, options);
    let result: AttemptResult | undefined;
    try {
      result = await this.sendTracked(options, activeAttempt);
      return result;
    } finally {
      // A response is released once it is complete or abandoned.
      if (result?.type !== 'response') activeAttempt.release();
    }
  }

  private async sendTracked(
    options: AttemptOptions,
    activeAttempt: ActiveAttempt,
  ): Promise<AttemptResult> {
    const relayResult = await core.relay.send(
      this.relayOptions(options, activeAttempt),
    );
    if (relayResult.type === 'error') {
      return this.classifyError(options, activeAttempt, relayResult.error);
    }
    const {response, earlierRequests, meter} = relayResult;
    const status = response.statusCode ?? 0;
    const head = this.protocol.readEndpointResponse(status, response.headers);
    activeAttempt.recordActivity();
    this.recordLoad(options.endpoint, head);
    endpointNotices.recordNotices(
      this.kernel,
      options.endpoint,
      options.request.head.requestId,
      head,
    );
    if (!head.isNotRun) {
      activeAttempt.recordHead();
      const opened = activeAttempt.openResponse(response, meter);
      return {type: 'response', response: opened};
    }
    core.relay.discardBody(response);
    if (head.isMisdirected) {
      this.kernel.find(connections.CONNECTION_POOL).remove(options.endpoint.id);
      this.health.recordUnreachable(options.endpoint.id, this.nowMs());
    }
    return {
      type: 'not_run',
      status,
      isFull: !head.isMisdirected && !head.isLeaving && isOverload(status),
      headId: head.requestId,
      earlierRequests,
    };
  }

  private recordLoad(
    {id}: model.Endpoint,
    {isMisdirected, load}: wireProtocol.EndpointResponseHead,
  ): void {
    if (isMisdirected || !load) return;
    const nowMs = this.nowMs();
    const inFlight = load.running + load.waiting;
    this.kernel.find(decisions.FLEET_LOAD).recordReport(id, inFlight, nowMs);
    this.kernel.find(decisions.WORK_OBSERVER).recordLoad(id, load, nowMs);
  }

  private relayOptions(
    options: AttemptOptions,
    activeAttempt: ActiveAttempt,
  ): core.relay.RelayOptions {
    const {request, endpoint, timeoutMs, lastEventId, contextSource} = options;
    const {route, customer, priority} = request;
    const requestHead = {
      endpointId: endpoint.id,
      timeoutMs: Math.max(1, Math.floor(timeoutMs)),
      customer,
      priority,
      lastEventId,
      contextFrom:
        contextSource && `${contextSource.address}:${contextSource.port}`,
    };
    // A request that must run at most once uses a new connection, since a
    // reused one may be closed by the endpoint while the request is under way.
    const agent =
      route.repeat === 'once'
        ? undefined
        : this.kernel.find(connections.CONNECTION_POOL).agent(endpoint);
    return {
      address: endpoint.address,
      port: endpoint.port,
      method: request.method,
      path: request.path,
      headers: this.protocol.endpointRequestHeaders(
        request.headers,
        requestHead,
      ),
      body: request.body,
      agent,
      connectTimeoutMs: Math.min(liveness.CONNECT_TIMEOUT_MS, timeoutMs),
      checkHead: response => this.checkHead(response, request),
      mayDispatch: () => this.mayDispatch(options),
      signal: activeAttempt.signal,
      pacer: this.kernel.find(core.READ_PACER),
    };
  }

  private mayDispatch({endpoint, permitUntilMs}: AttemptOptions): boolean {
    const isPermitted =
      permitUntilMs === undefined
        ? !this.kernel.find(sendPermits.SEND_PERMITS).isLimited(endpoint)
        : this.nowMs() <= permitUntilMs;
    return isPermitted && endpointNotices.isWilling(this.kernel, endpoint);
  }

  private checkHead(
    response: http.IncomingMessage,
    {head: {requestId}}: routedRequest.RoutedRequest,
  ): string | undefined {
    const status = response.statusCode ?? 0;
    const head = this.protocol.readEndpointResponse(status, response.headers);
    return responseCheck.rejectionOf({status, head}, requestId);
  }

  private async classifyError(
    {endpoint, callerGone}: AttemptOptions,
    activeAttempt: ActiveAttempt,
    error: core.relay.RelayError,
  ): Promise<AttemptResult> {
    const {stage, detail, earlierRequests} = error;
    if (stage === 'request') {
      return {type: 'not_sent', detail, isUnreachable: false};
    }
    if (
      stage === 'connect' &&
      activeAttempt.abortCause() === undefined &&
      !callerGone.aborted
    ) {
      this.health.recordUnreachable(endpoint.id, this.nowMs());
      return {type: 'not_sent', detail, isUnreachable: true};
    }
    if (callerGone.aborted) return {type: 'caller_gone'};
    if (stage === 'connect') {
      return {type: 'not_sent', detail, isUnreachable: true};
    }
    if (stage === 'forbidden') return {type: 'withheld'};
    const cause = activeAttempt.abortCause() ?? causeOf(error);
    if (cause === 'broken') {
      // The check records a crash, if there was one, so that the request that
      // caused it can be identified.
      await this.kernel.find(liveness.LIVENESS).check(endpoint);
    }
    return {type: 'broken', cause, detail, earlierRequests};
  }

  private get protocol(): wireProtocol.WireProtocol {
    return this.kernel.find(wireProtocol.WIRE_PROTOCOL);
  }

  private get health() {
    return this.kernel.find(decisions.ENDPOINT_HEALTH);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function isOverload(status: number): boolean {
  return status === 429 || status === 503;
}

function causeOf({cause}: core.relay.RelayError): FailureCause {
  return cause === 'aborted' ? 'broken' : cause;
}

/** The watch, load count, deadline timer and abort signal of one attempt. */
class ActiveAttempt {
  private readonly controller = new AbortController();
  private readonly watchHandle: requestWatch.WatchHandle;
  private readonly tracked: decide.TrackedRequest;
  private readonly sendRecord: startRecorder.SendRecord;
  private readonly onCallerGone = () => this.controller.abort();
  private readonly timeout: NodeJS.Timeout;
  private recordedCause: FailureCause | undefined;
  private isReleased = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: AttemptOptions,
  ) {
    const {endpoint, request, callerGone, timeoutMs} = options;
    const {holdsPrefix = false} = options;
    // Before the count, which includes this request from then on.
    this.sendRecord = kernel
      .find(startRecorder.START_RECORDER)
      .recordSend(request, {id: endpoint.id, holdsPrefix});
    kernel.find(decisions.FLEET_LOAD).recordStart(endpoint.id);
    this.tracked = kernel
      .find(decisions.CRASH_TRACKER)
      .recordStart(request.head.requestId, request.crashKeys, endpoint.id);
    this.watchHandle = kernel.find(requestWatch.REQUEST_WATCH).add({
      endpoint,
      isStream: request.route.repeat === 'stream',
      get isRetryable() {
        return options.mayRetry();
      },
      abort: cause => this.abort(cause),
    });
    this.timeout = setTimeout(() => this.abort('timeout'), timeoutMs);
    callerGone.addEventListener('abort', this.onCallerGone, {once: true});
    if (callerGone.aborted) this.controller.abort();
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  abortCause(): FailureCause | undefined {
    return this.recordedCause;
  }

  recordActivity(): void {
    this.watchHandle.recordActivity();
  }

  recordHead(): void {
    this.kernel.find(decisions.CRASH_TRACKER).recordHead(this.tracked);
  }

  private recordBegun(isSuccess: boolean): void {
    if (this.tracked.stage === 'begun') return;
    if (isSuccess) this.sendRecord.recordFirstEvent();
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(decisions.CRASH_TRACKER).recordBegun(this.tracked, nowMs);
  }

  openResponse(
    response: http.IncomingMessage,
    meter: core.ItemMeter,
  ): EndpointResponse {
    const status = response.statusCode ?? 0;
    const isSuccess = status >= 200 && status < 300;
    return {
      response,
      meter,
      status,
      recordActivity: () => this.recordActivity(),
      recordBegun: () => this.recordBegun(isSuccess),
      release: () =>
        this.release(isSuccess && core.responseEnds.isWhole(response)),
      abortCause: () => this.abortCause(),
    };
  }

  /** @param isComplete whether a successful response arrived as a whole */
  release(isComplete = false): void {
    if (this.isReleased) return;
    this.isReleased = true;
    clearTimeout(this.timeout);
    this.options.callerGone.removeEventListener('abort', this.onCallerGone);
    this.watchHandle.remove();
    const {endpoint} = this.options;
    this.kernel.find(decisions.FLEET_LOAD).recordEnd(endpoint.id);
    this.sendRecord.recordEnd(isComplete);
    this.kernel.find(decisions.CRASH_TRACKER).recordEnd(this.tracked);
  }

  private abort(cause: FailureCause): void {
    this.recordedCause ??= cause;
    this.controller.abort();
  }
}
