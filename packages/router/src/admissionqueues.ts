/**
 * Admission queues, in which requests wait for a free slot. If the chat memory
 * has the endpoint that last served the request's chat, the request first waits
 * a short time for that endpoint, which holds the chat's context. After that it
 * waits like all others, in the pool's fair queue for any endpoint, until its
 * deadline.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as waitQueue from './waitqueue.js';
import * as meters from './meters.js';
import * as endpointSlots from './endpointslots.js';
import type * as settings from './settings.js';
import * as requestTraces from './requesttraces.js';

/** Minimum retry delay given to a refused caller. */
const MIN_RETRY_AFTER_MS = 50;

/** Admission queues of all pools. */
export interface AdmissionQueues {
  /**
   * Waits for a slot; every failure means that the request did not run. A
   * reservation of type `local` must be returned with `release`.
   */
  reserve(
    slotRequest: endpointSlots.SlotRequest,
  ): Promise<core.Result<endpointSlots.Reservation>>;
  /** Reserves a slot at one owned endpoint without waiting, or fails. */
  reserveAt(
    slotRequest: endpointSlots.SlotRequest,
    endpoint: string,
  ): core.Result<endpointSlots.Reservation>;
  /** Releases a slot at an endpoint that this router owns. */
  release(endpoint: string): void;
  /**
   * Records the end of a request that this router sent to another owner and that
   * the owner accepted.
   */
  recordRemoteEnd(endpoint: string): void;
  /** Skips an endpoint for a short time after its owner refused a request. */
  markFull(endpoint: string): void;
  /** Grants free slots to the waiting requests of all queues. */
  grantWaiting(): void;
  /** How many requests wait at this router. */
  countWaiting(): number;
}

/** The contract under which the admission queues are registered. */
export const ADMISSION_QUEUES = core.contract<AdmissionQueues>(
  'admission-queues',
  ['reserve', 'reserveAt', 'release', 'grantWaiting'],
);

/** Creates the request queue that sets the order within a wait queue. */
export type QueueFactory = (
  pool: core.Pool,
) => decide.RequestQueue<waitQueue.QueueEntry<endpointSlots.Reservation>>;

/** The wait queues of one pool. */
interface PoolQueues {
  /** Requests that any endpoint may run. */
  readonly anyEndpoint: waitQueue.WaitQueue<endpointSlots.Reservation>;
  /** Requests that wait for one endpoint, by its name. */
  readonly byEndpoint: Map<
    string,
    waitQueue.WaitQueue<endpointSlots.Reservation>
  >;
}

