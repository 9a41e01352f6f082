/**
 * HTTP server of a stand-in, with one task for each connection. It serves
 * `/control` and `/stats` itself, unaffected by faults, and passes all other
 * requests to the stand-in's request handler.
 */
import * as core from '@oleanderrock/core';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as v from 'valibot';
import * as connections from './connections.js';
import * as control from './control.js';
import * as exchanges from './exchange.js';

/** Handles the requests that the HTTP server does not serve itself. */
export interface RequestHandler {
  /** Answers one request. */
  serve(exchange: exchanges.Exchange): Promise<void>;
  /** Counters since the start; `isBrief` omits those whose size grows. */
  stats(isBrief: boolean): object;
  /** Runs `POST /control/ACTION`; false if the action does not exist. */
  runAction(action: string, body: string): boolean;
}

/** Contract of a stand-in's request handler. */
export const REQUEST_HANDLER = core.contract<RequestHandler>(
  'request-handler',
  ['serve', 'stats', 'runAction'],
);

/** Options of a stand-in's HTTP server. */
export interface HttpServerOptions {
  /** IP address; the default is 127.0.0.1. */
  readonly host?: string;
  /** Port to listen on; 0, the default, lets the system choose. */
  readonly port?: number;
  /** Called after a crash has closed all connections. */
  readonly onCrash?: () => void;
}

/** Connection faults that other services can cause in the HTTP server. */
export interface HttpServer {
  /** Resets all connections and stops listening. */
  crash(): void;
  /** Resolves once the connection is not blocked, or the client disconnects. */
  untilUnblocked(exchange: exchanges.Exchange): Promise<void>;
  /** Blocks all connections that are now open, permanently. */
  silence(): void;
  /** Blocks or unblocks all connections, including later ones. */
  setFrozen(isFrozen: boolean): void;
}

/** Contract of the HTTP server. */
export const HTTP_SERVER = core.contract<HttpServer>('http-server', [
  'crash',
  'untilUnblocked',
  'silence',
  'setFrozen',
]);

function isBadRequest(error: unknown): boolean {
  return error instanceof SyntaxError || v.isValiError(error);
}

/** HTTP server of a stand-in. */
export class StandInHttpServer implements HttpServer, core.Lifecycle {
  port: number;
  private readonly faultControl: control.FaultControl;
  private readonly openConnections: connections.Connections;
  private readonly logger: core.Logger;
  private readonly mailboxes = new WeakMap<
    net.Socket,
    core.Mailbox<exchanges.Exchange>
  >();
  private tasks: core.TaskGroup;
  private server: http.Server | undefined;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: HttpServerOptions = {},
  ) {
    this.port = options.port ?? 0;
    this.faultControl = kernel.find(control.FAULT_CONTROL);
    this.logger = kernel.find(core.LOGGER);
    this.tasks = new core.TaskGroup(this.logger);
    this.openConnections = new connections.Connections(kernel.find(core.CLOCK));
  }

  /** Starts to listen; after a crash, on the same port as before. */
  async start(): Promise<void> {
    const server = http.createServer({
      requestTimeout: 0,
      headersTimeout: 0,
      keepAliveTimeout: 0,
    });
    server.maxHeadersCount = 0;
    this.tasks = new core.TaskGroup(this.logger);
    server.on('connection', socket => this.accept(socket));
    server.on('request', (request, response) => {
      const {signal} = this.tasks;
      const exchange = new exchanges.Exchange(request, response, signal);
      this.mailboxes.get(request.socket)?.put(exchange);
    });
    server.listen(this.port, this.options.host ?? '127.0.0.1');
    await events.EventEmitter.once(server, 'listening');
    this.port = (server.address() as net.AddressInfo).port;
    this.server = server;
  }

  async stop(): Promise<void> {
    this.close(false);
    await this.tasks.stop();
  }

  crash(): void {
    this.close(true);
    void this.tasks.stop();
    this.options.onCrash?.();
  }

  untilUnblocked(exchange: exchanges.Exchange): Promise<void> {
    return this.openConnections.untilUnblocked(
      exchange.request.socket,
      exchange.disconnectSignal,
    );
  }

  silence(): void {
    this.openConnections.silence();
  }

  /** Counters of the request handler and of the connections. */
  stats(isBrief: boolean): object {
    const {size: connections, blockedTaskCount: held} = this.openConnections;
    return {
      ...this.kernel.find(REQUEST_HANDLER).stats(isBrief),
      connections,
      held,
    };
  }

  setFrozen(isFrozen: boolean): void {
    this.openConnections.setFrozen(isFrozen);
  }

  private close(isReset: boolean): void {
    this.server?.close();
    this.server = undefined;
    this.openConnections.destroy(isReset);
  }

  private accept(socket: net.Socket): void {
    const mailbox = new core.Mailbox<exchanges.Exchange>();
    this.mailboxes.set(socket, mailbox);
    this.openConnections.add(socket);
    socket.once('close', () => mailbox.close());
    this.tasks.spawn('connection', () => this.serveConnection(mailbox));
  }

  private async serveConnection(
    mailbox: core.Mailbox<exchanges.Exchange>,
  ): Promise<void> {
    for (;;) {
      const exchange = await mailbox.take();
      if (!exchange) return;
      await this.serve(exchange);
    }
  }

  private async serve(exchange: exchanges.Exchange): Promise<void> {
    try {
      await this.dispatch(exchange);
    } catch (error) {
      if (exchange.disconnectSignal.aborted || exchange.request.errored) return;
      await this.sendError(exchange, error);
    }
  }

  private async dispatch(exchange: exchanges.Exchange): Promise<void> {
    const [resource, action] = exchange.pathSegments;
    if (resource === 'control') return this.serveControl(exchange, action);
    if (resource === 'stats') return this.serveStats(exchange);
    await this.untilUnblocked(exchange);
    if (exchange.disconnectSignal.aborted) return;
    return this.kernel.find(REQUEST_HANDLER).serve(exchange);
  }

  private async serveControl(
    exchange: exchanges.Exchange,
    action: string | undefined,
  ): Promise<void> {
    const body = await exchange.readBody();
    if (action !== undefined) {
      const hasAction = this.kernel
        .find(REQUEST_HANDLER)
        .runAction(action, body);
      return exchange.sendJson(hasAction ? 200 : 404, {});
    }
    const merged = this.faultControl.merge(JSON.parse(body || '{}'));
    if (merged.ok) return exchange.sendJson(200, merged.value);
    return exchange.sendJson(400, {detail: merged.failure.detail});
  }

  private serveStats(exchange: exchanges.Exchange): Promise<void> {
    const isBrief = exchange.url.searchParams.has('brief');
    return exchange.sendJson(200, this.stats(isBrief));
  }

  private async sendError(
    exchange: exchanges.Exchange,
    error: unknown,
  ): Promise<void> {
    const detail = core.errorMessage(error);
    this.logger.error('request_failed', {path: exchange.url.pathname, detail});
    if (exchange.response.headersSent) return exchange.destroy();
    return exchange.sendJson(isBadRequest(error) ? 400 : 500, {detail});
  }
}
