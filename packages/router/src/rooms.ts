/**
 * Rooms: room at the endpoints of a pool. A request reserves a place at an
 * endpoint, or waits in the pool's fair queue until one is free or its time is
 * up. Only the owner of an endpoint reserves a place there; for the endpoints
 * of others it makes an estimate, and their owner decides.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as peers from './peers.js';
import * as pools from './pools.js';
import * as suspects from './suspects.js';
import * as trails from './trails.js';

/** How long an endpoint that refused for want of room is passed by. */
const FULL_MS = 100;
const MIN_RETRY_AFTER_MS = 50;
/** Endpoints that a trail shows of those that a choice looked at. */
const MAX_SHOWN = 6;

/** A place at an endpoint, or the router to ask for one. */
export type Grant =
  | {readonly type: 'local'; readonly choice: decide.Choice}
  | {
      readonly type: 'remote';
      readonly choice: decide.Choice;
      readonly owner: string;
    };

/** A wish for a place. */
export interface Wish {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time until which the request may wait. */
  readonly deadlineMs: number;
  readonly gone: AbortSignal;
}

/** Places at endpoints. */
export interface Rooms {
  /** Waits for a place; fails as not run. Give local places back. */
  reserve(wish: Wish): Promise<core.Result<Grant>>;
  /** Reserves a place at one owned endpoint at once, or fails. */
  reserveAt(wish: Wish, endpoint: string): core.Result<Grant>;
  /** Gives a local place back. */
  release(endpoint: string): void;
  /** Notes that another router's endpoint had no room. */
  noteFull(endpoint: string): void;
  /** Notes fresh counts of another router's endpoint. */
  noteCounts(endpoint: string): void;
  /** Looks again at all queues. */
  wake(): void;
  queued(): number;
}

/** The contract under which the rooms are registered. */
export const ROOMS = core.contract<Rooms>('rooms', [
  'reserve',
  'reserveAt',
  'release',
  'wake',
]);

/** The contract under which the admission is registered. */
export const ADMISSION = core.contract<decide.Admission>('admission', [
  'bound',
  'admits',
]);

interface Waiter {
  readonly wish: Wish;
  resolve(result: core.Result<Grant>): void;
}

/** Makes the queue of one pool. */
export type QueueFactory = (pool: core.Pool) => decide.RequestQueue<Waiter>;

interface Hall {
  pool: core.Pool;
  readonly queue: decide.RequestQueue<Waiter>;
}

