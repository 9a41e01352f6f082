/** JSON calls over HTTP to the platform and to endpoints' load reports. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as headCheck from './headcheck.js';

const MAX_ANSWER_BYTES = 16 << 20;

/** Request and limits of one call. */
export interface JsonCall {
  readonly address: string;
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly body?: unknown;
  readonly agent?: http.Agent;
  /** Time-out of each phase: connecting, first byte and body. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Receives the bytes that the call sent and received on its connection. */
  readonly meter?: (sentBytes: number, receivedBytes: number) => void;
}

/** Outcome of a call. */
export type JsonReply =
  | {readonly type: 'reply'; readonly status: number; readonly body: unknown}
  | {readonly type: 'error'; readonly error: core.relay.RelayError};

interface SocketBytes {
  sentBytes: number;
  receivedBytes: number;
}

/** Byte counts of each connection at the end of its last call. */
const meteredBytes = new WeakMap<net.Socket, SocketBytes>();

function reportBytes(socket: net.Socket, options: JsonCall): void {
  const previous = meteredBytes.get(socket) ?? {sentBytes: 0, receivedBytes: 0};
  const current = {
    sentBytes: socket.bytesWritten,
    receivedBytes: socket.bytesRead,
  };
  meteredBytes.set(socket, current);
  options.meter?.(
    current.sentBytes - previous.sentBytes,
    current.receivedBytes - previous.receivedBytes,
  );
}

function parseJson(raw: Buffer): unknown {
  try {
    return JSON.parse(raw.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Makes the call; the body of a reply that is not JSON is undefined. */
export async function call(options: JsonCall): Promise<JsonReply> {
  const body =
    options.body === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(options.body));
  const send = options.agent ? core.relay.sendRepeatable : core.relay.send;
  const head = await send({
    address: options.address,
    port: options.port,
    method: options.method ?? 'GET',
    path: options.path,
    headers: {'content-type': 'application/json'},
    body,
    checkHead: headCheck.createHeadCheck({
      method: options.method ?? 'GET',
      requestId: '',
    }),
    agent: options.agent,
    connectTimeoutMs: options.timeoutMs,
    firstByteTimeoutMs: options.timeoutMs,
    signal: options.signal,
  });
  if (head.type === 'error') return head;
  const {socket} = head.response;
  const raw = await core.relay.collectBody(head.response, {
    maxBytes: MAX_ANSWER_BYTES,
    idleTimeoutMs: options.timeoutMs,
    totalTimeoutMs: options.timeoutMs,
  });
  reportBytes(socket, options);
  if (!raw) {
    const detail = 'the answer is truncated or too large';
    return {type: 'error', error: {stage: 'answer', cause: 'broken', detail}};
  }
  const status = head.response.statusCode ?? 0;
  return {type: 'reply', status, body: parseJson(raw)};
}

/** Describes an unexpected reply in one line. */
export function describeReply(reply: JsonReply): string {
  if (reply.type === 'error') return reply.error.detail;
  return `status ${reply.status}`;
}

/** Returns the failure for a log service that did not answer as expected. */
export function logUnavailable(reply: JsonReply) {
  return core.fail('log_unavailable', describeReply(reply));
}
