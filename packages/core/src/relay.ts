/**
 * HTTP client for forwarding: sends one request and streams the response body
 * to the caller. Requests to endpoints and to other routers take the same
 * steps: connect, send, await the response head, copy the body.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as errors from './errors.js';
import * as joinedHeads from './joinedheads.js';
import * as readPacing from './readpacing.js';
import * as responseEnds from './responseends.js';
import * as responseReadings from './responsereading.js';

export {endToEndHeaders} from './forwardedheaders.js';
export {UnsoundResponseError} from './responsereading.js';

/** The request to send, its destination and its time limits. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /**
   * Checks that a response head belongs to this request. `isReused` states if
   * the connection carried requests before. Returns the reason for rejecting
   * the response, which closes the connection, or undefined to accept it.
   */
  readonly checkHead?: (
    response: http.IncomingMessage,
    isReused: boolean,
  ) => string | undefined;
  /** Pool of keep-alive connections; if absent, a new connection is opened. */
  readonly agent?: http.Agent;
  readonly connectTimeoutMs: number;
  /** Absent if the signal aborts in time. */
  readonly firstByteTimeoutMs?: number;
  /** Time limit for the server to acknowledge the request with a status 102. */
  readonly ackTimeoutMs?: number;
  /** Called just before the first byte is sent; false cancels the request. */
  readonly mayDispatch?: () => boolean;
  /** Cancels the request. */
  readonly signal?: AbortSignal;
  /** Paces the reading of the response; by default it is read as it comes. */
  readonly pacer?: readPacing.ReadPacer;
}

/** Stage at which a request failed. */
export type RelayStage =
  /** The request cannot be written as HTTP; no byte was sent. */
  | 'request'
  /** Connecting failed; no byte was sent. */
  | 'connect'
  /** `mayDispatch` returned false; no byte was sent. */
  | 'forbidden'
  /** Bytes may have been sent; no valid response head was received. */
  | 'sent'
  /** The response head was received, but the body is incomplete. */
  | 'answer';

/** Why a request failed. */
export interface RelayError {
  readonly stage: RelayStage;
  readonly cause: 'timeout' | 'broken' | 'protocol' | 'aborted';
  readonly detail: string;
  /** Whether the server closed a reused keep-alive connection unanswered. */
  readonly isStale?: boolean;
  /**
   * Number of requests that the connection carried before this one; absent if
   * nothing was sent.
   */
  readonly earlierRequests?: number;
}

/** A response head; the body is still to be read. */
export interface ResponseHead {
  readonly type: 'head';
  readonly response: http.IncomingMessage;
  /** Number of requests that the connection carried before this one. */
  readonly earlierRequests: number;
  /** Whether an earlier send of the request may have run. */
  readonly mayHaveRunBefore?: boolean;
  /** Counts the pieces of the body, as its reader takes them. */
  readonly meter: readPacing.ItemMeter;
}

/** A failed request. */
export interface RelayFailure {
  readonly type: 'error';
  readonly error: RelayError;
}

function relayFailure(
  stage: RelayStage,
  cause: RelayError['cause'],
  detail: string,
): RelayFailure {
  return {type: 'error', error: {stage, cause, detail}};
}

class TimeoutError extends Error {}

/** Number of requests that each open connection has carried. */
const requestCounts = new WeakMap<net.Socket, number>();

/** Counts a request; returns the number of those before it. */
function countRequest(socket: net.Socket): number {
  const earlierRequests = requestCounts.get(socket) ?? 0;
  requestCounts.set(socket, earlierRequests + 1);
  return earlierRequests;
}

/**
 * Destroys `target` with a `TimeoutError` after `delayMs`, unless the returned
 * function is called before.
 */
function startTimeout(
  target: {destroy(error: Error): unknown},
  delayMs: number,
  description: string,
): () => void {
  const timer = setTimeout(
    () =>
      target.destroy(new TimeoutError(`${description} within ${delayMs} ms`)),
    delayMs,
  );
  return () => clearTimeout(timer);
}

function startOptionalTimeout(
  target: {destroy(error: Error): unknown},
  delayMs: number | undefined,
  description: string,
): () => void {
  if (!delayMs) return () => undefined;
  return startTimeout(target, delayMs, description);
}

/** Largest body that is written together with the head, in bytes. */
export const MAX_JOINED_BYTES = 16_384;

/**
 * Ends a message with the body. Node.js writes a text with the head at once, and
 * bytes apart from it.
 */
export function endWith(message: http.OutgoingMessage, body: Buffer): void {
  if (body.length > MAX_JOINED_BYTES) message.end(body);
  else message.end(body.toString('latin1'), 'latin1');
}

/** Determines the cause of an error thrown while sending or receiving. */
function classifyError(
  error: unknown,
  signal?: AbortSignal,
): RelayError['cause'] {
  if (error instanceof TimeoutError) return 'timeout';
  if (error instanceof responseReadings.UnsoundResponseError) return 'protocol';
  if (signal?.aborted) return 'aborted';
  // Error codes of the HTTP parser of Node.js begin with HPE_.
  const code = (error as {code?: string}).code ?? '';
  return code.startsWith('HPE_') ? 'protocol' : 'broken';
}

