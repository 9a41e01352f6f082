/**
 * What engines and plain services have in common: load and health pages,
 * refusals, crashes, and the counting of runs. What a run does is a workload.
 */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import * as front from './front.js';
import * as loadhistory from './loadhistory.js';
import * as replies from './reply.js';
import * as runs from './runs.js';

/** One request that an endpoint runs. */
export interface Call {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
  readonly chat?: string;
  readonly key?: string;
  readonly requestId?: string;
  readonly reply: replies.Reply;
}

/** What an endpoint does with the requests that it takes. */
export interface Workload {
  /** Requests that wait inside the endpoint. */
  readonly queued: number;
  /** Runs and answers one request. */
  run(call: Call): Promise<void>;
  /** The body of one of the workload's own pages, where it has that page. */
  page(exchange: exchanges.Exchange): object | undefined;
  /** Counts since the start. */
  stats(): object;
}

/** The contract under which an endpoint's workload is registered. */
export const WORKLOAD = core.contract<Workload>('workload', [
  'run',
  'page',
  'stats',
]);

/** Who tells the endpoint of changes in what it carries. */
export interface RunLog {
  /** Notes that a request waits. */
  wait(): void;
  /** Counts a start and returns which run of its key it is. */
  begin(call: Call): number;
  /** Counts the end of a run. */
  end(delivery: replies.Delivery): void;
  /** Counts a request whose caller left before it started. */
  abandon(): void;
}

/** The contract under which the counting of runs is registered. */
export const RUN_LOG = core.contract<RunLog>('run-log', [
  'wait',
  'begin',
  'end',
  'abandon',
]);

/** Answers the calls of an endpoint and counts its runs. */
export class Endpoint implements front.Site, RunLog {
  private readonly clock: core.Clock;
  private readonly front: front.Front;
  private readonly faults: control.Faults<endpointFaults.EndpointFaults>;
  private readonly runs: runs.Runs;
  private readonly history: loadhistory.LoadHistory;
  private readonly startId = core.createId();

  constructor(private readonly kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.front = kernel.find(front.FRONT);
    this.faults = kernel.find(endpointFaults.ENDPOINT_FAULTS);
    this.runs = new runs.Runs(this.clock);
    this.history = new loadhistory.LoadHistory(this.clock);
    this.faults.watch(given => this.apply(given));
  }

  async serve(exchange: exchanges.Exchange): Promise<void> {
    const page = exchange.method === 'GET' ? this.page(exchange) : undefined;
    if (page) return exchange.send(200, page);
    const reply = this.reply(exchange);
    if (this.isRefusing()) {
      await reply.refuse();
      return;
    }
    const body = await exchange.body();
    const marker = this.faults.now.crash_marker;
    if (marker !== '' && body.includes(marker)) return this.front.crash();
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

  act(): boolean {
    return false;
  }

  wait(): void {
    this.runs.carry(this.workload.queued);
    this.sample();
  }

  begin(call: Call): number {
    const run = this.runs.start(call, this.workload.queued);
    this.sample();
    return run;
  }

  end(delivery: replies.Delivery): void {
    this.runs.end(delivery === 'whole' ? 'finished' : 'cut');
    this.sample();
  }

  abandon(): void {
    this.runs.abandon();
    this.sample();
  }

  private get workload(): Workload {
    return this.kernel.find(WORKLOAD);
  }

  private page(exchange: exchanges.Exchange): object | undefined {
    const {pathname} = exchange.url;
    if (pathname === '/health') return {};
    if (pathname === '/load') return this.report();
    return this.workload.page(exchange);
  }

  private report(): core.LoadReport {
    const lagMs = this.faults.now.report_lag_ms;
    const load = this.history.read(lagMs);
    return {...load, age_ms: lagMs, start_id: this.startId};
  }

  private reply(exchange: exchanges.Exchange): replies.Reply {
    const {clock, front, faults} = this;
    return new replies.Reply(exchange, {clock, front, faults});
  }

  private apply(given: ReadonlySet<string>): void {
    const {silent, frozen, down} = this.faults.now;
    this.sample();
    if (given.has('silent') && silent) this.front.silence();
    if (given.has('frozen')) this.front.freeze(frozen);
    if (given.has('down') && down) this.front.crash();
  }

  private isRefusing(): boolean {
    const faults = this.faults.now;
    if (faults.refuse) return true;
    return faults.leaving && faults.refuse_when_leaving;
  }

  private sample(): void {
    this.history.add({
      in_flight: this.runs.inFlight,
      queued: this.workload.queued,
      state: this.faults.now.leaving ? 'leaving' : 'live',
    });
  }
}
