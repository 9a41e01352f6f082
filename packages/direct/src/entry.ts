/**
 * The listener for callers. It reads a request, finds its route and customer,
 * refuses what no endpoint is needed for, and hands the rest to the dispatcher.
 */
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as core from '@oleanderrock/core';
import type * as asks from './ask.js';
import * as callerAnswer from './calleranswer.js';
import * as decisions from './decisions.js';
import * as dialects from './dialect.js';
import * as dispatcher from './dispatcher.js';
import * as lifecycle from './lifecycle.js';
import type * as model from './model.js';
import * as recorder from './recorder.js';
import type * as settings from './settings.js';
import * as tablesBook from './tablesbook.js';

/** Largest head of a request, in bytes. */
const MAX_HEAD_BYTES = 65_536;

/** Longest time in which a request may arrive whole, in ms. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Time that an idle connection is kept beyond what callers rely on, in ms. */
const IDLE_MARGIN_MS = 1_000;

/** When a caller of a router that starts or ends should come back, in ms. */
const NOT_READY_RETRY_MS = 300;

/** Time after which a start without tables means that the store is away, in ms. */
const USUAL_START_MS = 250;

/** When a caller should come back while the store is away, in ms. */
const STORE_AWAY_RETRY_MS = 2_000;

/**
 * Turns of the event loop: the rest of the current one, one that reads the end
 * of a connection, and one that closes it.
 */
const TURNS_TO_CLOSE = 3;

/** The listener for callers. */
export interface Entry {
  /** Asks callers to leave their connections. */
  retire(): void;
  /** Takes no more connections; waits for the open ones. */
  drain(timeoutMs: number): Promise<void>;
}

/** The contract under which the listener is registered. */
export const ENTRY = core.contract<Entry>('direct-entry', ['retire', 'drain']);

/** Who asks and by which route, or why the request is refused. */
type Matched = core.Result<{
  readonly route: model.Route;
  readonly holder?: tablesBook.KeyHolder;
}>;

/** Listener over HTTP. */
export class HttpEntry implements Entry, core.Lifecycle {
  private readonly listener: core.listener.Listener;
  private readonly startedMs: number;

