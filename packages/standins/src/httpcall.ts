/** One HTTP request over one connection, up to the end of the answer. */
import * as core from '@oleanderrock/core';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as answers from './answers.js';

/** Address to which a request is clientRequest. */
export interface CallAddress {
  readonly address: string;
  readonly port: number;
}

/** Request of a caller. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly customer: string;
  readonly chat?: string;
  readonly idempotencyKey?: string;
  /** Sent as JSON with the nonce added; a GET has the nonce in its query. */
  readonly body?: object;
  /** Aborting it cancels the request. */
  readonly signal?: AbortSignal;
}

/** Options for sending a request. */
export interface CallOptions {
  readonly nonce: string;
  /** Connection pool; false opens a new connection. */
  readonly agent: http.Agent | false;
  readonly timeoutMs: number;
  readonly connectTimeoutMs: number;
}

/** Outcome of a request. */
export type CallOutcome =
  | {readonly type: 'raw'; readonly answer: answers.RawAnswer}
  /** No connection could be made. */
  | {readonly type: 'unconnected'; readonly reason: string}
  /** The peer closed a pooled connection before it answered. */
  | {readonly type: 'stale'; readonly reason: string}
  | {readonly type: 'broken'; readonly reason: string};

interface CallProgress {
  readonly isConnected: boolean;
  readonly isAnswered: boolean;
}

function requestHeaders(request: CallRequest): http.OutgoingHttpHeaders {
  const {customer, chat, idempotencyKey} = request;
  return {
    ...(customer && {[core.headers.CUSTOMER]: customer}),
    ...(chat && {[core.headers.CHAT]: chat}),
    ...(idempotencyKey && {[core.headers.IDEMPOTENCY_KEY]: idempotencyKey}),
  };
}

function requestPath(request: CallRequest, nonce: string): string {
  if (request.method !== 'GET' || nonce === '') return request.path;
  const separator = request.path.includes('?') ? '&' : '?';
  return `${request.path}${separator}nonce=${nonce}`;
}

function startRequest(
  address: CallAddress,
  request: CallRequest,
  options: CallOptions,
): http.ClientRequest {
  const clientRequest = http.request({
    host: address.address,
    port: address.port,
    method: request.method,
    path: requestPath(request, options.nonce),
    headers: requestHeaders(request),
    agent: options.agent,
    signal: request.signal,
  });
  clientRequest.maxHeadersCount = 0;
  core.responseEnds.follow(clientRequest);
  if (request.method === 'GET') return clientRequest.end();
  const body = JSON.stringify({...request.body, nonce: options.nonce});
  clientRequest.setHeader('content-type', 'application/json');
  clientRequest.setHeader('content-length', Buffer.byteLength(body));
  return clientRequest.end(body);
}

function trackProgress(
  clientRequest: http.ClientRequest,
  connectTimeoutMs: number,
): CallProgress {
  const progress = {isConnected: false, isAnswered: false};
  clientRequest.on('error', () => {});
  clientRequest.once('response', () => (progress.isAnswered = true));
  clientRequest.once('socket', (socket: net.Socket) => {
    progress.isConnected = !socket.connecting;
    if (!socket.connecting) return;
    const onTimeout = () => socket.destroy(new Error('connect timed out'));
    const timer = setTimeout(onTimeout, connectTimeoutMs);
    socket.once('connect', () => (progress.isConnected = true));
    socket.once('connect', () => clearTimeout(timer));
    socket.once('close', () => clearTimeout(timer));
  });
  return progress;
}

async function readAnswer(
  clientRequest: http.ClientRequest,
  startedMs: number,
): Promise<answers.RawAnswer> {
  const responseEvent = await events.EventEmitter.once(
    clientRequest,
    'response',
  );
  const response = responseEvent[0] as http.IncomingMessage;
  const chunks: Buffer[] = [];
  let firstByteMs = Number.NaN;
  for await (const chunk of response) {
    if (chunks.length === 0) firstByteMs = performance.now() - startedMs;
    chunks.push(chunk as Buffer);
  }
  if (!core.responseEnds.isWhole(response)) {
    throw new Error('the connection was reset during the answer');
  }
  const totalMs = performance.now() - startedMs;
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(chunks).toString(),
    firstByteMs: chunks.length > 0 ? firstByteMs : totalMs,
    totalMs,
  };
}

function classifyError(
  clientRequest: http.ClientRequest,
  request: CallRequest,
  progress: CallProgress,
  error: unknown,
): CallOutcome {
  const reason = core.errorMessage(error);
  if (request.signal?.aborted) return {type: 'broken', reason: 'cancelled'};
  if (!progress.isConnected) return {type: 'unconnected', reason};
  const code = (error as NodeJS.ErrnoException).code;
  const isReset = code === 'ECONNRESET' || code === 'EPIPE';
  const isRepeatable = request.idempotencyKey === undefined;
  const isStale = clientRequest.reusedSocket && isReset && !progress.isAnswered;
  if (isStale && isRepeatable) return {type: 'stale', reason};
  return {type: 'broken', reason};
}

/** Sends a request and reads its answer; failures are returned as outcomes. */
export async function sendCall(
  address: CallAddress,
  request: CallRequest,
  options: CallOptions,
): Promise<CallOutcome> {
  const startedMs = performance.now();
  const clientRequest = startRequest(address, request, options);
  const progress = trackProgress(clientRequest, options.connectTimeoutMs);
  const onTimeout = () =>
    clientRequest.destroy(new Error('answer timed out before its end'));
  const timer = setTimeout(onTimeout, options.timeoutMs);
  try {
    return {type: 'raw', answer: await readAnswer(clientRequest, startedMs)};
  } catch (error) {
    return classifyError(clientRequest, request, progress, error);
  } finally {
    clearTimeout(timer);
  }
}
