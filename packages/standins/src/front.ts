/**
 * The HTTP server of a stand-in: one task for each connection, which answers
 * `/control` and `/stats` itself and leaves all else to the site. Faults do not
 * touch `/control` and `/stats`.
 */
import * as core from '@oleanderrock/core';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as v from 'valibot';
import * as connections from './connections.js';
import * as control from './control.js';
import * as exchanges from './exchange.js';

/** What a stand-in does with requests. */
export interface Site {
  /** Answers one request. */
  serve(exchange: exchanges.Exchange): Promise<void>;
  /** Counts since the start; `isBrief` leaves out what grows with time. */
  stats(isBrief: boolean): object;
  /** Answers `POST /control/ACTION`; false where there is no such action. */
  act(action: string, body: string): boolean;
}

/** The contract under which a stand-in's site is registered. */
export const SITE = core.contract<Site>('site', ['serve', 'stats', 'act']);

/** Where a stand-in listens. */
export interface FrontOptions {
  /** IP address; the default is 127.0.0.1. */
  readonly host?: string;
  /** 0 lets the system choose. */
  readonly port?: number;
  /** Called in place of the return to the caller when the stand-in crashes. */
  readonly onCrash?: () => void;
}

/** The HTTP server as other services see it. */
export interface Front {
  /** Resets all connections and stops listening. */
  crash(): void;
  /** Resolves when the exchange's connection may carry bytes. */
  pass(exchange: exchanges.Exchange): Promise<void>;
  /** Silences all connections that are open now, for good. */
  silence(): void;
  /** Freezes or resumes all connections. */
  freeze(isFrozen: boolean): void;
}

/** The contract under which the HTTP server is registered. */
export const FRONT = core.contract<Front>('front', [
  'crash',
  'pass',
  'silence',
  'freeze',
]);

function isMalformed(error: unknown): boolean {
  return error instanceof SyntaxError || v.isValiError(error);
}

/** The HTTP server of a stand-in. */
export class HttpFront implements Front, core.Lifecycle {
  port: number;
  private readonly control: control.Control;
  private readonly connections: connections.Connections;
  private readonly log: core.Logger;
  private readonly inboxes = new WeakMap<
    net.Socket,
    core.Mailbox<exchanges.Exchange>
  >();
  private tasks: core.TaskGroup;
  private server: http.Server | undefined;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: FrontOptions = {},
  ) {
    this.port = options.port ?? 0;
    this.control = kernel.find(control.CONTROL);
    this.log = kernel.find(core.LOGGER);
    this.tasks = new core.TaskGroup(this.log);
    this.connections = new connections.Connections(kernel.find(core.CLOCK));
  }

  /** Listens; after a crash, again on the same port. */
  async start(): Promise<void> {
    const server = http.createServer({
      requestTimeout: 0,
      headersTimeout: 0,
      keepAliveTimeout: 0,
    });
    this.tasks = new core.TaskGroup(this.log);
    server.on('connection', socket => this.accept(socket));
    server.on('request', (request, response) => {
      const {signal} = this.tasks;
      const exchange = new exchanges.Exchange(request, response, signal);
      this.inboxes.get(request.socket)?.put(exchange);
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

  pass(exchange: exchanges.Exchange): Promise<void> {
    return this.connections.pass(exchange.request.socket, exchange.gone);
  }

  silence(): void {
    this.connections.silence();
  }

  /** The site's counts and those of the connections. */
  stats(isBrief: boolean): object {
    const {size: connections, held} = this.connections;
    return {...this.kernel.find(SITE).stats(isBrief), connections, held};
  }

  freeze(isFrozen: boolean): void {
    this.connections.freeze(isFrozen);
  }

  private close(reset: boolean): void {
    this.server?.close();
    this.server = undefined;
    this.connections.destroy(reset);
  }

  private accept(socket: net.Socket): void {
    const inbox = new core.Mailbox<exchanges.Exchange>();
    this.inboxes.set(socket, inbox);
    this.connections.add(socket);
    socket.once('close', () => inbox.close());
    this.tasks.spawn('connection', () => this.serveAll(inbox));
  }

  private async serveAll(
    inbox: core.Mailbox<exchanges.Exchange>,
  ): Promise<void> {
    for (;;) {
      const exchange = await inbox.take();
      if (!exchange) return;
      await this.serve(exchange);
    }
  }

  private async serve(exchange: exchanges.Exchange): Promise<void> {
    try {
      await this.dispatch(exchange);
    } catch (error) {
      if (exchange.gone.aborted || exchange.request.errored) return;
      await this.fail(exchange, error);
    }
  }

  private async dispatch(exchange: exchanges.Exchange): Promise<void> {
    const [page, action] = exchange.segments;
    if (page === 'control') return this.serveControl(exchange, action);
    if (page === 'stats') return this.serveStats(exchange);
    await this.pass(exchange);
    if (exchange.gone.aborted) return;
    return this.kernel.find(SITE).serve(exchange);
  }

  private async serveControl(
    exchange: exchanges.Exchange,
    action: string | undefined,
  ): Promise<void> {
    const body = await exchange.body();
    if (action !== undefined) {
      const isKnown = this.kernel.find(SITE).act(action, body);
      return exchange.send(isKnown ? 200 : 404, {});
    }
    const merged = this.control.merge(JSON.parse(body || '{}'));
    if (merged.ok) return exchange.send(200, merged.value);
    return exchange.send(400, {detail: merged.failure.detail});
  }

  private serveStats(exchange: exchanges.Exchange): Promise<void> {
    const isBrief = exchange.url.searchParams.has('brief');
    return exchange.send(200, this.stats(isBrief));
  }

  private async fail(
    exchange: exchanges.Exchange,
    error: unknown,
  ): Promise<void> {
    const detail = core.errorMessage(error);
    this.log.error('request_failed', {path: exchange.url.pathname, detail});
    if (exchange.response.headersSent) return exchange.cut();
    return exchange.send(isMalformed(error) ? 400 : 500, {detail});
  }
}
