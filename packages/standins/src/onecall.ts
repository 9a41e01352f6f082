/** One HTTP request of a caller over one connection, to the answer's end. */
import * as core from '@oleanderrock/core';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as answers from './answers.js';

/** One address of the fleet. */
export interface CallAddress {
  readonly address: string;
  readonly port: number;
}

/** One request. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly customer: string;
  readonly chat?: string;
  readonly idempotencyKey?: string;
  /** Sent as JSON together with a nonce; a GET has its nonce in the query. */
  readonly body?: object;
  /** The caller gives up when it aborts. */
  readonly signal?: AbortSignal;
}

/** How to make the call. */
export interface CallOptions {
  readonly nonce: string;
  /** False makes a new connection. */
  readonly agent: http.Agent | false;
  readonly timeoutMs: number;
  readonly connectTimeoutMs: number;
}

/** How the call went. */
export type Outcome =
  | {readonly type: 'raw'; readonly answer: answers.RawAnswer}
  /** No connection was made. */
  | {readonly type: 'unconnected'; readonly reason: string}
  /** A kept connection had been closed before the request came. */
  | {readonly type: 'stale'; readonly reason: string}
  | {readonly type: 'broken'; readonly reason: string};

interface Progress {
  readonly isConnected: boolean;
  readonly isAnswered: boolean;
}

function headers(request: CallRequest): http.OutgoingHttpHeaders {
  const {customer, chat, idempotencyKey} = request;
  return {
    ...(customer && {[core.headers.CUSTOMER]: customer}),
    ...(chat && {[core.headers.CHAT]: chat}),
    ...(idempotencyKey && {[core.headers.IDEMPOTENCY_KEY]: idempotencyKey}),
  };
}

function path(request: CallRequest, nonce: string): string {
  if (request.method !== 'GET' || nonce === '') return request.path;
  const mark = request.path.includes('?') ? '&' : '?';
  return `${request.path}${mark}nonce=${nonce}`;
}

function send(
  address: CallAddress,
  request: CallRequest,
  options: CallOptions,
): http.ClientRequest {
  const sent = http.request({
    host: address.address,
    port: address.port,
    method: request.method,
    path: path(request, options.nonce),
    headers: headers(request),
    agent: options.agent,
    signal: request.signal,
  });
  if (request.method === 'GET') return sent.end();
  const body = JSON.stringify({...request.body, nonce: options.nonce});
  sent.setHeader('content-type', 'application/json');
  sent.setHeader('content-length', Buffer.byteLength(body));
  return sent.end(body);
}

function watch(sent: http.ClientRequest, connectTimeoutMs: number): Progress {
  const progress = {isConnected: false, isAnswered: false};
  sent.on('error', () => {});
  sent.once('response', () => (progress.isAnswered = true));
  sent.once('socket', (socket: net.Socket) => {
    progress.isConnected = !socket.connecting;
    if (!socket.connecting) return;
    const late = () => socket.destroy(new Error('no connection in time'));
    const timer = setTimeout(late, connectTimeoutMs);
    socket.once('connect', () => (progress.isConnected = true));
    socket.once('connect', () => clearTimeout(timer));
    socket.once('close', () => clearTimeout(timer));
  });
  return progress;
}

async function read(
  sent: http.ClientRequest,
  beganMs: number,
): Promise<answers.RawAnswer> {
  const arrival = await events.EventEmitter.once(sent, 'response');
  const response = arrival[0] as http.IncomingMessage;
  const chunks: Buffer[] = [];
  let firstByteMs = Number.NaN;
  for await (const chunk of response) {
    if (chunks.length === 0) firstByteMs = performance.now() - beganMs;
    chunks.push(chunk as Buffer);
  }
  const totalMs = performance.now() - beganMs;
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(chunks).toString(),
    firstByteMs: chunks.length > 0 ? firstByteMs : totalMs,
    totalMs,
  };
}

function classify(
  sent: http.ClientRequest,
  request: CallRequest,
  progress: Progress,
  error: unknown,
): Outcome {
  const reason = core.errorMessage(error);
  if (request.signal?.aborted) return {type: 'broken', reason: 'given up'};
  if (!progress.isConnected) return {type: 'unconnected', reason};
  const code = (error as NodeJS.ErrnoException).code;
  const isReset = code === 'ECONNRESET' || code === 'EPIPE';
  const mayRepeat = request.idempotencyKey === undefined;
  const isStale = sent.reusedSocket && isReset && !progress.isAnswered;
  if (isStale && mayRepeat) return {type: 'stale', reason};
  return {type: 'broken', reason};
}

/** Sends a request and reads its answer; failures come back as outcomes. */
export async function call(
  address: CallAddress,
  request: CallRequest,
  options: CallOptions,
): Promise<Outcome> {
  const beganMs = performance.now();
  const sent = send(address, request, options);
  const progress = watch(sent, options.connectTimeoutMs);
  const late = () => sent.destroy(new Error('no whole answer in time'));
  const timer = setTimeout(late, options.timeoutMs);
  try {
    return {type: 'raw', answer: await read(sent, beganMs)};
  } catch (error) {
    return classify(sent, request, progress, error);
  } finally {
    clearTimeout(timer);
  }
}
