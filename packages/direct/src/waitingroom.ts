/**
 * The waiting room: requests wait here while no endpoint of their pool has room,
 * instead of being refused. A request leaves it when its turn comes and room is
 * reported, when its time or its caller's patience ends, or when a more urgent
 * one takes its place. While requests of a pool wait, one task sleeps until the
 * next of them ends or a full endpoint may be asked again; accepted requests,
 * ended answers and new endpoints wake it.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as decisions from './decisions.js';
import * as endpointNotices from './endpointnotices.js';
import * as endpointRegistry from './endpointregistry.js';
import type * as routedRequest from './routedrequest.js';
import * as waitMeters from './waitmeters.js';
import * as wakeablePause from './wakeablepause.js';

/** How a wait ended. */
export type WaitEnd =
  /** An endpoint may have room now; `span` is for a further wait. */
  | {readonly type: 'room'; readonly span: WaitSpan}
  /** `expectedMs`: when room is expected; absent if unknown. */
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      readonly expectedMs?: number;
    }
  | {readonly type: 'caller_gone'};

/**
 * Why a request may not wait on: `too_late`: room is not expected in its time;
 * `full`: others go before it, and the list is full; `displaced`: one that goes
 * before it took its place; `expired`: it has waited as long as is of use.
 */
export type RefusalReason = 'too_late' | 'full' | 'displaced' | 'expired';

/** When a request first began to wait, and until when it may, in ms. */
export interface WaitSpan {
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** A request that is to wait. */
export interface WaitRequest {
  readonly request: routedRequest.RoutedRequest;
  readonly callerGone: AbortSignal;
  /** That of its first wait, if it goes on waiting. */
  readonly span?: WaitSpan;
  /** The version at which the request may run; absent if it may at any. */
  readonly version?: string;
}

/**
 * Lets requests wait for room in their pools. Those that are bound to a version
 * of the endpoints wait apart, so that they hold up no others while only
 * endpoints of other versions have room.
 */
export interface WaitingRoom {
  /** Whether requests of the pool wait that are bound to the same version, or none. */
  hasWaiting(pool: string, version?: string): boolean;
  /** Waits for room; never rejects. */
  wait(options: WaitRequest): Promise<WaitEnd>;
  /** Records that an endpoint of the pool took a request that had waited. */
  recordAccepted(pool: string, version?: string): void;
  /**
   * Records that an answer of an endpoint of that version ended, so that there
   * may be room.
   */
  recordEnd(pool: string, version: string): void;
}

/** The contract under which the waiting room is registered. */
export const WAITING_ROOM = core.contract<WaitingRoom>('waiting-room', [
  'hasWaiting',
  'wait',
  'recordAccepted',
  'recordEnd',
]);

/** Bytes that a waiting request holds beside its body, about. */
const REQUEST_BYTES = 4_096;

/** Shortest and longest time between two turns of a pool, in ms. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 1_000;

interface Waiter extends decide.WaitingRequest {
  end(end: WaitEnd): void;
}

interface WaitingPool {
  readonly name: string;
  /** That to which the requests are bound; absent if they may run at any. */
  readonly version: string | undefined;
  readonly list: decide.WaitingList<Waiter>;
  readonly rate: decide.RoomRate;
  readonly pause: wakeablePause.WakeablePause;
  /** Time of the next turn, in ms; undefined while none waits. */
  wakesAtMs: number | undefined;
}

/** How the list and the rate of a pool are made. */
export interface WaitingRoomOptions {
  readonly createList: <
    T extends decide.WaitingRequest,
  >() => decide.WaitingList<T>;
  readonly createRate: () => decide.RoomRate;
}

