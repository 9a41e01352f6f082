/**
 * Delivers an endpoint's response to the caller. Responses other than event
 * streams are buffered first, so that a truncated one can be retried at another
 * endpoint, unless they exceed the buffer limit. Event streams are passed on
 * event by event, and can be resumed with a second endpoint's response; one that
 * ends inside an event, or in which an id goes back, is broken.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as routedRequest from './routedrequest.js';
import type * as attempt from './attempt.js';
import * as bodies from './responsebody.js';
import * as promises from './promises.js';
import * as wireProtocol from './wireprotocol.js';
import * as eventSplitter from './eventsplitter.js';
import * as liveness from './liveness.js';
import * as model from './model.js';
import * as streamRecorder from './streamrecorder.js';
import * as streamVersions from './streamversions.js';

/** The result of an attempt whose response was handled. */
export type DeliveryResult =
  | {readonly type: 'delivered'; readonly status: number}
  /** The endpoint ran the request and failed; another may succeed. */
  | {readonly type: 'failed_run'; readonly status: number}
  | Exclude<attempt.AttemptResult, {type: 'response'}>;

interface BufferedResponse {
  readonly status: number;
  readonly headers: wireProtocol.HeaderMap;
  readonly framing: routedRequest.Framing;
  readonly body: bodies.BufferedBody;
}

/**
 * Memory that an unfinished event takes without being counted, in bytes. Most
 * events that arrive in several chunks are shorter.
 */
const UNCOUNTED_EVENT_BYTES = 16_384;

/** Error for an event that finds no memory to be completed in. */
const NO_EVENT_MEMORY = new Error('there is no memory for a whole event');

/** Error for an end that can't be passed on. */
const UNMARKED_END = new Error(
  'the connection closed, and nothing tells whether the stream is complete',
);

