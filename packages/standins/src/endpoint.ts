/**
 * Behaviour that engines and plain services share: `/load` and `/health`,
 * refusals, crashes and run counters. A workload runs the requests.
 */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import * as httpServer from './httpserver.js';
import * as loadHistory from './loadhistory.js';
import * as replies from './reply.js';
import * as runs from './runs.js';

/** A request that an endpoint runs, and the reply to it. */
export interface Call {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
  readonly chat?: string;
  readonly key?: string;
  readonly requestId?: string;
  readonly reply: replies.Reply;
}

/** Runs the requests that an endpoint accepts. */
export interface Workload {
  /** Number of requests queued inside the endpoint. */
  readonly queued: number;
  /** Runs and answers one request. */
  run(call: Call): Promise<void>;
  /** Body for a GET path that the workload serves; undefined for others. */
  getResource(exchange: exchanges.Exchange): object | undefined;
  /** Counters of the workload since the start. */
  stats(): object;
}

/** Contract of an endpoint's workload. */
export const WORKLOAD = core.contract<Workload>('workload', [
  'run',
  'getResource',
  'stats',
]);

/** Records when the requests of a workload are queued, start and end. */
export interface RunLog {
  /** Records that a request has been queued. */
  noteQueued(): void;
  /** Counts a start; returns the number of runs of its key so far. */
  noteStart(call: Call): number;
  /** Counts the end of a run. */
  noteEnd(delivery: replies.Delivery): void;
  /** Counts a request whose caller disconnected before it started. */
  noteAbandoned(): void;
}

/** Contract of the run log. */
export const RUN_LOG = core.contract<RunLog>('run-log', [
  'noteQueued',
  'noteStart',
  'noteEnd',
  'noteAbandoned',
]);

/** Request handler of an endpoint; also counts its runs. */
export class Endpoint implements httpServer.RequestHandler, RunLog {
  private readonly clock: core.Clock;
  private readonly httpServer: httpServer.HttpServer;
  private readonly faults: control.Faults<endpointFaults.EndpointFaults>;
  private readonly runs: runs.RunCounts;
  private readonly loadHistory: loadHistory.LoadHistory;
  private readonly startId = core.createId();

  constructor(private readonly kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.httpServer = kernel.find(httpServer.HTTP_SERVER);
    this.faults = kernel.find(endpointFaults.ENDPOINT_FAULTS);
    this.runs = new runs.RunCounts(this.clock);
    this.loadHistory = new loadHistory.LoadHistory(this.clock);
    this.faults.watch(patchedKeys => this.applyFaults(patchedKeys));
  }

  async serve(exchange: exchanges.Exchange): Promise<void> {
    const resource =
      exchange.method === 'GET' ? this.getResource(exchange) : undefined;
    if (resource) return exchange.sendJson(200, resource);
    const reply = this.createReply(exchange);
    if (this.isRefusing()) {
      await reply.refuse();
      return;
    }
    const body = await exchange.readBody();
    const marker = this.faults.current.crash_marker;
    if (marker !== '' && body.includes(marker)) return this.httpServer.crash();
    await this.workload.run({
      method: exchange.method,
      url: exchange.url,
      body,
      chat: exchange.header(core.headers.CHAT),
      key: exchange.header(core.headers.IDEMPOTENCY_KEY),
      requestId: exchange.header(core.headers.REQUEST_ID),
      reply,
    });
  }

  stats(isBrief: boolean): object {
    const {queued} = this.workload;
    return {...this.runs.stats(isBrief), queued, ...this.workload.stats()};
  }

  runAction(): boolean {
    return false;
  }

  noteQueued(): void {
    this.runs.noteOutstanding(this.workload.queued);
    this.recordLoad();
  }

  noteStart(call: Call): number {
    const run = this.runs.noteStart(call, this.workload.queued);
    this.recordLoad();
    return run;
  }

  noteEnd(delivery: replies.Delivery): void {
    this.runs.noteEnd(delivery === 'whole' ? 'finished' : 'cut');
    this.recordLoad();
  }

  noteAbandoned(): void {
    this.runs.noteAbandoned();
    this.recordLoad();
  }

  private get workload(): Workload {
    return this.kernel.find(WORKLOAD);
  }

  private getResource(exchange: exchanges.Exchange): object | undefined {
    const {pathname} = exchange.url;
    if (pathname === '/health') return {};
    if (pathname === '/load') return this.loadReport();
    return this.workload.getResource(exchange);
  }

  private loadReport(): core.LoadReport {
    const lagMs = this.faults.current.report_lag_ms;
    const load = this.loadHistory.read(lagMs);
    return {...load, age_ms: lagMs, start_id: this.startId};
  }

  private createReply(exchange: exchanges.Exchange): replies.Reply {
    const {clock, httpServer, faults} = this;
    return new replies.Reply(exchange, {clock, httpServer, faults});
  }

  private applyFaults(patchedKeys: ReadonlySet<string>): void {
    const {silent, frozen, down} = this.faults.current;
    this.recordLoad();
    if (patchedKeys.has('silent') && silent) this.httpServer.silence();
    if (patchedKeys.has('frozen')) this.httpServer.setFrozen(frozen);
    if (patchedKeys.has('down') && down) this.httpServer.crash();
  }

  private isRefusing(): boolean {
    const faults = this.faults.current;
    if (faults.refuse) return true;
    return faults.leaving && faults.refuse_when_leaving;
  }

  private recordLoad(): void {
    this.loadHistory.add({
      in_flight: this.runs.inFlight,
      queued: this.workload.queued,
      state: this.faults.current.leaving ? 'leaving' : 'live',
    });
  }
}