/** Keeps a list for each pool for which requests have waited. */
export class PoolWaitingRoom implements WaitingRoom, core.Lifecycle {
  private readonly pools = new Map<string, WaitingPool>();
  private readonly stopped = new AbortController();
  private readonly meters: waitMeters.WaitMeters;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: WaitingRoomOptions,
  ) {
    this.meters = new waitMeters.WaitMeters(kernel, () => this.lengths());
  }

  start(): Promise<void> {
    this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .onChange(() => this.wakeAll());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopped.abort();
    return Promise.resolve();
  }

  hasWaiting(pool: string, version?: string): boolean {
    return (this.pools.get(keyOf(pool, version))?.list.size ?? 0) > 0;
  }

  async wait(options: WaitRequest): Promise<WaitEnd> {
    const {request, callerGone} = options;
    if (callerGone.aborted) return {type: 'caller_gone'};
    const pool = this.poolOf(request.pool, options.version);
    const startedMs = this.nowMs();
    const end = await this.enter(pool, options, startedMs);
    this.meters.recordEnd(request, end, this.nowMs() - startedMs);
    return end;
  }

  recordAccepted(poolName: string, version?: string): void {
    const pool = this.pools.get(keyOf(poolName, version));
    if (!pool) return;
    const nowMs = this.nowMs();
    pool.rate.recordRoom(nowMs);
    this.releaseNext(pool, nowMs);
  }

  recordEnd(poolName: string, version: string): void {
    // Those that can run nowhere else go first.
    for (const key of [keyOf(poolName, version), keyOf(poolName)]) {
      const pool = this.pools.get(key);
      if (pool && this.releaseNext(pool, this.nowMs())) return;
    }
  }

  /** Lets the request go on whose turn it is; false if none waits. */
  private releaseNext({list}: WaitingPool, nowMs: number): boolean {
    const waiter = list.take(nowMs);
    waiter?.end({type: 'room', span: waiter});
    return waiter !== undefined;
  }

  private *lengths(): Iterable<waitMeters.WaitingLength> {
    const nowMs = this.nowMs();
    const byPool = new Map<string, waitMeters.WaitingLength>();
    for (const {name: pool, list} of this.pools.values()) {
      const {count = 0, ageMs = 0} = byPool.get(pool) ?? {};
      byPool.set(pool, {
        pool,
        count: count + list.size,
        ageMs: Math.max(ageMs, list.ageMs(nowMs)),
      });
    }
    yield* byPool.values();
  }

  private async enter(
    pool: WaitingPool,
    options: WaitRequest,
    nowMs: number,
  ): Promise<WaitEnd> {
    const draft = draftOf(options, nowMs);
    const decision = this.decideWait(pool, options, draft, nowMs);
    const {expectedMs} = decision;
    const untilMs = options.span?.untilMs ?? nowMs + decision.maxWaitMs;
    if (decision.maxWaitMs <= 0 || untilMs <= nowMs) {
      const reason = options.span ? 'expired' : 'too_late';
      return {type: 'refused', reason, expectedMs};
    }
    return new Promise(resolve => {
      const {callerGone} = options;
      const end = (result: WaitEnd) => {
        callerGone.removeEventListener('abort', onCallerGone);
        resolve(result);
      };
      const waiter: Waiter = {...draft, untilMs, end};
      const onCallerGone = () => {
        if (pool.list.remove(waiter)) end({type: 'caller_gone'});
      };
      if (!this.add(pool, waiter, nowMs)) {
        resolve({type: 'refused', reason: 'full', expectedMs});
        return;
      }
      callerGone.addEventListener('abort', onCallerGone, {once: true});
    });
  }

  private decideWait(
    pool: WaitingPool,
    {request}: WaitRequest,
    draft: decide.WaitingRequest,
    nowMs: number,
  ): decide.WaitDecision {
    const waiter: Waiter = {...draft, end: () => undefined};
    return this.kernel.find(decisions.WAIT_POLICY).decide({
      remainingMs: request.deadlineMs - nowMs,
      aheadCount: pool.list.countAhead(waiter, nowMs),
      roomsPerSecond:
        pool.list.size > 0 ? pool.rate.perSecond(nowMs) : undefined,
      notBeforeMs: endpointNotices.holdOffMs(
        this.kernel,
        pool.name,
        pool.version,
      ),
    });
  }

  private add(pool: WaitingPool, waiter: Waiter, nowMs: number): boolean {
    if (pool.list.size === 0) pool.rate.recordStart(nowMs);
    const result = pool.list.add(waiter);
    if (result.type === 'full') return false;
    for (const loser of result.displaced) {
      loser.end(this.refusal(pool, 'displaced', nowMs));
    }
    if (pool.wakesAtMs === undefined) {
      const log = this.kernel.find(core.LOGGER);
      core.detach(log, 'waiting-room', () => this.run(pool));
    } else if (nowMs + this.pauseMs(pool) < pool.wakesAtMs) {
      pool.pause.wake();
    }
    return true;
  }

  private refusal(
    {list, rate}: WaitingPool,
    reason: RefusalReason,
    nowMs: number,
  ): WaitEnd {
    const perSecond = rate.perSecond(nowMs);
    if (perSecond === undefined) return {type: 'refused', reason};
    const expectedMs = ((list.size + 1) * 1_000) / perSecond;
    return {type: 'refused', reason, expectedMs};
  }

  /** Lets the requests of a pool go on or end, until none waits any more. */
  private async run(pool: WaitingPool): Promise<void> {
    const {signal} = this.stopped;
    try {
      while (pool.list.size > 0 && !signal.aborted) {
        const pauseMs = this.pauseMs(pool);
        pool.wakesAtMs = this.nowMs() + pauseMs;
        await pool.pause.wait(pauseMs, signal);
        const nowMs = this.nowMs();
        this.expire(pool, nowMs);
        this.release(pool, nowMs);
      }
    } finally {
      pool.wakesAtMs = undefined;
      this.expire(pool, Number.POSITIVE_INFINITY);
    }
  }

  private expire(pool: WaitingPool, nowMs: number): void {
    for (const waiter of pool.list.expire(nowMs)) {
      waiter.end(this.refusal(pool, 'expired', this.nowMs()));
    }
  }

  /** Lets one request go on for each endpoint that may have room. */
  private release(pool: WaitingPool, nowMs: number): void {
    const free = endpointNotices.willingEndpoints(
      this.kernel,
      pool.name,
      pool.version,
    );
    for (let count = 0; count < free.length; count++) {
      if (!this.releaseNext(pool, nowMs)) return;
    }
  }

  /** Time until the next request ends or an endpoint may be asked, in ms. */
  private pauseMs(pool: WaitingPool): number {
    const nowMs = this.nowMs();
    const {name, version, list} = pool;
    const free = endpointNotices.willingEndpoints(this.kernel, name, version);
    const roomInMs =
      free.length > 0
        ? MIN_PAUSE_MS
        : (endpointNotices.holdOffMs(this.kernel, name, version) ??
          MAX_PAUSE_MS);
    const endsInMs = (list.earliestUntilMs() ?? nowMs) - nowMs;
    const pauseMs = Math.min(MAX_PAUSE_MS, roomInMs, endsInMs);
    return Math.max(MIN_PAUSE_MS, pauseMs);
  }

  private wakeAll(): void {
    for (const pool of this.pools.values()) {
      if (pool.list.size > 0) pool.pause.wake();
    }
  }

  private poolOf(name: string, version: string | undefined): WaitingPool {
    const key = keyOf(name, version);
    let pool = this.pools.get(key);
    if (pool) return pool;
    pool = {
      name,
      version,
      list: this.options.createList<Waiter>(),
      rate: this.options.createRate(),
      pause: new wakeablePause.WakeablePause(this.kernel.find(core.CLOCK)),
      wakesAtMs: undefined,
    };
    this.pools.set(key, pool);
    return pool;
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function keyOf(pool: string, version?: string): string {
  return JSON.stringify([pool, version]);
}

function draftOf(
  {request, span}: WaitRequest,
  nowMs: number,
): decide.WaitingRequest {
  return {
    customer: request.customer ?? '',
    priority: request.priority,
    bytes: REQUEST_BYTES + request.body.length,
    sinceMs: span?.sinceMs ?? nowMs,
    goalMs: request.arrivedMs + request.route.goalMs,
    untilMs: request.deadlineMs,
  };
}
