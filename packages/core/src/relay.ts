/**
 * Sends one request over HTTP and copies the answer as it streams. Endpoints
 * and other routers are reached through the same steps, written straight down:
 * connect, send, await the head, copy the body.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as errors from './errors.js';

/** Where and how a request is sent. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /**
   * Why a head cannot be taken for the answer to this request; undefined where
   * it can.
   */
  readonly checkHead?: (
    response: http.IncomingMessage,
    isReused: boolean,
  ) => string | undefined;
  /** Kept connections; absent: a connection of its own. */
  readonly agent?: http.Agent;
  readonly connectTimeoutMs: number;
  readonly firstByteTimeoutMs: number;
  /** How long the other end may take to acknowledge with a 102. */
  readonly ackTimeoutMs?: number;
  /** Asked last before the first byte leaves; false: send nothing. */
  readonly mayDispatch?: () => boolean;
  /** Ends the relay early. */
  readonly signal?: AbortSignal;
}

/** How far a failed relay came. */
export type Stage =
  /** No byte of the request left. */
  | 'connect'
  /** The dispatch was forbidden; no byte left. */
  | 'forbidden'
  /** Bytes may have left; no head came. */
  | 'sent'
  /** The head had come; the answer is not whole. */
  | 'answer';

/** Why a relay failed. */
export interface RelayError {
  readonly stage: Stage;
  readonly cause: 'timeout' | 'broken' | 'protocol' | 'aborted';
  readonly detail: string;
  /** A kept connection was closed by the other end before it answered. */
  readonly isStale?: boolean;
}

/** A head that came, with the body still to read. */
export interface Head {
  readonly type: 'head';
  readonly response: http.IncomingMessage;
}

/** A relay that failed. */
export interface Failed {
  readonly type: 'error';
  readonly error: RelayError;
}

function stop(
  stage: Stage,
  cause: RelayError['cause'],
  detail: string,
): Failed {
  return {type: 'error', error: {stage, cause, detail}};
}

class Timeout extends Error {}

/** Destroys `target` with a Timeout unless the returned function is called. */
function limit(
  target: {destroy(error: Error): unknown},
  delayMs: number,
  what: string,
): () => void {
  const timer = setTimeout(
    () => target.destroy(new Timeout(`${what} within ${delayMs} ms`)),
    delayMs,
  );
  return () => clearTimeout(timer);
}

function causeOf(error: unknown, signal?: AbortSignal): RelayError['cause'] {
  if (error instanceof Timeout) return 'timeout';
  if (signal?.aborted) return 'aborted';
  const code = (error as {code?: string}).code ?? '';
  return code.startsWith('HPE_') ? 'protocol' : 'broken';
}

function connected(request: http.ClientRequest): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    request.once('error', reject);
    request.once('close', () => reject(new Error('the connection closed')));
    request.once('socket', socket => {
      if (!socket.connecting) resolve(socket);
      else socket.once('connect', () => resolve(socket));
    });
  });
}

function answered(request: http.ClientRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once('error', reject);
    request.once('close', () => reject(new Error('the connection closed')));
    request.once('response', resolve);
  });
}

/** A GET without a body says nothing of its length. */
function length({method, body}: RelayOptions): Record<string, string> {
  if (body.length === 0 && (method === 'GET' || method === 'HEAD')) return {};
  return {'content-length': String(body.length)};
}

function open(options: RelayOptions): http.ClientRequest {
  return http.request({
    host: options.address,
    port: options.port,
    method: options.method,
    path: options.path,
    headers: {...options.headers, ...length(options)},
    agent: options.agent ?? false,
    signal: options.signal,
  });
}

/** Keeps a connection from being used again, on which answers have no id. */
export function closeAfter(response: http.IncomingMessage): void {
  const {socket} = response;
  response.once('end', () => socket.destroy());
}

/** Sends the request and waits for the head of the answer. */
export async function send(options: RelayOptions): Promise<Head | Failed> {
  const request = open(options);
  request.on('error', () => undefined);
  const endConnect = limit(request, options.connectTimeoutMs, 'no connection');
  try {
    const socket = await connected(request);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, 1_000);
  } catch (error) {
    return stop(
      'connect',
      causeOf(error, options.signal),
      errors.reason(error),
    );
  } finally {
    endConnect();
  }
  if (options.mayDispatch && !options.mayDispatch()) {
    request.destroy();
    return stop('forbidden', 'aborted', 'the time to dispatch has passed');
  }
  return awaitHead(request, options);
}

async function awaitHead(
  request: http.ClientRequest,
  options: RelayOptions,
): Promise<Head | Failed> {
  const endWait = limit(request, options.firstByteTimeoutMs, 'no answer');
  const endAck = options.ackTimeoutMs
    ? limit(request, options.ackTimeoutMs, 'no acknowledgement')
    : () => undefined;
  request.once('information', endAck);
  request.end(options.body);
  try {
    const response = await answered(request);
    const fault = options.checkHead?.(response, request.reusedSocket);
    if (!fault) {
      // A reset would else pass for the end of an answer without a length.
      request.once('error', error => response.destroy(error));
      return {type: 'head', response};
    }
    request.destroy();
    return stop('sent', 'protocol', fault);
  } catch (error) {
    const cause = causeOf(error, options.signal);
    const isStale = cause === 'broken' && request.reusedSocket;
    const detail = errors.reason(error);
    return {type: 'error', error: {stage: 'sent', cause, detail, isStale}};
  } finally {
    endWait();
    endAck();
  }
}

/**
 * Sends a request that may be repeated: once more over a connection of its
 * own where a kept one turns out to be closed.
 */
export async function sendRepeatable(
  options: RelayOptions,
): Promise<Head | Failed> {
  const first = await send(options);
  if (first.type === 'head' || !first.error.isStale) return first;
  const second = await send({...options, agent: undefined});
  // No new connection either: the other end crashed, maybe under the request.
  const isGone = second.type === 'error' && second.error.stage === 'connect';
  return isGone ? first : second;
}

/** Takes the pieces of a body as they come. */
export interface PieceTaker {
  /** Resolves when the next piece may come. */
  write(piece: Buffer): Promise<void>;
}

/** Copies the body to the taker; resolves with the error that cut it. */
export async function copy(
  response: http.IncomingMessage,
  answer: PieceTaker,
  idleTimeoutMs: number,
): Promise<RelayError | undefined> {
  let endIdle = limit(response, idleTimeoutMs, 'no further byte');
  try {
    for await (const chunk of response) {
      endIdle();
      await answer.write(chunk as Buffer);
      endIdle = limit(response, idleTimeoutMs, 'no further byte');
    }
  } catch (error) {
    const detail = errors.reason(error);
    return {stage: 'answer', cause: causeOf(error), detail};
  } finally {
    endIdle();
  }
  if (response.complete) return undefined;
  const detail = 'the connection ended within the answer';
  return {stage: 'answer', cause: 'broken', detail};
}

/** Reads a body whole, up to a limit; undefined where it is cut or larger. */
export async function collect(
  response: http.IncomingMessage,
  maxBytes: number,
  idleTimeoutMs: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  const endIdle = limit(response, idleTimeoutMs, 'no whole answer');
  try {
    for await (const chunk of response) {
      chunks.push(chunk as Buffer);
      size += (chunk as Buffer).length;
      if (size > maxBytes) return undefined;
    }
  } catch {
    return undefined;
  } finally {
    endIdle();
  }
  return response.complete ? Buffer.concat(chunks) : undefined;
}

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
]);

/** Headers that go on to the next hop, single values joined. */
export function endToEnd(
  headers: http.IncomingHttpHeaders,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
