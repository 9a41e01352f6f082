/** Small JSON calls over HTTP: the platform, load reports, health probes. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as headCheck from './headcheck.js';

const MAX_ANSWER_BYTES = 16 << 20;

/** One call. */
export interface JsonCall {
  readonly address: string;
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly body?: unknown;
  readonly agent?: http.Agent;
  /** Time for the whole call. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Told how many bytes the call took on its connection. */
  readonly meter?: (sentBytes: number, receivedBytes: number) => void;
}

/** What came of a call. */
export type JsonReply =
  | {readonly type: 'reply'; readonly status: number; readonly body: unknown}
  | {readonly type: 'error'; readonly error: core.relay.RelayError};

interface Metered {
  sentBytes: number;
  receivedBytes: number;
}

/** What was told of each connection so far. */
const metered = new WeakMap<net.Socket, Metered>();

function meterSocket(socket: net.Socket, options: JsonCall): void {
  const before = metered.get(socket) ?? {sentBytes: 0, receivedBytes: 0};
  const now = {
    sentBytes: socket.bytesWritten,
    receivedBytes: socket.bytesRead,
  };
  metered.set(socket, now);
  options.meter?.(
    now.sentBytes - before.sentBytes,
    now.receivedBytes - before.receivedBytes,
  );
}

function parse(raw: Buffer): unknown {
  try {
    return JSON.parse(raw.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Makes the call; a body that is not JSON reads as undefined. */
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
    checkHead: headCheck.headCheck({
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
  const raw = await core.relay.collect(
    head.response,
    MAX_ANSWER_BYTES,
    options.timeoutMs,
  );
  meterSocket(socket, options);
  if (!raw) {
    const detail = 'the answer is cut or too large';
    return {type: 'error', error: {stage: 'answer', cause: 'broken', detail}};
  }
  const status = head.response.statusCode ?? 0;
  return {type: 'reply', status, body: parse(raw)};
}

/** One line on a reply that is not the hoped-for one. */
export function explain(reply: JsonReply): string {
  if (reply.type === 'error') return reply.error.detail;
  return `status ${reply.status}`;
}

/** A failed result with the log service's kind. */
export function unavailable(reply: JsonReply) {
  return core.fail('log_unavailable', explain(reply));
}
