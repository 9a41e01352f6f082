/**
 * An HTTP server with one task for each connection; the task handles the
 * requests of its connection one after another.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as callerMemory from './callermemory.js';
import * as connections from './connection.js';
import * as errors from './errors.js';
import * as headerNames from './headers.js';
import type * as logger from './logger.js';
import * as logQuota from './logquota.js';
import * as parseErrors from './parseerrors.js';
import * as readPacing from './readpacing.js';
import * as requestTimeouts from './requesttimeouts.js';
import * as responses from './responses.js';
import * as tasks from './tasks.js';

export * from './requestbody.js';

/** Default keep-alive timeout of idle connections, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 30_000;
/** Maximum number of unreadable requests that are logged in a second. */
const MAX_UNREADABLE_LINES_PER_SECOND = 10;
/** An HTTP request and the response to write. */
export type Call = connections.Call;

/** Options of a listener. */
export interface ListenerOptions {
  /** Name in log lines, such as `entry`. */
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly maxHeaderBytes: number;
  /** Time limit for receiving a complete request. */
  readonly requestTimeoutMs: number;
  /** Keep-alive timeout of idle connections. */
  readonly keepAliveMs?: number;
  readonly log: logger.Logger;
  /** Bounds on what the connections hold; none by default. */
  readonly bounds?: callerMemory.ConnectionBounds;
  /** Paces the reading of the connections; by default they are read at will. */
  readonly pacer?: readPacing.ReadPacer;
  /**
   * Creates the request ids in responses to unparsable requests; by default
   * these ids are empty.
   */
  readonly createId?: () => string;
  /** Handles a request; an error it throws is logged and answered with a 500. */
  serve(call: Call): Promise<void>;
}

/** Thrown if the address and port cannot be bound. */
export class ListenError extends Error {}

/** An HTTP server that runs one task for each connection. */
export class Listener {
  private readonly server: http.Server;
  private readonly tasks: tasks.TaskGroup;
  private readonly connections = new Map<net.Socket, connections.Connection>();
  private readonly unreadableQuota: logQuota.LogQuota;
  private readonly timeouts: requestTimeouts.RequestTimeouts;
  private readonly bounds: callerMemory.ConnectionBounds;
  private isKeepAliveOff = false;

  constructor(private readonly options: ListenerOptions) {
    this.tasks = new tasks.TaskGroup(options.log);
    this.bounds = options.bounds ?? callerMemory.UNBOUNDED;
    this.unreadableQuota = new logQuota.LogQuota(
      'request_unreadable',
      MAX_UNREADABLE_LINES_PER_SECOND,
      options.log,
    );
    this.server = http.createServer({
      maxHeaderSize: options.maxHeaderBytes,
      // The listener checks these itself.
      requestTimeout: 0,
      headersTimeout: 0,
      keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS,
      noDelay: true,
    });
    // By default, Node.js drops the fields after the first 1,000 without an
    // error. The size of the head bounds their number.
    this.server.maxHeadersCount = 0;
    this.timeouts = new requestTimeouts.RequestTimeouts(
      options.requestTimeoutMs,
      nowMs => this.checkTimeouts(nowMs),
    );
    this.server.on('listening', () => this.timeouts.start());
    this.server.on('close', () => this.timeouts.stop());
    this.server.on('connection', socket => this.acceptConnection(socket));
    this.server.on('request', (request, response) => {
      this.connections.get(request.socket)?.put(request, response);
    });
    // Without this listener, Node.js destroys a connection at its keep-alive
    // timeout.
    this.server.on('timeout', (socket: net.Socket) =>
      closeUnlessPending(socket),
    );
    this.server.on('clientError', (error, socket) => {
      this.refuseUnreadable(error, socket as net.Socket);
    });
  }