/**
 * Waits for the steps of one request, one after another, with one listener for
 * its failure.
 */
class RequestSteps {
  private failure: Error | undefined;
  private received: http.IncomingMessage | undefined;
  private reject: ((error: Error) => void) | undefined;

  constructor(
    private readonly request: http.ClientRequest,
    signal: AbortSignal | undefined,
  ) {
    const cancel = () => request.destroy(new Error('the request was canceled'));
    request.on('error', error => this.fail(error));
    request.once('close', () => {
      signal?.removeEventListener('abort', cancel);
      if (!this.received) this.fail(new Error('the connection closed'));
    });
    if (signal?.aborted) cancel();
    else signal?.addEventListener('abort', cancel, {once: true});
  }

  /** Resolves with the socket of the request once it is connected. */
  connection(): Promise<net.Socket> {
    return this.step(resolve => {
      this.request.once('socket', socket => {
        if (!socket.connecting) resolve(socket);
        else socket.once('connect', () => resolve(socket));
      });
    });
  }

  /** Resolves with the response once its head has been received. */
  response(): Promise<http.IncomingMessage> {
    return this.step(resolve => {
      this.request.once('response', response => {
        this.received = response;
        resolve(response);
      });
    });
  }

  private step<T>(begin: (resolve: (value: T) => void) => void): Promise<T> {
    return new Promise((resolve, reject) => {
      this.reject = reject;
      if (this.failure) reject(this.failure);
      else begin(resolve);
    });
  }

  private fail(error: Error): void {
    // Without this, a connection reset would look like the regular end of a
    // response that has no content-length.
    this.received?.destroy(error);
    if (this.failure) return;
    this.failure = error;
    this.reject?.(error);
  }
}

/** The content-length header; none for a GET or HEAD without a body. */
function contentLengthHeader({method, body}: RelayOptions): readonly string[] {
  if (body.length === 0 && (method === 'GET' || method === 'HEAD')) return [];
  return ['content-length', String(body.length)];
}

/** The agent of requests that use a connection of their own. */
const SINGLE_USE_AGENT = new http.Agent();

/**
 * The headers as a list, which Node.js writes as it is; an object it would copy
 * into one of its own first.
 */
function headerList(options: RelayOptions): Array<string | string[]> {
  const {headers, address, port} = options;
  const list: Array<string | string[]> = [];
  if (headers.host === undefined) list.push('host', `${address}:${port}`);
  for (const name in headers) {
    if (name !== 'content-length') list.push(name, headers[name]!);
  }
  return list.concat(contentLengthHeader(options));
}

/** Throws if the address, path or a header cannot be written. */
function createRequest(options: RelayOptions): http.ClientRequest {
  const request = http.request({
    host: options.address,
    port: options.port,
    method: options.method,
    path: options.path,
    // The types lack the form that Node.js documents for a list.
    headers: headerList(options) as unknown as http.OutgoingHttpHeaders,
    agent: options.agent ?? SINGLE_USE_AGENT,
  });
  // By default, Node.js drops the fields after the first 1,000 of the response
  // without an error.
  request.maxHeadersCount = 0;
  responseEnds.follow(request);
  return request;
}

/**
 * Closes the connection after the response, so that it is not reused. Used for
 * servers whose responses carry no id: on a reused connection, a late response
 * could be mistaken for the response to the next request.
 */
export function closeAfterResponse(response: http.IncomingMessage): void {
  const {socket} = response;
  response.once('end', () => socket.destroy());
}

/** Sends the request and waits for the response head; never rejects. */
export async function send(
  options: RelayOptions,
): Promise<ResponseHead | RelayFailure> {
  let request: http.ClientRequest;
  try {
    request = createRequest(options);
  } catch (error) {
    return relayFailure('request', 'protocol', errors.errorMessage(error));
  }
  const steps = new RequestSteps(request, options.signal);
  const cancelConnectTimeout = startTimeout(
    request,
    options.connectTimeoutMs,
    'no connection',
  );
  let earlierRequests: number;
  try {
    const socket = await steps.connection();
    earlierRequests = countRequest(socket);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, 1_000);
  } catch (error) {
    return relayFailure(
      'connect',
      classifyError(error, options.signal),
      errors.errorMessage(error),
    );
  } finally {
    cancelConnectTimeout();
  }
  if (options.mayDispatch && !options.mayDispatch()) {
    request.destroy();
    return relayFailure(
      'forbidden',
      'aborted',
      'the request may no longer be dispatched',
    );
  }
  return awaitHead(request, steps, options, earlierRequests);
}