/** Rooms with one queue for each pool. */
export class QueuedRooms implements Rooms {
  private readonly halls = new Map<string, Hall>();
  private readonly fullUntilMs = new Map<string, number>();
  private readonly sent = new Map<string, number>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly createQueue: QueueFactory,
  ) {}

  async reserve(wish: Wish): Promise<core.Result<Grant>> {
    const hall = this.hall(wish.pool);
    const priority = priorityOf(wish.route);
    const head = hall.queue.peek(this.nowMs());
    if (!head || head.priority > priority) {
      const grant = this.choose(wish);
      if (grant) return core.succeed(grant);
    }
    if (this.isEmpty(wish)) {
      return core.fail('pool_empty', `pool ${wish.pool.name} has no endpoint`);
    }
    if (wish.deadlineMs <= this.nowMs()) return this.noRoom(wish);
    return this.wait(hall, wish, priority);
  }

  reserveAt(wish: Wish, endpoint: string): core.Result<Grant> {
    const view = this.kernel.find(pools.POOLS).view(wish.pool);
    const choice = {endpoint, reason: 'next'} as const;
    if (!view.candidates.some(item => item.name === endpoint)) {
      return core.fail('saturated', `${endpoint} takes no work`);
    }
    const grant = this.tryLocal(wish, choice, view);
    return grant ? core.succeed(grant) : this.noRoom(wish);
  }

  release(endpoint: string): void {
    this.kernel.find(pools.LOADS).ended(endpoint);
    this.kernel.find(peers.PEERS).announce('load');
    this.wake();
  }

  noteFull(endpoint: string): void {
    this.fullUntilMs.set(endpoint, this.nowMs() + FULL_MS);
  }

  noteCounts(endpoint: string): void {
    this.sent.delete(endpoint);
    this.fullUntilMs.delete(endpoint);
  }

  wake(): void {
    for (const hall of this.halls.values()) this.pump(hall);
  }

  queued(): number {
    let sum = 0;
    for (const hall of this.halls.values()) sum += hall.queue.size;
    return sum;
  }

  private async wait(
    hall: Hall,
    wish: Wish,
    priority: number,
  ): Promise<core.Result<Grant>> {
    let settle: (result: core.Result<Grant>) => void = () => undefined;
    const granted = new Promise<core.Result<Grant>>(done => (settle = done));
    const item: decide.Waiting<Waiter> = {
      customer: wish.request.customer,
      priority,
      deadlineMs: wish.deadlineMs,
      value: {wish, resolve: result => settle(result)},
    };
    const offer = hall.queue.offer(item);
    if (offer.type === 'refused') return this.queueFull(wish);
    if (offer.type === 'displaced') {
      const {value} = offer.loser;
      value.resolve(this.queueFull(value.wish));
    }
    const timer = setTimeout(
      () => settle(this.timedOut(wish)),
      wish.deadlineMs - this.nowMs(),
    );
    const leave = () => settle(core.fail('caller_gone', 'the caller left'));
    wish.gone.addEventListener('abort', leave, {once: true});
    this.noteQueued(hall, wish);
    const sinceMs = this.nowMs();
    const result = await granted;
    const waitMs = this.nowMs() - sinceMs;
    this.kernel.find(meters.METERS).waited(hall.pool.name, waitMs);
    clearTimeout(timer);
    wish.gone.removeEventListener('abort', leave);
    hall.queue.remove(item);
    return result;
  }

  private pump(hall: Hall): void {
    for (;;) {
      const head = hall.queue.peek(this.nowMs());
      if (!head) return;
      const grant = this.choose(head.value.wish);
      if (!grant) return;
      hall.queue.remove(head);
      head.value.resolve(core.succeed(grant));
    }
  }

  /** The first endpoint in the request's order that has room. */
  private choose(wish: Wish): Grant | undefined {
    const source = this.kernel.find(pools.POOLS);
    const view = source.view(wish.pool);
    const tried: decide.Choice[] = [];
    for (const choice of source.order(wish.request, view, wish.excluded)) {
      tried.push(choice);
      const grant = this.tryChoice(wish, choice, view);
      if (!grant) continue;
      this.noteChoice(wish, tried, view);
      return grant;
    }
    return undefined;
  }

  /** Notes the endpoints looked at, the last one taken, with their load. */
  private noteChoice(
    wish: Wish,
    tried: readonly decide.Choice[],
    view: pools.PoolView,
  ): void {
    const bound = this.kernel.find(ADMISSION).bound(view.load);
    const shown = tried.slice(-MAX_SHOWN).map(({endpoint, reason}) => {
      const known = view.candidates.find(item => item.name === endpoint);
      return `${endpoint} (${reason}, ${known?.inFlight ?? 0} in flight)`;
    });
    const skipped = tried.length - shown.length;
    const rest = skipped > 0 ? `${skipped} without room, ` : '';
    const rows = `route ${wish.route.name}, pool ${wish.pool.name}`;
    const detail = `${rows}: ${rest}${shown.join(', ')}; bound ${bound}, ${view.candidates.length} usable`;
    const taken = tried.at(-1)?.endpoint;
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(wish.request.id, 'considered', detail, taken);
  }

  private noteQueued(hall: Hall, wish: Wish): void {
    const {name} = hall.pool;
    const detail = `no room in pool ${name}; ${hall.queue.size} wait here`;
    this.kernel.find(trails.TRAILS).note(wish.request.id, 'queued', detail);
  }

  private tryChoice(
    wish: Wish,
    choice: decide.Choice,
    view: pools.PoolView,
  ): Grant | undefined {
    const known = this.kernel.find(fleet.FLEET);
    const [owner] = known.owners(choice.endpoint);
    if (owner === undefined) return undefined;
    if (owner === known.self()) return this.tryLocal(wish, choice, view);
    if (wish.request.hops >= 2) return undefined;
    return this.tryRemote(choice, owner, view);
  }

  private tryLocal(
    wish: Wish,
    choice: decide.Choice,
    view: pools.PoolView,
  ): Grant | undefined {
    const {endpoint} = choice;
    const book = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.sign(wish.request, wish.route);
    const verdict = book.check(signature, endpoint, this.nowMs());
    if (verdict !== 'free') return undefined;
    const loads = this.kernel.find(pools.LOADS);
    const inFlight = loads.inFlight(endpoint, this.nowMs());
    const admission = this.kernel.find(ADMISSION);
    if (!admission.admits(inFlight, view.load)) return undefined;
    loads.began(endpoint);
    this.kernel.find(peers.PEERS).announce('load');
    return {type: 'local', choice};
  }

  private tryRemote(
    choice: decide.Choice,
    owner: string,
    view: pools.PoolView,
  ): Grant | undefined {
    const {endpoint} = choice;
    if ((this.fullUntilMs.get(endpoint) ?? 0) > this.nowMs()) return undefined;
    const known = view.candidates.find(item => item.name === endpoint);
    const sent = this.sent.get(endpoint) ?? 0;
    const estimate = (known?.inFlight ?? 0) + sent;
    if (!this.kernel.find(ADMISSION).admits(estimate, view.load)) {
      return undefined;
    }
    this.sent.set(endpoint, sent + 1);
    return {type: 'remote', choice, owner};
  }

  private hall(pool: core.Pool): Hall {
    let hall = this.halls.get(pool.name);
    if (!hall) {
      hall = {pool, queue: this.createQueue(pool)};
      this.halls.set(pool.name, hall);
    }
    hall.pool = pool;
    return hall;
  }

  private isEmpty(wish: Wish): boolean {
    const view = this.kernel.find(pools.POOLS).view(wish.pool);
    return view.candidates.length === 0;
  }

  private noRoom(wish: Wish) {
    const detail = `no endpoint of pool ${wish.pool.name} has room`;
    return core.fail('saturated', detail, this.retryAfterMs(wish));
  }

  private queueFull(wish: Wish) {
    const detail = `the queue of pool ${wish.pool.name} is full`;
    return core.fail('queue_full', detail, this.retryAfterMs(wish));
  }

  private timedOut(wish: Wish) {
    const detail = `waited ${wish.route.wait_ms} ms for pool ${wish.pool.name}`;
    return core.fail('wait_timeout', detail, this.retryAfterMs(wish));
  }

  private retryAfterMs(wish: Wish): number {
    return Math.max(MIN_RETRY_AFTER_MS, wish.route.wait_ms);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

/** The route's priority as a number, 0 the most urgent. */
export function priorityOf(route: core.Route): number {
  return core.PRIORITIES.indexOf(route.priority);
}
