/**
 * Applies the notices in endpoints' responses: reads them from response heads,
 * and selects the endpoints that accept requests. Only this router's own
 * responses count, so that no error of another router can empty a pool here.
 */
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import type * as model from './model.js';
import type * as wireProtocol from './wireprotocol.js';

/**
 * Key of one lifetime of the endpoint. An endpoint may start again under the
 * same id, and a removed record may return for the same lifetime.
 */
export function lifetimeOf({id, bornMs}: model.Endpoint): string {
  return `${id} ${bornMs ?? ''}`;
}

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
  if (isForeign || head.isMisdirected || !head.isLeaving) return;
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  if (!notices.recordLeaving(lifetimeOf(endpoint))) return;
  const {id, pool} = endpoint;
  kernel.find(core.LOGGER).info('endpoint_leaving', {endpoint: id, pool});
}

/** Whether the endpoint accepts requests of this router. */
export function isWilling(
  kernel: core.Kernel,
  endpoint: model.Endpoint,
): boolean {
  const notices = kernel.find(decisions.ENDPOINT_NOTICES);
  return notices.isWilling(lifetimeOf(endpoint));
}

/** The endpoints of the pool that accept requests of this router. */
export function willingEndpoints(
  kernel: core.Kernel,
  pool: string,
): readonly model.Endpoint[] {
  return kernel
    .find(endpointRegistry.ENDPOINT_REGISTRY)
    .readyEndpoints(pool)
    .filter(endpoint => isWilling(kernel, endpoint));
}
