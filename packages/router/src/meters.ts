/**
 * Meters: the router's own metrics behind one service, so that other services
 * only say what happened. Every label has a bounded set of values: routes and
 * pools by the tables, outcomes by the closed list of kinds, customers by a
 * number of names, the rest as one.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as memory from './memory.js';
import * as rooms from './rooms.js';

const WAIT_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const MS_PER_S = 1_000;
/** Customers that have a label of their own for the life of the process. */
const MAX_LABELLED_CUSTOMERS = 100;

/** Label of requests that no route matches. */
export const NO_ROUTE = 'none';

/** What the other services tell. */
export interface Meters {
  /** A request of a caller has ended here. */
  ended(route: string, outcome: exchange.Outcome): void;
  used(usage: decide.Usage): void;
  /** A request has waited in a queue. */
  waited(pool: string, waitMs: number): void;
  passedOn(): void;
  retried(pool: string): void;
  ejected(): void;
  /** A digest was not sent for want of budget. */
  digestSkipped(): void;
  /** A claim was made, or refused with a kind. */
  claimed(result: core.Result<unknown>): void;
}

/** The contract under which the meters are registered. */
export const METERS = core.contract<Meters>('meters', [
  'ended',
  'used',
  'waited',
  'passedOn',
  'retried',
  'ejected',
  'digestSkipped',
  'claimed',
]);

function createCounters(registers: prom.Registry[]) {
  const counter = <T extends string = never>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ) =>
    new prom.Counter({name: `oleander_${name}`, help, labelNames, registers});
  return {
    requests: counter(
      'requests_total',
      'Requests of callers by route and how they ended.',
      ['route', 'outcome'],
    ),
    usageRequests: counter(
      'usage_requests_total',
      'Requests accepted by customer, route and pool.',
      ['customer', 'route', 'pool'],
    ),
    usageTokens: counter(
      'usage_tokens_total',
      'Tokens of answers by customer, route and pool.',
      ['customer', 'route', 'pool'],
    ),
    passes: counter('passed_on_total', 'Requests passed on to another router.'),
    retries: counter('retries_total', 'Tries after a failed one, by pool.', [
      'pool',
    ]),
    ejections: counter(
      'ejections_total',
      'Endpoints that this router ejected.',
    ),
    skipped: counter(
      'digests_skipped_total',
      'Digests not sent for want of control budget.',
    ),
    claims: counter(
      'claims_total',
      'Claims of calls that may not be repeated, by outcome.',
      ['outcome'],
    ),
    waits: new prom.Histogram({
      name: 'oleander_wait_seconds',
      help: 'Time that requests waited in the queue of a pool.',
      labelNames: ['pool'],
      buckets: WAIT_BUCKETS_S,
      registers,
    }),
  };
}

/** Meters in the process's metrics. */
export class PromMeters implements Meters {
  private readonly registers: prom.Registry[];
  private readonly customers = new Set<string>();
  private readonly made: ReturnType<typeof createCounters>;

  constructor(private readonly kernel: core.Kernel) {
    this.registers = [kernel.find(core.METRICS).registry()];
    this.made = createCounters(this.registers);
    this.gauges();
  }

  ended(route: string, outcome: exchange.Outcome): void {
    const isAnswered = outcome.type === 'answered';
    const kind = isAnswered ? 'answered' : outcome.failure.kind;
    this.made.requests.inc({route, outcome: kind});
  }

  used({customer, route, pool, requests, tokens}: decide.Usage): void {
    const labels = {customer: this.label(customer), route, pool};
    if (requests > 0) this.made.usageRequests.inc(labels, requests);
    if (tokens > 0) this.made.usageTokens.inc(labels, tokens);
  }

  waited(pool: string, waitMs: number): void {
    this.made.waits.observe({pool}, waitMs / MS_PER_S);
  }

  passedOn(): void {
    this.made.passes.inc();
  }

  retried(pool: string): void {
    this.made.retries.inc({pool});
  }

  ejected(): void {
    this.made.ejections.inc();
  }

  digestSkipped(): void {
    this.made.skipped.inc();
  }

  claimed(result: core.Result<unknown>): void {
    this.made.claims.inc({
      outcome: result.ok ? 'claimed' : result.failure.kind,
    });
  }

  /** A counter must never fall, so a name keeps the label it once had. */
  private label(customer: string): string {
    if (this.customers.has(customer)) return customer;
    if (this.customers.size >= MAX_LABELLED_CUSTOMERS) {
      return decide.OTHER_CUSTOMERS;
    }
    this.customers.add(customer);
    return customer;
  }

  private gauges(): void {
    const {kernel} = this;
    this.gauge('in_flight', 'Requests in flight at this router.', () =>
      kernel.find(drain.DRAIN).inFlight(),
    );
    this.gauge('queued', 'Requests that wait at this router.', () =>
      kernel.find(rooms.ROOMS).queued(),
    );
    this.gauge('config_next_offset', 'Offset up to which edits hold.', () =>
      kernel.find(configuration.CONFIGURATION).nextOffset(),
    );
    this.gauge('chats', 'Chats whose last endpoint is remembered.', () => {
      return kernel.find(memory.MEMORY).size;
    });
    this.gauge('routers_live', 'Routers that this one calls live.', () => {
      return kernel.find(fleet.FLEET).routers().length;
    });
    this.gauge('ejected_endpoints', 'Endpoints ejected here now.', () =>
      this.countEjected(),
    );
  }

  private countEjected(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const ejection = this.kernel.find(fleet.EJECTION);
    return this.kernel
      .find(fleet.FLEET)
      .endpoints()
      .filter(item => ejection.isEjected(item.name, nowMs)).length;
  }

  private gauge(name: string, help: string, read: () => number): void {
    new prom.Gauge({
      name: `oleander_${name}`,
      help,
      registers: this.registers,
      collect() {
        this.set(read());
      },
    });
  }
}

/** An ejection that tells the meters when an endpoint becomes ejected. */
export class MeteredEjection implements decide.Ejection {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly inner: decide.Ejection,
  ) {}

  observe(endpoint: string, isLive: boolean, nowMs: number): void {
    this.inner.observe(endpoint, isLive, nowMs);
  }

  began(endpoint: string, nowMs: number): void {
    this.inner.began(endpoint, nowMs);
  }

  succeeded(endpoint: string, nowMs: number): void {
    this.inner.succeeded(endpoint, nowMs);
  }

  failed(endpoint: string, nowMs: number): void {
    const wasEjected = this.inner.isEjected(endpoint, nowMs);
    this.inner.failed(endpoint, nowMs);
    if (wasEjected || !this.inner.isEjected(endpoint, nowMs)) return;
    this.kernel.find(METERS).ejected();
    this.kernel.find(core.LOGGER).warn('ejected', {endpoint});
  }

  usable(pool: readonly string[], nowMs: number): readonly string[] {
    return this.inner.usable(pool, nowMs);
  }

  isSettled(endpoint: string, nowMs: number): boolean {
    return this.inner.isSettled(endpoint, nowMs);
  }

  isEjected(endpoint: string, nowMs: number): boolean {
    return this.inner.isEjected(endpoint, nowMs);
  }
}