  /** The bound port; 0 while not listening. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.tasks.size;
  }

  /** Starts listening; rejects with a `ListenError`. */
  async listen(): Promise<void> {
    const {name, host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', error => {
        const target = `${host}:${port} for ${name}`;
        reject(new ListenError(`cannot listen on ${target}: ${error.message}`));
      });
      this.server.listen({host, port}, resolve);
    });
  }

  /** Sets the keep-alive timeout that applies after the next response. */
  setKeepAliveTimeout(keepAliveMs: number): void {
    this.server.keepAliveTimeout = keepAliveMs;
  }

  /** Makes every further response close its connection (`connection: close`). */
  disableKeepAlive(): void {
    this.isKeepAliveOff = true;
  }

  /**
   * Accepts no more connections; resolves when the open ones have closed or were
   * closed after `timeoutMs`. Idle connections stay open until their keep-alive
   * timeout, since the client may just have sent a request.
   */
  async drain(timeoutMs: number): Promise<void> {
    this.disableKeepAlive();
    const closed = new Promise<void>(resolve => {
      // `http.Server.close` would close the idle connections as well.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
    const closeTimer = setTimeout(() => this.closeConnections(), timeoutMs);
    await closed;
    clearTimeout(closeTimer);
  }

  /**
   * Closes all open connections at once; their clients see that responses in
   * progress are incomplete.
   */
  closeConnections(): void {
    for (const connection of this.connections.values()) connection.close();
  }

  /** Accepts no more connections and closes all open ones. */
  async close(): Promise<void> {
    this.disableKeepAlive();
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.closeConnections();
    await closed;
    await this.tasks.stop();
  }

  private acceptConnection(socket: net.Socket): void {
    const {pacer = readPacing.UNPACED} = this.options;
    const connection = new connections.Connection(
      socket,
      this.timeouts.nowMs,
      this.bounds,
      pacer,
    );
    if (!connection.isAdmitted) {
      socket.destroy();
      return;
    }
    socket.setKeepAlive(true, 1_000);
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    this.tasks.spawn(`${this.options.name} connection`, () =>
      this.serveConnection(connection),
    );
  }

  private checkTimeouts(nowMs: number): void {
    for (const [socket, connection] of this.connections) {
      connection.closeRefused(nowMs);
      if (!connection.isOverdue(nowMs, this.options.requestTimeoutMs)) continue;
      this.refuseUnreadable(new parseErrors.RequestTimeoutError(), socket);
    }
  }

  private refuseUnreadable(
    error: parseErrors.ParseError,
    socket: net.Socket,
  ): void {
    // A connection on which nothing has arrived rests; there is no request to
    // refuse.
    const hasRequest = socket.bytesRead > 0;
    if (!hasRequest) socket.destroy();
    // Otherwise the last response may still be on its way.
    if (!socket.writable) return;
    this.logUnreadable(error);
    this.connections.get(socket)?.refuse({
      failure: parseErrors.toFailure(error),
      requestId: this.options.createId?.() ?? '',
    });
  }

  private logUnreadable(error: parseErrors.ParseError): void {
    if (parseErrors.isBrokenConnection(error)) return;
    if (!this.unreadableQuota.consume(performance.now())) return;
    this.options.log.info('request_unreadable', {
      listener: this.options.name,
      code: error.code,
      reason: error.message,
    });
  }

  /** The task of one connection: handles its requests in order of arrival. */
  private async serveConnection(
    connection: connections.Connection,
  ): Promise<void> {
    for (;;) {
      const call = await connection.take();
      if (!call) return;
      if (this.isKeepAliveOff) call.response.setHeader('connection', 'close');
      await this.handle(call);
      await connection.finish(call);
      // Those that have sent requests ahead take turns.
      if (connection.hasWaiting) await this.bounds.turns.next();
    }
  }

  private async handle(call: Call): Promise<void> {
    try {
      await this.options.serve(call);
    } catch (error) {
      const {url = ''} = call.request;
      const reason = errors.errorMessage(error);
      this.options.log.error('call_failed', {
        listener: this.options.name,
        path: url.split('?')[0],
        reason,
      });
      if (call.response.headersSent) responses.abortResponse(call.response);
      else sendProblem(call.response, {kind: 'internal', detail: reason}, '');
    }
  }
}

/**
 * Closes an idle connection, unless the next turn of reads shows that a request
 * has arrived. It may have arrived while the process was paused.
 */
function closeUnlessPending(socket: net.Socket): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** Sends a JSON response. */
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

/** Sends an error response as application/problem+json. */
export function sendProblem(
  response: http.ServerResponse,
  failure: errors.Failure,
  requestId: string,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = errors.toProblem(failure, requestId);
  const retryAfterMs = failure.retryAfterMs;
  const retryAfterHeader: Record<string, string> =
    retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(retryAfterMs / 1_000))};
  sendJson(response, body.status, body, {
    'content-type': 'application/problem+json',
    [headerNames.REQUEST_ID]: requestId,
    ...retryAfterHeader,
    ...headers,
  });
}