/** Delivers the response to one request. */
export class ResponseDelivery {
  private readonly splitter: eventSplitter.EventSplitter;
  /** What is held for the event that is not yet complete, in bytes. */
  private heldEventBytes = 0;
  /** How the end of an event stream is marked for the caller. */
  private callerFraming: routedRequest.Framing | undefined;
  private lastFailure: BufferedResponse | undefined;
  private firstVersion: string | undefined;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly request: routedRequest.RoutedRequest,
    private readonly outgoing: routedRequest.CallerResponse,
  ) {
    // On other routes, the field has no meaning.
    const lastEventId = request.route.isResumable
      ? request.head.lastEventId
      : undefined;
    this.splitter = new eventSplitter.EventSplitter(lastEventId);
  }

  get callerGone(): AbortSignal {
    return this.outgoing.callerGone;
  }

  get hasBegun(): boolean {
    return this.outgoing.hasBegun;
  }

  /** Id of the last event sent to the caller by this router. */
  get lastEventId(): string | undefined {
    return this.splitter.lastEventId;
  }

  /**
   * Version of the endpoint that sent the first event; undefined if there was
   * none yet.
   */
  get begunVersion(): string | undefined {
    return this.firstVersion;
  }

  /** Whether another endpoint's response can continue what the caller has. */
  get canResume(): boolean {
    return (
      !this.hasBegun ||
      (this.request.route.repeat === 'stream' && this.splitter.canResume)
    );
  }

  /** Aborts a response that cannot be completed. */
  abort(): void {
    this.outgoing.abort();
  }

  /**
   * Sends the last failure response of an endpoint; returns its status, or
   * undefined if nothing was sent.
   */
  deliverLastFailure(): number | undefined {
    if (!this.lastFailure || this.outgoing.callerGone.aborted) return undefined;
    this.sendBuffered(this.lastFailure);
    return this.lastFailure.status;
  }

  /** Handles the response to one attempt. */
  async deliver(
    incoming: attempt.EndpointResponse,
    endpoint: model.Endpoint,
    isLastSend: boolean,
  ): Promise<DeliveryResult> {
    try {
      const isStream =
        this.request.route.repeat === 'stream' && isSuccess(incoming.status);
      const result = isStream
        ? await this.relayEventStream(incoming, endpoint)
        : await this.relayBuffered(incoming, isLastSend);
      if (result.type === 'delivered' || result.type === 'failed_run') {
        incoming.recordBegun();
      }
      return await this.checkForCrash(result, endpoint);
    } catch (error) {
      // The head or body cannot be passed on.
      incoming.response.destroy();
      const detail = core.errorMessage(error);
      return {type: 'broken', cause: 'protocol', detail};
    } finally {
      incoming.release();
    }
  }

  private async relayBuffered(
    incoming: attempt.EndpointResponse,
    isLastSend: boolean,
  ): Promise<DeliveryResult> {
    const {response, status} = incoming;
    // An event stream that has begun can only be resumed by a success. A status
    // that promises that the request did not run is not true of one that may have.
    if (this.hasBegun || promises.isPromise(status)) {
      core.relay.discardBody(response);
      return {type: 'failed_run', status};
    }
    const reader = new core.BodyReader(response, incoming.meter);
    const {memory} = this.outgoing;
    const body = await bodies.readBuffered(incoming, reader, memory);
    if (body instanceof Error) return this.breakResult(incoming, body);
    if (body.exceedsBuffer) {
      return this.relayUnbuffered(incoming, body.chunks, reader);
    }
    const headers = this.callerHeaders(response);
    const framing = framingOf(response);
    const isFailure = status >= 500;
    if (
      isFailure &&
      routedRequest.isRetryable(this.request.route) &&
      !isLastSend
    ) {
      this.lastFailure = {status, headers, framing, body};
      return {type: 'failed_run', status};
    }
    if (this.outgoing.callerGone.aborted) return {type: 'caller_gone'};
    this.sendBuffered({status, headers, framing, body});
    return {type: 'delivered', status};
  }

  /**
   * Passes on a response that exceeds the buffer limit, beginning with the part
   * already read.
   */
  private async relayUnbuffered(
    incoming: attempt.EndpointResponse,
    bufferedChunks: readonly Buffer[],
    reader: core.BodyReader,
  ): Promise<DeliveryResult> {
    const {response, status} = incoming;
    const {'content-length': length} = response.headers;
    const headers = this.callerHeaders(response);
    const sentHeaders =
      length === undefined ? headers : {...headers, 'content-length': length};
    this.outgoing.writeHead(status, sentHeaders, framingOf(response));
    try {
      await this.outgoing.writeAll(bufferedChunks);
      for (;;) {
        if (this.outgoing.callerGone.aborted) return {type: 'caller_gone'};
        const chunk = await bodies.nextChunk(incoming, reader);
        if (!chunk) break;
        await this.outgoing.write(chunk);
      }
    } catch (error) {
      return this.breakResult(incoming, error);
    }
    if (!core.responseEnds.isWhole(response)) {
      return this.breakResult(incoming, bodies.TRUNCATED);
    }
    this.outgoing.end();
    return {type: 'delivered', status};
  }

  private sendBuffered({
    status,
    headers,
    framing,
    body,
  }: BufferedResponse): void {
    const sentHeaders = {...headers};
    if (framing === 'marked') {
      sentHeaders['content-length'] = String(body.byteCount);
    }
    // What waits for the caller is held by the write.
    this.outgoing.memory.release(body.byteCount);
    this.outgoing.writeHead(status, sentHeaders, framing);
    this.outgoing.endWith(body.chunks);
  }

  private async relayEventStream(
    incoming: attempt.EndpointResponse,
    endpoint: model.Endpoint,
  ): Promise<DeliveryResult> {
    const {response, status} = incoming;
    let end: streamRecorder.StreamEnd = 'broken';
    const framing = framingOf(response);
    if (!this.hasBegun) {
      const headers = this.callerHeaders(response);
      this.callerFraming = framing;
      this.outgoing.writeHead(status, headers, framing);
    }
    try {
      const isCallerGone = await this.relayEvents(incoming, endpoint);
      if (isCallerGone) return {type: 'caller_gone'};
      // Only the events tell whether a stream that ends with its connection is
      // complete.
      const isWhole = core.responseEnds.isWhole(response);
      if (!isWhole || this.splitter.isInsideEvent) {
        return this.breakResult(incoming, bodies.TRUNCATED);
      }
      end = framing === 'marked' ? 'length_or_chunks' : 'connection';
      // The mark would tell the caller what an ordinary close doesn't tell.
      if (this.callerFraming === 'marked' && framing === 'connection') {
        return this.breakResult(incoming, UNMARKED_END);
      }
      const remainder = this.splitter.remainder();
      if (remainder.length > 0) await this.outgoing.write(remainder);
      this.outgoing.end();
      return {type: 'delivered', status};
    } catch (error) {
      return this.breakResult(incoming, error);
    } finally {
      if (!this.callerGone.aborted) this.recorder.recordEnd(end);
      // Any bytes left belong to a response that is given up.
      if (!response.readableEnded) response.destroy();
      this.splitter.reset();
      this.holdEvent();
    }
  }

  /** Passes events on until the last one; returns whether the caller has gone. */
  private async relayEvents(
    incoming: attempt.EndpointResponse,
    endpoint: model.Endpoint,
  ): Promise<boolean> {
    const {outgoing, splitter} = this;
    const reader = new core.BodyReader(incoming.response, incoming.meter);
    for (;;) {
      const chunk = await bodies.nextChunk(incoming, reader);
      if (!chunk) return false;
      const events = splitter.push(chunk);
      const {oddEvent} = splitter;
      if (oddEvent) {
        this.recorder.recordOddEvent(this.request, endpoint, oddEvent);
      }
      if (!this.holdEvent()) throw NO_EVENT_MEMORY;
      if (events.length === 0) {
        // The chunk was copied.
        outgoing.memory.connection.recordPassed(chunk.length);
      } else {
        incoming.recordBegun();
        this.recordVersion(endpoint);
        const drained = outgoing.write(events);
        if (drained) await drained;
      }
      if (outgoing.callerGone.aborted) return true;
      if (oddEvent?.fault === 'back') {
        throw new eventSplitter.OutOfOrderError(oddEvent);
      }
    }
  }

  /** Records where the stream began, which its caller may take up elsewhere. */
  private recordVersion(endpoint: model.Endpoint): void {
    if (this.firstVersion !== undefined) return;
    this.firstVersion = model.versionOf(endpoint);
    this.kernel
      .find(streamVersions.STREAM_VERSIONS)
      .recordBegun(this.request, endpoint);
  }

  /** Holds what the unfinished event takes; false if there is no memory. */
  private holdEvent(): boolean {
    const {memory} = this.outgoing;
    const {pendingBytes} = this.splitter;
    const bytes = pendingBytes > UNCOUNTED_EVENT_BYTES ? pendingBytes : 0;
    const addedBytes = bytes - this.heldEventBytes;
    if (addedBytes > 0) {
      if (!memory.hold(addedBytes)) return false;
      // What it took before was copied.
      memory.connection.recordPassed(this.heldEventBytes);
    }
    if (addedBytes < 0) memory.release(-addedBytes);
    this.heldEventBytes = bytes;
    return true;
  }

  private breakResult(
    incoming: attempt.EndpointResponse,
    error: unknown,
  ): DeliveryResult {
    if (this.outgoing.callerGone.aborted) return {type: 'caller_gone'};
    const isUnsound =
      error instanceof core.relay.UnsoundResponseError ||
      error instanceof eventSplitter.OutOfOrderError;
    const cause = incoming.abortCause() ?? (isUnsound ? 'protocol' : 'broken');
    return {type: 'broken', cause, detail: core.errorMessage(error)};
  }

  /**
   * Checks the endpoint after a broken response, which records a crash, if
   * there was one, so that the request that caused it can be identified.
   */
  private async checkForCrash(
    result: DeliveryResult,
    endpoint: model.Endpoint,
  ): Promise<DeliveryResult> {
    if (result.type !== 'broken' || result.cause !== 'broken') return result;
    const probeResult = await this.kernel
      .find(liveness.LIVENESS)
      .check(endpoint);
    return probeResult === 'alive' ? result : {...result, cause: 'dead'};
  }

  private get recorder(): streamRecorder.StreamRecorder {
    return this.kernel.find(streamRecorder.STREAM_RECORDER);
  }

  /**
   * Headers for the caller, without content-length, which is set again on
   * sending.
   */
  private callerHeaders(
    response: http.IncomingMessage,
  ): wireProtocol.HeaderMap {
    const protocol = this.kernel.find(wireProtocol.WIRE_PROTOCOL);
    const {'content-length': length, ...otherHeaders} =
      protocol.callerResponseHeaders(response.headers);
    void length;
    return otherHeaders;
  }
}

function framingOf({headers}: http.IncomingMessage): routedRequest.Framing {
  const isMarked =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return isMarked ? 'marked' : 'connection';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
