/**
 * The state that one router hands to another that cannot read the store:
 * tables, endpoints with the offsets of their records, and the routers.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as endpointBook from './endpointbook.js';
import * as endpointIntake from './endpointintake.js';
import * as fleetBook from './fleetbook.js';
import * as model from './model.js';
import * as tablesBook from './tablesbook.js';

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

/** What a router knows. */
export type State = v.InferOutput<typeof stateSchema>;

/** Collects what this router knows. */
export function collect(kernel: core.Kernel): State {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const endpoints = kernel.find(endpointBook.ENDPOINT_BOOK);
  const fleet = kernel.find(fleetBook.FLEET_BOOK);
  const live = fleet.live(nowMs).map(({router}) => router);
  return {
    tables: kernel.find(tablesBook.TABLES_BOOK).current(),
    endpoints: endpoints.items().map(item => ({...item})),
    endpointsOffset: endpoints.nextOffset(),
    routers: [fleet.self(), ...live],
  };
}

/** Takes in what another router knows; older records change nothing. */
export function absorb(
  kernel: core.Kernel,
  state: State,
  source: string,
): void {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const {tables, routers, endpointsOffset} = state;
  if (tables) kernel.find(tablesBook.TABLES_BOOK).take(tables, source);
  const endpoints = kernel.find(endpointBook.ENDPOINT_BOOK);
  for (const {key, offset, value} of state.endpoints) {
    endpointIntake.takeRecord(kernel, {key, offset, value}, 'router');
  }
  endpoints.reached(endpointsOffset);
  const fleet = kernel.find(fleetBook.FLEET_BOOK);
  for (const router of routers) fleet.list(router, nowMs);
}
