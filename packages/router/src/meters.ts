/**
 * The router's own metrics behind one service, so that other services only
 * report events. Every label has a bounded set of values: routes and pools
 * come from the tables, outcomes from the fixed list of error kinds, and
 * customers beyond a maximum share one label.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as chatMemory from './chatmemory.js';
import * as admissionQueues from './admissionqueues.js';

const WAIT_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const MS_PER_S = 1_000;
/** Maximum number of customers with a label; they keep it until a restart. */
const MAX_LABELLED_CUSTOMERS = 100;

/** Route label of requests that match no route. */
export const NO_ROUTE = 'none';

/** Events that other services report. */
export interface Meters {
  /** Counts a caller's finished request by route and outcome. */
  countRequest(route: string, outcome: exchange.Outcome): void;
  /** Counts requests and tokens of a customer. */
  countUsage(usage: decide.Usage): void;
  /** Observes the time that a request waited in a pool's queue. */
  observeWait(pool: string, waitMs: number): void;
  /** Counts a request that was forwarded to another router. */
  countForward(): void;
  /** Counts a retry, which is an attempt after a failed one. */
  countRetry(pool: string): void;
  /** Counts an endpoint's ejection. */
  countEjection(): void;
  /** Counts a digest that was skipped because its budget was used up. */
  countSkippedDigest(): void;
  /** Counts a claim of an idempotency key by outcome. */
  countClaim(result: core.Result<unknown>): void;
}

/** The contract under which the meters are registered. */
export const METERS = core.contract<Meters>('meters', [
  'countRequest',
  'countUsage',
  'observeWait',
  'countForward',
  'countRetry',
  'countEjection',
  'countSkippedDigest',
  'countClaim',
]);

function createMetrics(registers: prom.Registry[]) {
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
    forwards: counter(
      'passed_on_total',
      'Requests passed on to another router.',
    ),
    retries: counter('retries_total', 'Tries after a failed one, by pool.', [
      'pool',
    ]),
    ejections: counter(
      'ejections_total',
      'Endpoints that this router ejected.',
    ),
    skippedDigests: counter(
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

/** Meters that feed Prometheus metrics. */
export class PromMeters implements Meters {
  private readonly registers: prom.Registry[];
  private readonly labelledCustomers = new Set<string>();
  private readonly metrics: ReturnType<typeof createMetrics>;

  constructor(private readonly kernel: core.Kernel) {
    this.registers = [kernel.find(core.METRICS).registry()];
    this.metrics = createMetrics(this.registers);
    this.registerGauges();
  }

  countRequest(route: string, outcome: exchange.Outcome): void {
    const isAnswered = outcome.type === 'answered';
    const kind = isAnswered ? 'answered' : outcome.failure.kind;
    this.metrics.requests.inc({route, outcome: kind});
  }

  countUsage({customer, route, pool, requests, tokens}: decide.Usage): void {
    const labels = {customer: this.customerLabel(customer), route, pool};
    if (requests > 0) this.metrics.usageRequests.inc(labels, requests);
    if (tokens > 0) this.metrics.usageTokens.inc(labels, tokens);
  }

  observeWait(pool: string, waitMs: number): void {
    this.metrics.waits.observe({pool}, waitMs / MS_PER_S);
  }

  countForward(): void {
    this.metrics.forwards.inc();
  }

  countRetry(pool: string): void {
    this.metrics.retries.inc({pool});
  }

  countEjection(): void {
    this.metrics.ejections.inc();
  }

  countSkippedDigest(): void {
    this.metrics.skippedDigests.inc();
  }

  countClaim(result: core.Result<unknown>): void {
    this.metrics.claims.inc({
      outcome: result.ok ? 'claimed' : result.failure.kind,
    });
  }

  /**
   * Label of a customer. A customer keeps the label it was first given, since
   * a counter must never decrease.
   */
  private customerLabel(customer: string): string {
    if (this.labelledCustomers.has(customer)) return customer;
    if (this.labelledCustomers.size >= MAX_LABELLED_CUSTOMERS) {
      return decide.OTHER_CUSTOMERS;
    }
    this.labelledCustomers.add(customer);
    return customer;
  }

  private registerGauges(): void {
    const {kernel} = this;
    this.registerGauge('in_flight', 'Requests in flight at this router.', () =>
      kernel.find(drain.DRAIN).inFlight(),
    );
    this.registerGauge('queued', 'Requests that wait at this router.', () =>
      kernel.find(admissionQueues.ADMISSION_QUEUES).countWaiting(),
    );
    this.registerGauge(
      'config_next_offset',
      'Offset up to which edits hold.',
      () => kernel.find(configuration.CONFIGURATION).nextOffset(),
    );
    this.registerGauge(
      'chats',
      'Chats whose last endpoint is remembered.',
      () => {
        return kernel.find(chatMemory.CHAT_MEMORY).size;
      },
    );
    this.registerGauge(
      'routers_live',
      'Routers that this one calls live.',
      () => {
        return kernel.find(fleet.FLEET).liveRouters().length;
      },
    );
    this.registerGauge('ejected_endpoints', 'Endpoints ejected here now.', () =>
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

  private registerGauge(name: string, help: string, read: () => number): void {
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

/** Decorates an ejection to count and log each endpoint that it ejects. */
export class MeteredEjection implements decide.Ejection {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly inner: decide.Ejection,
  ) {}

  observe(endpoint: string, isLive: boolean, nowMs: number): void {
    this.inner.observe(endpoint, isLive, nowMs);
  }

  recordStart(endpoint: string, nowMs: number): void {
    this.inner.recordStart(endpoint, nowMs);
  }

  recordSuccess(endpoint: string, nowMs: number): void {
    this.inner.recordSuccess(endpoint, nowMs);
  }

  recordFailure(endpoint: string, nowMs: number): void {
    const wasEjected = this.inner.isEjected(endpoint, nowMs);
    this.inner.recordFailure(endpoint, nowMs);
    if (wasEjected || !this.inner.isEjected(endpoint, nowMs)) return;
    this.kernel.find(METERS).countEjection();
    this.kernel.find(core.LOGGER).warn('ejected', {endpoint});
  }

  filterUsable(pool: readonly string[], nowMs: number): readonly string[] {
    return this.inner.filterUsable(pool, nowMs);
  }

  isSettled(endpoint: string, nowMs: number): boolean {
    return this.inner.isSettled(endpoint, nowMs);
  }

  isEjected(endpoint: string, nowMs: number): boolean {
    return this.inner.isEjected(endpoint, nowMs);
  }
}
