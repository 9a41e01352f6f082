/**
 * An HTTP listener with one task for each connection: the task takes the
 * connection's requests one after another and serves them straight down.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as errors from './errors.js';
import * as headerNames from './headers.js';
import type * as logger from './logger.js';
import * as mailbox from './mailbox.js';
import * as taskGroups from './tasks.js';

const DEFAULT_KEEP_ALIVE_MS = 30_000;
const MAX_PIPELINED = 16;

/** One request with the response to write. */
export interface Call {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** Options of a listener. */
export interface ListenerOptions {
  /** For logs, as `entry`. */
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly maxHeaderBytes: number;
  /** Longest time in which a request may arrive whole. */
  readonly requestTimeoutMs: number;
  /** How long idle connections are kept. */
  readonly keepAliveMs?: number;
  readonly log: logger.Logger;
  /** Makes ids for the answers to what is not HTTP; by default they have none. */
  readonly createId?: () => string;
  serve(call: Call): Promise<void>;
}

/** Why a listener could not start. */
export class ListenError extends Error {}

/** A listening HTTP server. */
export class Listener {
  private readonly server: http.Server;
  private readonly tasks: taskGroups.TaskGroup;
  private readonly calls = new WeakMap<net.Socket, mailbox.Mailbox<Call>>();
  private isClosing = false;

  constructor(private readonly options: ListenerOptions) {
    this.tasks = new taskGroups.TaskGroup(options.log);
    this.server = http.createServer({
      maxHeaderSize: options.maxHeaderBytes,
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: options.requestTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, options.requestTimeoutMs),
      keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS,
      noDelay: true,
    });
    this.server.on('connection', socket => this.accept(socket));
    this.server.on('request', (request, response) => {
      this.calls.get(request.socket)?.put({request, response});
    });
    this.server.on('clientError', (error, socket) =>
      refuse(error, socket, this.options.createId?.() ?? ''),
    );
  }

  /** The port that the listener took. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  /** How many connections are open. */
  get connections(): number {
    return this.tasks.size;
  }

  /** Starts to listen; rejects with a ListenError. */
  async listen(): Promise<void> {
    const {name, host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', error => {
        const where = `${host}:${port} for ${name}`;
        reject(new ListenError(`cannot listen on ${where}: ${error.message}`));
      });
      this.server.listen({host, port}, resolve);
    });
  }

  /** Keeps idle connections for `keepAliveMs` from their next answer on. */
  keepIdle(keepAliveMs: number): void {
    this.server.keepAliveTimeout = keepAliveMs;
  }

  /** Asks callers to leave: answers from now on close their connection. */
  retire(): void {
    this.isClosing = true;
  }

  /**
   * Takes no more connections; resolves when the open ones have ended. An idle
   * connection ends by its own limit: a request may be on its way on it.
   */
  async drain(timeoutMs: number): Promise<void> {
    this.retire();
    const closed = new Promise<void>(resolve => {
      // The close of an HTTP server would close the idle connections too.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
    const limit = setTimeout(
      () => this.server.closeAllConnections(),
      timeoutMs,
    );
    await closed;
    clearTimeout(limit);
  }

  /** Takes no more connections and closes all that are open. */
  async close(): Promise<void> {
    this.retire();
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
    await this.tasks.stop();
  }

  private accept(socket: net.Socket): void {
    socket.setKeepAlive(true, 1_000);
    const calls = new mailbox.Mailbox<Call>(MAX_PIPELINED);
    this.calls.set(socket, calls);
    socket.once('close', () => calls.close());
    this.tasks.spawn(`${this.options.name} connection`, () =>
      this.converse(calls),
    );
  }

  /** The task of one connection. */
  private async converse(calls: mailbox.Mailbox<Call>): Promise<void> {
    for (;;) {
      const call = await calls.take();
      if (!call) return;
      if (this.isClosing) call.response.setHeader('connection', 'close');
      await this.serve(call);
    }
  }

  private async serve(call: Call): Promise<void> {
    try {
      await this.options.serve(call);
    } catch (error) {
      const {url = ''} = call.request;
      const reason = errors.reason(error);
      this.options.log.error('call_failed', {
        listener: this.options.name,
        path: url.split('?')[0],
        reason,
      });
      if (call.response.headersSent) call.response.destroy();
      else sendProblem(call.response, {kind: 'internal', detail: reason}, '');
    }
  }
}

/** Answers a message that is not HTTP, or too large, in the usual form. */
function refuse(
  error: Error & {code?: string},
  socket: NodeJS.WritableStream,
  requestId: string,
) {
  if (!socket.writable) return;
  const kind =
    error.code === 'HPE_HEADER_OVERFLOW' ? 'too_large' : 'bad_request';
  const body = JSON.stringify(
    errors.problem({kind, detail: error.message}, requestId),
  );
  const {status, title} = errors.ANSWERS[kind];
  socket.end(
    `HTTP/1.1 ${status} ${title}\r\ncontent-type: application/problem+json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}

/** Sends a JSON body. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Sends a failure as application/problem+json. */
export function sendProblem(
  response: http.ServerResponse,
  failure: errors.Failure,
  requestId: string,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = errors.problem(failure, requestId);
  const retryAfterMs = failure.retryAfterMs;
  const retryAfter: Record<string, string> =
    retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(retryAfterMs / 1_000))};
  sendJson(response, body.status, body, {
    'content-type': 'application/problem+json',
    [headerNames.REQUEST_ID]: requestId,
    ...retryAfter,
    ...headers,
  });
}

/** A body that was read whole, or why it was not. */
export type ReadBody = errors.Result<Buffer>;

/** Reads a request's body up to a limit. */
export async function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<ReadBody> {
  const declared = Number(request.headers['content-length'] ?? 0);
  const tooLarge = () =>
    errors.fail('too_large', `the body is larger than ${maxBytes} bytes`);
  if (declared > maxBytes) return tooLarge();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) return tooLarge();
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    return errors.fail(
      'bad_request',
      `the body is cut: ${errors.reason(error)}`,
    );
  }
  return errors.succeed(Buffer.concat(chunks));
}
