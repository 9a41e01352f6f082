/**
 * The state that a router serves to others that cannot read the store: the
 * tables, the endpoints' records with their offsets, and the routers.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointRecords from './endpointrecords.js';
import * as fleetRegistry from './fleetregistry.js';
import * as model from './model.js';
import * as activeTables from './activetables.js';

/** Schema of the state on the wire. */
export const stateSchema = v.object({
  tables: v.optional(model.tablesSchema),
  endpoints: v.array(
    v.object({
      key: v.string(),
      offset: v.number(),
      value: v.optional(model.endpointSchema),
    }),
  ),
  endpointsOffset: v.number(),
  routers: v.array(model.routerSchema),
});

/** The tables, endpoint records and routers held by a router. */
export type RouterState = v.InferOutput<typeof stateSchema>;

/** Collects this router's state. */
export function collect(kernel: core.Kernel): RouterState {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  const fleet = kernel.find(fleetRegistry.FLEET_REGISTRY);
  const liveRouters = fleet.livePeers(nowMs).map(({router}) => router);
  return {
    tables: kernel.find(activeTables.ACTIVE_TABLES).current(),
    endpoints: endpoints.allRecords().map(record => ({...record})),
    endpointsOffset: endpoints.nextOffset(),
    routers: [fleet.self(), ...liveRouters],
  };
}

/**
 * Merges another router's state into this one's; older records have no effect.
 */
export function merge(
  kernel: core.Kernel,
  state: RouterState,
  source: string,
): void {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const {tables, routers, endpointsOffset} = state;
  if (tables) kernel.find(activeTables.ACTIVE_TABLES).activate(tables, source);
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  for (const {key, offset, value} of state.endpoints) {
    endpointRecords.applyRecord(kernel, {key, offset, value}, 'router');
  }
  endpoints.advanceTo(endpointsOffset);
  const fleet = kernel.find(fleetRegistry.FLEET_REGISTRY);
  for (const router of routers) fleet.addListed(router, nowMs);
}
