/**
 * Failover: tries a request's endpoints one after another until one accepts
 * it. Waits for a free slot, moves on where an endpoint is full or the routers'
 * views of ownership differ, and retries failed attempts within the retry
 * budget. Repeatable and at-most-once calls allow different retries, so the
 * caller passes `mayTryAnother`.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import type * as endpointSlots from './endpointslots.js';
import * as admissionQueues from './admissionqueues.js';
import * as routedRequests from './routedrequest.js';

/** Maximum number of failed attempts in one run, refusals excluded. */
const MAX_FAILED_ATTEMPTS = 5;
/** Maximum number of refusals (endpoint full or not owned) in one run. */
const MAX_REFUSALS = 64;

/** Options of one failover run. */
export interface FailoverOptions {
  readonly routedRequest: routedRequests.RoutedRequest;
  /** Monotonic time after which the request must not be dispatched. */
  readonly dispatchDeadlineMs?: number;
  /** Sends the request to the endpoint whose slot was reserved. */
  useReservation(
    reservation: endpointSlots.Reservation,
  ): Promise<exchange.Outcome>;
  /** Whether another endpoint may be tried after this failure. */
  mayTryAnother(failure: core.Failure): boolean;
}

/** Runs requests with failover between endpoints. */
export interface Failover {
  /** Runs the request at the first endpoint that accepts it. */
  run(options: FailoverOptions): Promise<exchange.Outcome>;
  /**
   * Runs the request at one endpoint, without waiting; fails with `not_owner`
   * where this router does not own the endpoint.
   */
  runAt(options: FailoverOptions, endpoint: string): Promise<exchange.Outcome>;
}

/** The contract under which the failover is registered. */
export const FAILOVER = core.contract<Failover>('failover', ['run', 'runAt']);

/** The contract under which the retry policy is registered. */
export const RETRY_POLICY = core.contract<decide.RetryPolicy>('retry-policy', [
  'recordFirstTry',
  'trySpend',
  'backoffMs',
]);

/**
 * Kinds of refusals after which the next endpoint may accept the request: no
 * free slot, or a router that does not consider itself the owner or serves no
 * requests at present.
 */
const TRY_NEXT_KINDS: readonly core.ErrorKind[] = [
  'saturated',
  'not_owner',
  'queue_full',
  'draining',
  'not_ready',
];

/** Failover over slots that the admission queues reserve. */
export class QueuedFailover implements Failover {
  constructor(private readonly kernel: core.Kernel) {}

  async run(options: FailoverOptions): Promise<exchange.Outcome> {
    const {routedRequest, dispatchDeadlineMs = Number.POSITIVE_INFINITY} =
      options;
    const clock = this.kernel.find(core.CLOCK);
    const waitDeadlineMs = clock.nowMs() + routedRequest.route.wait_ms;
    const deadlineMs = Math.min(waitDeadlineMs, dispatchDeadlineMs);
    const excludedEndpoints = new Set<string>();
    let result: exchange.Outcome | undefined;
    let failures = 0;
    this.kernel.find(RETRY_POLICY).recordFirstTry();
    for (let refusals = 0; refusals < MAX_REFUSALS;) {
      const slotRequest = routedRequests.toSlotRequest(routedRequest, {
        deadlineMs,
        excludedEndpoints,
      });
      const reserved = await this.kernel
        .find(admissionQueues.ADMISSION_QUEUES)
        .reserve(slotRequest);
      if (!reserved.ok) return result ?? exchange.refused(reserved.failure);
      const outcome = await options.useReservation(reserved.value);
      const isRefused =
        outcome.type === 'failed' && shouldTryNext(outcome.failure);
      if (isRefused) this.markFull(reserved.value);
      else this.recordEnd(reserved.value);
      result = exchange.combineOutcomes(result, outcome);
      if (outcome.type === 'answered' || routedRequest.answer.hasSentHead) {
        return result;
      }
      if (isRefused) {
        refusals++;
        continue;
      }
      excludedEndpoints.add(reserved.value.choice.endpoint);
      failures++;
      const isExhausted =
        failures > MAX_FAILED_ATTEMPTS ||
        routedRequest.answer.callerGone.aborted;
      if (isExhausted || !options.mayTryAnother(outcome.failure)) return result;
      if (!(await this.spendRetry(routedRequest, failures))) return result;
    }
    return result ?? exchange.failed('saturated', 'no free slot');
  }

  async runAt(
    options: FailoverOptions,
    endpoint: string,
  ): Promise<exchange.Outcome> {
    const fleetView = this.kernel.find(fleet.FLEET);
    if (fleetView.owners(endpoint)[0] !== fleetView.self()) {
      const detail = `${fleetView.self()} does not own ${endpoint}`;
      return exchange.failed('not_owner', detail);
    }
    const slotRequest = routedRequests.toSlotRequest(options.routedRequest, {
      deadlineMs: 0,
    });
    const reserved = this.kernel
      .find(admissionQueues.ADMISSION_QUEUES)
      .reserveAt(slotRequest, endpoint);
    if (!reserved.ok) return exchange.refused(reserved.failure);
    return options.useReservation(reserved.value);
  }

  /** Requests at endpoints of this router are released where they run. */
  private recordEnd(reservation: endpointSlots.Reservation): void {
    if (reservation.type === 'local') return;
    this.kernel
      .find(admissionQueues.ADMISSION_QUEUES)
      .recordRemoteEnd(reservation.choice.endpoint);
  }

  private markFull(reservation: endpointSlots.Reservation): void {
    if (reservation.type === 'local') return;
    this.kernel
      .find(admissionQueues.ADMISSION_QUEUES)
      .markFull(reservation.choice.endpoint);
  }

  /** Spends a retry and waits its backoff; false if the budget is used up. */
  private async spendRetry(
    routedRequest: routedRequests.RoutedRequest,
    attempt: number,
  ): Promise<boolean> {
    const policy = this.kernel.find(RETRY_POLICY);
    if (!policy.trySpend()) return false;
    this.kernel.find(meters.METERS).countRetry(routedRequest.pool.name);
    const clock = this.kernel.find(core.CLOCK);
    await clock.sleep(
      policy.backoffMs(attempt),
      routedRequest.answer.callerGone,
    );
    return true;
  }
}

function shouldTryNext(failure: core.Failure): boolean {
  return TRY_NEXT_KINDS.includes(failure.kind);
}
