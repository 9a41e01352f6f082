/**
 * One attempt: sends a request to one endpoint and waits for the head of its
 * answer, under the watch. Says exactly what is known: not sent, not run, or
 * maybe run.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as asks from './ask.js';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import * as dialects from './dialect.js';
import * as liveness from './liveness.js';
import type * as model from './model.js';
import * as watches from './watch.js';

/** What an attempt is about. */
export interface AttemptOptions {
  readonly ask: asks.Ask;
  readonly endpoint: model.Endpoint;
  readonly leftMs: number;
  /** The event after which a stream goes on. */
  readonly lastEventId?: string;
  readonly gone: AbortSignal;
  /** Holds context that the endpoint copies before it reads the prompt. */
  readonly source?: model.Endpoint;
}

/** Why an attempt may have run and yet has no answer. */
export type BreakCause = 'broken' | 'protocol' | 'timeout' | 'silent' | 'dead';

/** How an attempt ended. */
export type AttemptResult =
  /** No byte left: another endpoint may be tried. */
  | {readonly type: 'not_sent'; readonly detail: string}
  /** The endpoint says that it did not run the request. */
  | {readonly type: 'not_run'; readonly status: number}
  | {
      readonly type: 'broken';
      readonly cause: BreakCause;
      readonly detail: string;
    }
  | {readonly type: 'caller_gone'}
  | {readonly type: 'answer'; readonly answer: OpenAnswer};

/** An answer whose head has come. */
export interface OpenAnswer {
  readonly response: http.IncomingMessage;
  readonly status: number;
  /** Bytes came. */
  heard(): void;
  /** The answer is whole, or was given up; frees what the attempt holds. */
  close(): void;
  /** Why the watch or the time ended the attempt, if they did. */
  cause(): BreakCause | undefined;
}

/** Sender of attempts. */
export interface Attempts {
  send(options: AttemptOptions): Promise<AttemptResult>;
}

/** The contract under which the sender is registered. */
export const ATTEMPTS = core.contract<Attempts>('attempts', ['send']);

/** Sends over HTTP. */
export class HttpAttempts implements Attempts {
  constructor(private readonly kernel: core.Kernel) {}

  async send(options: AttemptOptions): Promise<AttemptResult> {
    const run = new Run(this.kernel, options);
    const sent = await core.relay.send(this.relayOptions(options, run));
    if (sent.type === 'error') {
      const result = await this.explain(options, run, sent.error);
      run.close();
      return result;
    }
    const {response} = sent;
    const status = response.statusCode ?? 0;
    const head = this.dialect.readAnswer(status, response.headers);
    run.heard();
    if (!head.isNotRun) {
      return {type: 'answer', answer: run.open(response)};
    }
    response.resume();
    run.close();
    if (head.isElsewhere) {
      this.kernel.find(connections.CONNECTIONS).forget(options.endpoint.id);
      this.health.unreachable(options.endpoint.id, this.nowMs());
    }
    return {type: 'not_run', status};
  }

  private relayOptions(
    {ask, endpoint, leftMs, lastEventId, source}: AttemptOptions,
    run: Run,
  ): core.relay.RelayOptions {
    const {route, customer, priority} = ask;
    const order = {
      endpointId: endpoint.id,
      leftMs: Math.max(1, Math.floor(leftMs)),
      customer,
      priority,
      lastEventId,
      contextFrom: source && `${source.address}:${source.port}`,
    };
    // A call that may run once gets a connection that is known to be clean.
    const agent =
      route.repeat === 'once'
        ? undefined
        : this.kernel.find(connections.CONNECTIONS).agent(endpoint);
    return {
      address: endpoint.address,
      port: endpoint.port,
      method: ask.method,
      path: ask.path,
      headers: this.dialect.endpointHeaders(ask.headers, order),
      body: ask.body,
      agent,
      connectTimeoutMs: Math.min(liveness.CONNECT_TIMEOUT_MS, leftMs),
      firstByteTimeoutMs: leftMs,
      checkHead: response => this.checkHead(response, ask),
      signal: run.signal,
    };
  }

  /** Answers are matched by id, and a success needs the endpoint's seal. */
  private checkHead(
    response: http.IncomingMessage,
    ask: asks.Ask,
  ): string | undefined {
    const status = response.statusCode ?? 0;
    const head = this.dialect.readAnswer(status, response.headers);
    if (head.isNotRun) return undefined;
    if (head.requestId !== ask.head.requestId) {
      return `the answer carries the id ${head.requestId ?? 'none'}`;
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && !head.isSealed) return 'the answer has no seal';
    return undefined;
  }

  private async explain(
    {endpoint, gone}: AttemptOptions,
    run: Run,
    error: core.relay.RelayError,
  ): Promise<AttemptResult> {
    const {stage, detail} = error;
    if (stage === 'connect' && run.cause() === undefined && !gone.aborted) {
      this.health.unreachable(endpoint.id, this.nowMs());
      return {type: 'not_sent', detail};
    }
    if (gone.aborted) return {type: 'caller_gone'};
    if (stage === 'connect') return {type: 'not_sent', detail};
    const cause = run.cause() ?? breakCause(error);
    if (cause === 'broken') {
      // Evidence of a crash tells the request that causes it from the others.
      await this.kernel.find(liveness.LIVENESS).check(endpoint);
    }
    return {type: 'broken', cause, detail};
  }

  private get dialect(): dialects.Dialect {
    return this.kernel.find(dialects.DIALECT);
  }

  private get health() {
    return this.kernel.find(decisions.HEALTH);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function breakCause({cause}: core.relay.RelayError): BreakCause {
  return cause === 'aborted' ? 'broken' : cause;
}

/** What an attempt holds while it runs: its watch, its load and its abort. */
class Run {
  private readonly controller = new AbortController();
  private readonly watched: watches.Handle;
  private readonly onGone = () => this.controller.abort();
  private readonly timer: NodeJS.Timeout;
  private ended: BreakCause | undefined;
  private isClosed = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: AttemptOptions,
  ) {
    const {endpoint, ask, gone, leftMs} = options;
    kernel.find(decisions.LOAD).began(endpoint.id);
    kernel.find(decisions.SUSPECTS).began(ask.signature, endpoint.id);
    this.watched = kernel.find(watches.WATCH).add({
      endpoint,
      isStream: ask.route.repeat === 'stream',
      mayMove: asks.mayRepeat(ask.route),
      end: cause => this.end(cause),
    });
    this.timer = setTimeout(() => this.end('timeout'), leftMs);
    gone.addEventListener('abort', this.onGone, {once: true});
    if (gone.aborted) this.controller.abort();
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  cause(): BreakCause | undefined {
    return this.ended;
  }

  heard(): void {
    this.watched.heard();
  }

  open(response: http.IncomingMessage): OpenAnswer {
    return {
      response,
      status: response.statusCode ?? 0,
      heard: () => this.heard(),
      close: () => this.close(),
      cause: () => this.cause(),
    };
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.timer);
    this.options.gone.removeEventListener('abort', this.onGone);
    this.watched.done();
    const {endpoint, ask} = this.options;
    this.kernel.find(decisions.LOAD).ended(endpoint.id);
    this.kernel.find(decisions.SUSPECTS).abandoned(ask.signature, endpoint.id);
  }

  private end(cause: BreakCause): void {
    this.ended ??= cause;
    this.controller.abort();
  }
}
