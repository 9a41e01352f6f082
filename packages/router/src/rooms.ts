/**
 * Rooms: where requests wait for a place. A chat that is remembered first
 * waits a little for the endpoint that holds its context; then it waits, as
 * all others do, in the pool's fair line for any endpoint until its time is
 * up.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as line from './line.js';
import * as meters from './meters.js';
import * as places from './places.js';
import type * as settings from './settings.js';
import * as trails from './trails.js';

const MIN_RETRY_AFTER_MS = 50;

/** Rooms of all pools. */
export interface Rooms {
  /** Waits for a place; fails as not run. Give local places back. */
  reserve(wish: places.Wish): Promise<core.Result<places.Grant>>;
  /** Reserves a place at one owned endpoint at once, or fails. */
  reserveAt(wish: places.Wish, endpoint: string): core.Result<places.Grant>;
  /** Gives a local place back. */
  release(endpoint: string): void;
  /** Notes that another router's endpoint had no room. */
  noteFull(endpoint: string): void;
  /** Looks again at all lines. */
  wake(): void;
  /** Requests that wait at this router. */
  queued(): number;
}

/** The contract under which the rooms are registered. */
export const ROOMS = core.contract<Rooms>('rooms', [
  'reserve',
  'reserveAt',
  'release',
  'wake',
]);

/** Makes the queue of one line. */
export type QueueFactory = (
  pool: core.Pool,
) => decide.RequestQueue<line.LineEntry<places.Grant>>;

/** The lines of one pool. */
interface Room {
  /** For any endpoint. */
  readonly any: line.Line<places.Grant>;
  /** For one endpoint, by its name. */
  readonly own: Map<string, line.Line<places.Grant>>;
}

/** Rooms with one line for each pool and one for each endpoint of it. */
export class QueuedRooms implements Rooms {
  private readonly rooms = new Map<string, Room>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
    private readonly createQueue: QueueFactory,
  ) {}

  async reserve(wish: places.Wish): Promise<core.Result<places.Grant>> {
    const {choices} = this.places.order(wish);
    const [first] = choices;
    if (!first) {
      return core.fail('pool_empty', `pool ${wish.pool.name} has no endpoint`);
    }
    const room = this.room(wish.pool);
    const kept = await this.awaitContext(wish, room, first);
    if (kept) return kept;
    if (!room.any.isAhead(priorityOf(wish.route))) {
      const grant = this.places.choose(wish);
      if (grant) return core.succeed(grant);
    }
    if (wish.deadlineMs <= this.nowMs()) return this.noRoom(wish);
    const choose = () => this.places.choose(wish);
    const wait = this.toWait(wish, wish.deadlineMs, choose);
    return this.toResult(wish, await this.wait(wish, room.any, wait));
  }

  reserveAt(wish: places.Wish, endpoint: string): core.Result<places.Grant> {
    const grant = this.places.chooseAt(wish, endpoint);
    return grant ? core.succeed(grant) : this.noRoom(wish);
  }

  release(endpoint: string): void {
    this.places.release(endpoint);
    this.wake();
  }

  noteFull(endpoint: string): void {
    this.places.noteFull(endpoint);
    setTimeout(() => this.wake(), places.FULL_MS).unref();
  }

  wake(): void {
    for (const {any, own} of this.rooms.values()) {
      for (const one of own.values()) one.pump();
      any.pump();
    }
  }

  queued(): number {
    let sum = 0;
    for (const {any, own} of this.rooms.values()) {
      sum += any.size;
      for (const one of own.values()) sum += one.size;
    }
    return sum;
  }

  /** Waits for the endpoint with the chat's context; undefined: it is full. */
  private async awaitContext(
    wish: places.Wish,
    room: Room,
    first: decide.Choice,
  ): Promise<core.Result<places.Grant> | undefined> {
    if (first.reason !== 'memory') return undefined;
    const {endpoint} = first;
    const choose = () => this.places.chooseAt(wish, endpoint);
    const own = this.line(room, wish.pool, endpoint);
    if (!own.isAhead(priorityOf(wish.route))) {
      const grant = choose();
      if (grant) return core.succeed(grant);
    }
    const patienceMs = this.nowMs() + this.own.contextWaitMs;
    const untilMs = Math.min(wish.deadlineMs, patienceMs);
    if (untilMs <= this.nowMs()) return undefined;
    const wait = this.toWait(wish, untilMs, choose);
    const result = await this.wait(wish, own, wait);
    if (result.type === 'expired' || result.type === 'refused') {
      return undefined;
    }
    return this.toResult(wish, result);
  }

  /** Waits in a line, noted in the trail and metered. */
  private async wait(
    wish: places.Wish,
    own: line.Line<places.Grant>,
    wait: line.LineWait<places.Grant>,
  ): Promise<line.LineResult<places.Grant>> {
    const {name} = wish.pool;
    const detail = `no room in pool ${name}; ${own.size} wait here`;
    this.kernel.find(trails.TRAILS).note(wish.request.id, 'queued', detail);
    const sinceMs = this.nowMs();
    const result = await own.wait(wait);
    this.kernel.find(meters.METERS).waited(name, this.nowMs() - sinceMs);
    return result;
  }

  private toWait(
    wish: places.Wish,
    untilMs: number,
    choose: () => places.Grant | undefined,
  ): line.LineWait<places.Grant> {
    return {
      customer: wish.request.customer,
      priority: priorityOf(wish.route),
      untilMs,
      gone: wish.gone,
      choose,
    };
  }

  private toResult(
    wish: places.Wish,
    result: line.LineResult<places.Grant>,
  ): core.Result<places.Grant> {
    const {pool, route} = wish;
    switch (result.type) {
      case 'granted':
        return core.succeed(result.grant);
      case 'gone':
        return this.refuse(wish, 'wait_timeout', 'the caller left');
      case 'refused':
        return this.refuse(wish, 'queue_full', `the line of ${pool.name}`);
      case 'expired':
        return this.refuse(wish, 'wait_timeout', `waited ${route.wait_ms} ms`);
    }
  }

  private noRoom(wish: places.Wish) {
    return this.refuse(wish, 'saturated', 'no endpoint has room');
  }

  private refuse(wish: places.Wish, kind: core.Kind, detail: string) {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, wish.route.wait_ms);
    return core.fail(kind, `pool ${wish.pool.name}: ${detail}`, retryAfterMs);
  }

  private room(pool: core.Pool): Room {
    let room = this.rooms.get(pool.name);
    if (!room) {
      room = {any: this.createLine(pool), own: new Map()};
      this.rooms.set(pool.name, room);
    }
    return room;
  }

  private line(
    room: Room,
    pool: core.Pool,
    endpoint: string,
  ): line.Line<places.Grant> {
    let found = room.own.get(endpoint);
    if (!found) {
      found = this.createLine(pool);
      room.own.set(endpoint, found);
    }
    return found;
  }

  private createLine(pool: core.Pool): line.Line<places.Grant> {
    const clock = this.kernel.find(core.CLOCK);
    return new line.Line(this.createQueue(pool), clock);
  }

  private get places(): places.Places {
    return this.kernel.find(places.PLACES);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

/** The route's priority as a number, 0 the most urgent. */
export function priorityOf(route: core.Route): number {
  return core.PRIORITIES.indexOf(route.priority);
}