async function awaitHead(
  request: http.ClientRequest,
  steps: RequestSteps,
  options: RelayOptions,
  earlierRequests: number,
): Promise<ResponseHead | RelayFailure> {
  const cancelResponseTimeout = startOptionalTimeout(
    request,
    options.firstByteTimeoutMs,
    'no answer',
  );
  const cancelAckTimeout = startOptionalTimeout(
    request,
    options.ackTimeoutMs,
    'no acknowledgement',
  );
  if (options.ackTimeoutMs) request.once('information', cancelAckTimeout);
  const {meter} = new responseReadings.ResponseReading(request, options);
  endWith(request, options.body);
  try {
    const response = await steps.response();
    const rejection = joinedHeads.isJoinedHead(response)
      ? 'the head holds the status line of another response'
      : options.checkHead?.(response, earlierRequests > 0);
    if (!rejection) return {type: 'head', response, earlierRequests, meter};
    request.destroy();
    const cause = 'protocol';
    const detail = rejection;
    return {
      type: 'error',
      error: {stage: 'sent', cause, detail, earlierRequests},
    };
  } catch (error) {
    const cause = classifyError(error, options.signal);
    const isStale = cause === 'broken' && request.reusedSocket;
    const detail = errors.errorMessage(error);
    return {
      type: 'error',
      error: {stage: 'sent', cause, detail, isStale, earlierRequests},
    };
  } finally {
    cancelResponseTimeout();
    cancelAckTimeout();
  }
}

/**
 * Sends a request that may be repeated. If a keep-alive connection turns out to
 * be closed, sends it once more on a new connection.
 */
export async function sendRepeatable(
  options: RelayOptions,
): Promise<ResponseHead | RelayFailure> {
  const result = await send(options);
  if (result.type === 'head' || !result.error.isStale) return result;
  const retryResult = await send({...options, agent: undefined});
  if (retryResult.type === 'head') {
    return {...retryResult, mayHaveRunBefore: true};
  }
  // If nothing was sent this time, the first request is the one to report: it
  // may have run, and the server may have crashed under it.
  return retryResult.error.stage === 'sent' ? retryResult : result;
}

/** Destination of a streamed body. */
export interface ChunkSink {
  /** Writes a chunk; resolves when the next one may be written. */
  write(chunk: Buffer): Promise<void>;
}

/** Streams the body to `sink`; resolves with the error if it is incomplete. */
export async function copyBody(
  response: http.IncomingMessage,
  sink: ChunkSink,
  idleTimeoutMs: number,
): Promise<RelayError | undefined> {
  let cancelIdleTimeout = startTimeout(
    response,
    idleTimeoutMs,
    'no further body bytes',
  );
  try {
    for await (const chunk of response) {
      cancelIdleTimeout();
      await sink.write(chunk as Buffer);
      cancelIdleTimeout = startTimeout(
        response,
        idleTimeoutMs,
        'no further body bytes',
      );
    }
  } catch (error) {
    const detail = errors.errorMessage(error);
    return {stage: 'answer', cause: classifyError(error), detail};
  } finally {
    cancelIdleTimeout();
  }
  if (responseEnds.isWhole(response)) return undefined;
  const detail = 'the connection closed before the end of the response body';
  return {stage: 'answer', cause: 'broken', detail};
}

/** Limits of a body that is read only to reuse its connection. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARDED_PIECES = 1_024;
const DISCARD_TIMEOUT_MS = 1_000;

/**
 * Reads the rest of a body that nobody needs, so that its connection can be
 * reused. One that is long, or takes long, closes its connection instead.
 */
export function discardBody(response: http.IncomingMessage): void {
  let discardedBytes = 0;
  let discardedPieces = 0;
  const timer = setTimeout(() => response.destroy(), DISCARD_TIMEOUT_MS);
  response.once('close', () => clearTimeout(timer));
  response.on('error', () => undefined);
  response.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    discardedPieces += 1;
    const isLong =
      discardedBytes > MAX_DISCARDED_BYTES ||
      discardedPieces > MAX_DISCARDED_PIECES;
    if (isLong) response.destroy();
  });
}

/** Limits of a response body that is read as a whole. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time without a further byte, in ms. */
  readonly idleTimeoutMs: number;
  /** Longest time for the whole body, in ms. */
  readonly totalTimeoutMs: number;
}

/**
 * Reads a response body; resolves with undefined if the body is incomplete or
 * exceeds a limit.
 */
export async function collectBody(
  response: http.IncomingMessage,
  {maxBytes, idleTimeoutMs, totalTimeoutMs}: BodyLimits,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  const startIdleTimeout = () =>
    startTimeout(response, idleTimeoutMs, 'no further body bytes');
  const cancelTotalTimeout = startTimeout(
    response,
    totalTimeoutMs,
    'no complete response',
  );
  let cancelIdleTimeout = startIdleTimeout();
  try {
    for await (const chunk of response) {
      cancelIdleTimeout();
      chunks.push(chunk as Buffer);
      receivedBytes += (chunk as Buffer).length;
      if (receivedBytes > maxBytes) return undefined;
      cancelIdleTimeout = startIdleTimeout();
    }
  } catch {
    return undefined;
  } finally {
    cancelIdleTimeout();
    cancelTotalTimeout();
  }
  return responseEnds.isWhole(response) ? Buffer.concat(chunks) : undefined;
}