  constructor(
    private readonly kernel: core.Kernel,
    own: settings.Settings,
  ) {
    this.startedMs = kernel.find(core.CLOCK).nowMs();
    this.listener = new core.listener.Listener({
      name: 'entry',
      host: own.address,
      port: own.entryListen,
      maxHeaderBytes: MAX_HEAD_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: kernel.find(core.LOGGER),
      serve: call => this.serve(call),
    });
    kernel.find(tablesBook.TABLES_BOOK).onChange(({limits}) => {
      this.listener.keepIdle(limits.idleMs + IDLE_MARGIN_MS);
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  retire(): void {
    this.listener.retire();
  }

  drain(timeoutMs: number): Promise<void> {
    return this.listener.drain(timeoutMs);
  }

  private async serve(call: core.listener.Call): Promise<void> {
    const leave = this.kernel.find(lifecycle.LIFE).enter();
    const clock = this.kernel.find(core.CLOCK);
    const arrivedMs = clock.nowMs();
    const {request, response} = call;
    const dialect = this.kernel.find(dialects.DIALECT);
    const head = dialect.readCaller(request.headers);
    const answer = new callerAnswer.HttpCallerAnswer(response, clock);
    try {
      const made = await this.read(request, head, arrivedMs);
      if (made.ok) await readsPending();
      const outcome: asks.Outcome = made.ok
        ? await this.kernel
            .find(dispatcher.DISPATCHER)
            .serve(made.value, answer)
        : {type: 'failed', failure: made.failure, sends: 0};
      this.finish(outcome, head, answer);
      const known = made.ok ? made.value : undefined;
      const {beganMs} = answer;
      const path = request.url ?? '';
      this.kernel
        .find(recorder.RECORDER)
        .ended({head, path, arrivedMs, beganMs, ask: known}, outcome);
    } finally {
      leave();
    }
  }

  /** Matches the request and reads its body. */
  private async read(
    request: http.IncomingMessage,
    head: dialects.CallerHead,
    arrivedMs: number,
  ): Promise<core.Result<asks.Ask>> {
    const book = this.kernel.find(tablesBook.TABLES_BOOK);
    const tables = book.current();
    const path = request.url ?? '/';
    const matched = this.match(head, path, tables);
    const maxBytes = tables?.limits.maxBodyBytes ?? 0;
    if (!matched.ok) {
      // The body is read all the same, so that the connection stays usable.
      await core.listener.readBody(request, Math.max(maxBytes, MAX_HEAD_BYTES));
      return matched;
    }
    const body = await core.listener.readBody(request, maxBytes);
    if (!body.ok) return body;
    const {route, holder} = matched.value;
    const method = request.method ?? 'GET';
    const signature = this.sign(method, path, holder?.name, body.value);
    if (this.isCondemned(signature)) {
      return core.fail('quarantined', 'endpoints crashed under this request');
    }
    const limitMs = Math.min(head.waitMs ?? route.timeoutMs, route.timeoutMs);
    return core.succeed({
      head,
      method,
      path,
      headers: request.headers,
      body: body.value,
      route,
      pool: choosePool(route, head.requestId),
      customer: holder?.name,
      priority: holder?.priority ?? route.priority,
      arrivedMs,
      deadlineMs: arrivedMs + limitMs,
      signature,
    });
  }

  private match(
    head: dialects.CallerHead,
    path: string,
    tables: model.Tables | undefined,
  ): Matched {
    const book = this.kernel.find(tablesBook.TABLES_BOOK);
    if (!this.kernel.find(lifecycle.LIFE).takesRequests()) {
      return core.fail('draining', 'the router is ending', NOT_READY_RETRY_MS);
    }
    if (!tables) {
      const detail = 'the tables have not been read yet';
      return core.fail('not_ready', detail, this.notReadyRetryMs());
    }
    const route = book.route(head.host, path);
    if (!route) return core.fail('no_route', 'no route matches the request');
    if (route.isPublic || !tables.customers) return core.succeed({route});
    const holder = head.apiKey ? book.holder(head.apiKey) : undefined;
    if (!holder) return core.fail('unauthorized', 'the key is not known');
    return core.succeed({route, holder});
  }

  private notReadyRetryMs(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const isUsual = nowMs - this.startedMs < USUAL_START_MS;
    return isUsual ? NOT_READY_RETRY_MS : STORE_AWAY_RETRY_MS;
  }

  private sign(
    method: string,
    path: string,
    customer: string | undefined,
    body: Buffer,
  ): string {
    const text = body.toString('latin1');
    return core.hash64(`${method} ${path} ${customer ?? ''} ${text}`);
  }

  private isCondemned(signature: string): boolean {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const suspects = this.kernel.find(decisions.SUSPECTS);
    return suspects.check(signature, '', nowMs) === 'condemned';
  }

  private finish(
    outcome: asks.Outcome,
    {requestId}: dialects.CallerHead,
    answer: callerAnswer.HttpCallerAnswer,
  ): void {
    if (outcome.type === 'answered') return;
    const {failure} = outcome;
    const headers = this.kernel
      .find(dialects.DIALECT)
      .failureHeaders(requestId, failure.retryAfterMs);
    answer.fail(failure, requestId, headers);
  }
}

/**
 * Resolves after sockets were read once more: where this router was busy or
 * paused, the end of the caller's connection may wait behind its request.
 */
async function readsPending(): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_CLOSE; turn++) await timers.setImmediate();
}

/** One of the route's pools by weight, the same for the same request. */
function choosePool({pools}: model.Route, requestId: string): string {
  const [first] = pools;
  if (pools.length <= 1) return first?.name ?? '';
  const total = pools.reduce((sum, {weight}) => sum + weight, 0);
  let at = (core.hash32(requestId) / 2 ** 32) * total;
  for (const {name, weight} of pools) {
    at -= weight;
    if (at < 0) return name;
  }
  return first!.name;
}
