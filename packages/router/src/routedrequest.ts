/** Requests after route matching, and their conversion to slot requests. */
import type * as core from '@oleanderrock/core';
import type * as exchange from './exchange.js';
import type * as endpointSlots from './endpointslots.js';

/** A request with its route, the route's pool, and where its answer goes. */
export interface RoutedRequest {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly answer: exchange.Answer;
}

/** Options of a slot request. */
export interface SlotRequestOptions {
  /** Monotonic time until which the request may wait. */
  readonly deadlineMs: number;
  readonly excludedEndpoints?: ReadonlySet<string>;
}

/** Creates the slot request of a routed request. */
export function toSlotRequest(
  routedRequest: RoutedRequest,
  options: SlotRequestOptions,
): endpointSlots.SlotRequest {
  const {request, route, pool, answer} = routedRequest;
  const {deadlineMs, excludedEndpoints = new Set()} = options;
  return {
    request,
    route,
    pool,
    excludedEndpoints,
    deadlineMs,
    callerGone: answer.callerGone,
  };
}
