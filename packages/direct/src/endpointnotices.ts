/**
 * Applies the notices in endpoints' responses: reads them from response heads,
 * and selects the endpoints that accept requests, evacuated ones left out. Whether an endpoint leaves or
 * wants no requests for a time is told by this router's own responses only, so
 * that no error of another router can empty a pool here; a limit, which leaves
 * some requests, is also told by other routers.
 */
import * as core from '@oleanderrock/core';
import * as coldStarts from './coldstarts.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as evacuatedZones from './evacuatedzones.js';
import * as model from './model.js';
import type * as wireProtocol from './wireprotocol.js';

/** Records the notices in the head of a response to the request. */
export function recordNotices(
  kernel: core.Kernel,
  endpoint: model.Endpoint,
  requestId: string,
  head: wireProtocol.EndpointResponseHead,
): void {
  // The head may belong to another request, or come from another endpoint.
  const isForeign =
    head.requestId === undefined
      ? !head.isNotRun
      : head.requestId !== requestId;
  if (isForeign || head.isMisdirected) return;
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  const log = kernel.find(core.LOGGER);
  const {id, pool} = endpoint;
  if (head.isLeaving && notices.recordLeaving(endpoint)) {
    log.info('endpoint_leaving', {endpoint: id, pool});
  }
  recordLimit(kernel, endpoint, head);
  if (head.coldMs !== undefined) {
    const starts = kernel.find(coldStarts.COLD_STARTS);
    starts.recordStatement(endpoint, head.coldMs);
  }
  if (head.holdOffMs === undefined) return;
  const nowMs = kernel.find(core.CLOCK).nowMs();
  if (notices.recordHoldOff(endpoint, nowMs + head.holdOffMs, nowMs)) {
    const fields = {endpoint: id, pool, for_ms: Math.round(head.holdOffMs)};
    log.info('endpoint_hold_off', fields);
  }
}

/** A refusal without a limit does not end one, since it may come from a queue. */
function recordLimit(
  kernel: core.Kernel,
  {id, pool, bornMs}: model.Endpoint,
  {namedLimit, isNotRun}: wireProtocol.EndpointResponseHead,
): void {
  if (namedLimit.type === 'unreadable') return;
  if (namedLimit.type === 'none' && isNotRun) return;
  const limits = kernel.find(decisions.ENDPOINT_LIMITS);
  const previousPerSecond = limits.limitOf({id, bornMs});
  const perSecond =
    namedLimit.type === 'limit' ? namedLimit.perSecond : undefined;
  const observedAtMs = kernel.find(core.CLOCK).nowMs();
  limits.recordResponse({id, bornMs, perSecond, observedAtMs});
  if (perSecond === previousPerSecond) return;
  kernel.find(core.LOGGER).info('endpoint_limit', {
    endpoint: id,
    pool,
    per_second: perSecond ?? 'none',
    was: previousPerSecond ?? 'none',
  });
}

/** Whether the endpoint accepts requests of this router. */
export function isWilling(
  kernel: core.Kernel,
  endpoint: model.Endpoint,
): boolean {
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const zones = kernel.find(evacuatedZones.EVACUATED_ZONES);
  return (
    !zones.isEvacuated(endpoint.zone) && notices.isWilling(endpoint, nowMs)
  );
}

/**
 * The endpoints of the pool that accept requests of this router, and have room
 * as far as is known; with a version, those of it.
 */
export function willingEndpoints(
  kernel: core.Kernel,
  pool: string,
  version?: string,
): readonly model.Endpoint[] {
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  const room = kernel.find(decisions.ENDPOINT_ROOM);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  return openEndpoints(kernel, pool, version).filter(
    endpoint =>
      notices.isWilling(endpoint, nowMs) && !room.isFull(endpoint.id, nowMs),
  );
}

/**
 * The endpoints of the pool whose failure domain is not evacuated; with a
 * version, those of it.
 */
export function openEndpoints(
  kernel: core.Kernel,
  pool: string,
  version?: string,
): readonly model.Endpoint[] {
  const zones = kernel.find(evacuatedZones.EVACUATED_ZONES);
  const all = kernel
    .find(endpointRegistry.ENDPOINT_REGISTRY)
    .readyEndpoints(pool);
  const endpoints =
    version === undefined
      ? all
      : all.filter(endpoint => model.versionOf(endpoint) === version);
  if (!zones.areAny()) return endpoints;
  return endpoints.filter(({zone}) => !zones.isEvacuated(zone));
}

/** Whether evacuations leave the pool without an endpoint. */
export function isEvacuated(kernel: core.Kernel, pool: string): boolean {
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  return (
    endpoints.readyEndpoints(pool).length > 0 &&
    openEndpoints(kernel, pool).length === 0
  );
}

/**
 * Time until the first endpoint of the pool accepts requests of this router, in
 * ms; undefined if one does already, or none will. With a version, of those of it.
 */
export function holdOffMs(
  kernel: core.Kernel,
  pool: string,
  version?: string,
): number | undefined {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  const room = kernel.find(decisions.ENDPOINT_ROOM);
  const earliestMs = openEndpoints(kernel, pool, version)
    .map(endpoint => {
      const willingMs = notices.earliestWillingMs([endpoint], nowMs);
      const roomMs = room.earliestRoomMs([endpoint.id], nowMs) ?? nowMs;
      return Math.max(willingMs ?? Number.POSITIVE_INFINITY, roomMs);
    })
    .reduce((a, b) => Math.min(a, b), Number.POSITIVE_INFINITY);
  if (earliestMs === Number.POSITIVE_INFINITY) return undefined;
  return earliestMs <= nowMs ? undefined : Math.ceil(earliestMs - nowMs);
}
