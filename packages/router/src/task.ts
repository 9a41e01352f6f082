/** A request with the rows of the tables that it matched. */
import type * as core from '@oleanderrock/core';
import type * as exchange from './exchange.js';
import type * as places from './places.js';

/** A request with the rows that it matched, and where its answer goes. */
export interface Task {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly answer: exchange.Answer;
}

/** Options of a wish. */
export interface WishOptions {
  /** Monotonic time until which the request may wait. */
  readonly deadlineMs: number;
  readonly excluded?: ReadonlySet<string>;
}

/** The task's wish for a place. */
export function wish(task: Task, options: WishOptions): places.Wish {
  const {request, route, pool, answer} = task;
  const {deadlineMs, excluded = new Set()} = options;
  return {request, route, pool, excluded, deadlineMs, gone: answer.gone};
}