/** One wait queue for each pool and one for each of its endpoints. */
export class PoolAdmissionQueues implements AdmissionQueues {
  private readonly queuesByPool = new Map<string, PoolQueues>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
    private readonly createQueue: QueueFactory,
  ) {}

  async reserve(
    slotRequest: endpointSlots.SlotRequest,
  ): Promise<core.Result<endpointSlots.Reservation>> {
    const {choices} = this.slots.rank(slotRequest);
    const [firstChoice] = choices;
    if (!firstChoice) {
      return core.fail(
        'pool_empty',
        `pool ${slotRequest.pool.name} has no endpoint`,
      );
    }
    const queues = this.poolQueues(slotRequest.pool);
    const contextResult = await this.waitForContext(
      slotRequest,
      queues,
      firstChoice,
    );
    if (contextResult) return contextResult;
    if (!queues.anyEndpoint.hasWaiter(priorityOf(slotRequest.route))) {
      const reservation = this.slots.reserveFirst(slotRequest);
      if (reservation) return core.succeed(reservation);
    }
    if (slotRequest.deadlineMs <= this.nowMs()) {
      return this.refuseSaturated(slotRequest);
    }
    const tryGrant = () => this.slots.reserveFirst(slotRequest);
    const waiter = this.toWaiter(slotRequest, slotRequest.deadlineMs, tryGrant);
    return this.toResult(
      slotRequest,
      await this.waitInQueue(slotRequest, queues.anyEndpoint, waiter),
    );
  }

  reserveAt(
    slotRequest: endpointSlots.SlotRequest,
    endpoint: string,
  ): core.Result<endpointSlots.Reservation> {
    const reservation = this.slots.reserveAt(slotRequest, endpoint);
    return reservation
      ? core.succeed(reservation)
      : this.refuseSaturated(slotRequest);
  }

  release(endpoint: string): void {
    this.slots.release(endpoint);
    this.grantWaiting();
  }

  recordRemoteEnd(endpoint: string): void {
    this.slots.recordRemoteEnd(endpoint);
    this.grantWaiting();
  }

  markFull(endpoint: string): void {
    this.slots.markFull(endpoint);
    setTimeout(
      () => this.grantWaiting(),
      endpointSlots.FULL_HOLD_OFF_MS,
    ).unref();
  }

  grantWaiting(): void {
    for (const {anyEndpoint, byEndpoint} of this.queuesByPool.values()) {
      for (const queue of byEndpoint.values()) queue.grantWaiting();
      anyEndpoint.grantWaiting();
    }
  }

  countWaiting(): number {
    let sum = 0;
    for (const {anyEndpoint, byEndpoint} of this.queuesByPool.values()) {
      sum += anyEndpoint.size;
      for (const queue of byEndpoint.values()) sum += queue.size;
    }
    return sum;
  }

  /**
   * Waits for the endpoint that holds the chat's context; undefined where there
   * is none or it stays full.
   */
  private async waitForContext(
    slotRequest: endpointSlots.SlotRequest,
    queues: PoolQueues,
    firstChoice: decide.PlacementChoice,
  ): Promise<core.Result<endpointSlots.Reservation> | undefined> {
    if (firstChoice.reason !== 'memory') return undefined;
    const {endpoint} = firstChoice;
    const tryGrant = () => this.slots.reserveAt(slotRequest, endpoint);
    const queue = this.endpointQueue(queues, slotRequest.pool, endpoint);
    if (!queue.hasWaiter(priorityOf(slotRequest.route))) {
      const reservation = tryGrant();
      if (reservation) return core.succeed(reservation);
    }
    const contextDeadlineMs = this.nowMs() + this.routerSettings.contextWaitMs;
    const untilMs = Math.min(slotRequest.deadlineMs, contextDeadlineMs);
    if (untilMs <= this.nowMs()) return undefined;
    const waiter = this.toWaiter(slotRequest, untilMs, tryGrant);
    const result = await this.waitInQueue(slotRequest, queue, waiter);
    if (result.type === 'expired' || result.type === 'refused') {
      return undefined;
    }
    return this.toResult(slotRequest, result);
  }

  /** Waits in a queue; records the wait in the trace and the metrics. */
  private async waitInQueue(
    slotRequest: endpointSlots.SlotRequest,
    queue: waitQueue.WaitQueue<endpointSlots.Reservation>,
    waiter: waitQueue.Waiter<endpointSlots.Reservation>,
  ): Promise<waitQueue.WaitResult<endpointSlots.Reservation>> {
    const {name} = slotRequest.pool;
    const detail = `no free slot in pool ${name}; ${queue.size} requests wait`;
    this.kernel
      .find(requestTraces.REQUEST_TRACES)
      .record(slotRequest.request.id, 'queued', detail);
    const startedMs = this.nowMs();
    const result = await queue.wait(waiter);
    this.kernel.find(meters.METERS).observeWait(name, this.nowMs() - startedMs);
    return result;
  }

  private toWaiter(
    slotRequest: endpointSlots.SlotRequest,
    untilMs: number,
    tryGrant: () => endpointSlots.Reservation | undefined,
  ): waitQueue.Waiter<endpointSlots.Reservation> {
    return {
      customer: slotRequest.request.customer,
      priority: priorityOf(slotRequest.route),
      untilMs,
      callerGone: slotRequest.callerGone,
      tryGrant,
    };
  }

  private toResult(
    slotRequest: endpointSlots.SlotRequest,
    result: waitQueue.WaitResult<endpointSlots.Reservation>,
  ): core.Result<endpointSlots.Reservation> {
    const {pool, route} = slotRequest;
    switch (result.type) {
      case 'granted':
        return core.succeed(result.grant);
      case 'gone':
        return this.refuse(
          slotRequest,
          'wait_timeout',
          'the caller closed its connection',
        );
      case 'refused':
        return this.refuse(
          slotRequest,
          'queue_full',
          `the wait queue of ${pool.name} is full`,
        );
      case 'expired':
        return this.refuse(
          slotRequest,
          'wait_timeout',
          `waited ${route.wait_ms} ms`,
        );
    }
  }

  private refuseSaturated(slotRequest: endpointSlots.SlotRequest) {
    return this.refuse(slotRequest, 'saturated', 'no endpoint has a free slot');
  }

  private refuse(
    slotRequest: endpointSlots.SlotRequest,
    kind: core.ErrorKind,
    detail: string,
  ) {
    const retryAfterMs = Math.max(
      MIN_RETRY_AFTER_MS,
      slotRequest.route.wait_ms,
    );
    return core.fail(
      kind,
      `pool ${slotRequest.pool.name}: ${detail}`,
      retryAfterMs,
    );
  }

  private poolQueues(pool: core.Pool): PoolQueues {
    let queues = this.queuesByPool.get(pool.name);
    if (!queues) {
      queues = {anyEndpoint: this.createWaitQueue(pool), byEndpoint: new Map()};
      this.queuesByPool.set(pool.name, queues);
    }
    return queues;
  }

  private endpointQueue(
    queues: PoolQueues,
    pool: core.Pool,
    endpoint: string,
  ): waitQueue.WaitQueue<endpointSlots.Reservation> {
    let queue = queues.byEndpoint.get(endpoint);
    if (!queue) {
      queue = this.createWaitQueue(pool);
      queues.byEndpoint.set(endpoint, queue);
    }
    return queue;
  }

  private createWaitQueue(
    pool: core.Pool,
  ): waitQueue.WaitQueue<endpointSlots.Reservation> {
    const clock = this.kernel.find(core.CLOCK);
    return new waitQueue.WaitQueue(this.createQueue(pool), clock);
  }

  private get slots(): endpointSlots.Slots {
    return this.kernel.find(endpointSlots.SLOTS);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

/** The route's priority as a number; 0 is the most urgent. */
export function priorityOf(route: core.Route): number {
  return core.PRIORITIES.indexOf(route.priority);
}
