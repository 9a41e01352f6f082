/**
 * The state that a router serves to others: the tables, as patches if the other
 * router has a recent version, the endpoints' records with their offsets, and
 * the members of the fleet.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as activeTables from './activetables.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointRecords from './endpointrecords.js';
import * as fleetRegistry from './fleetregistry.js';
import * as model from './model.js';
import * as tablesPatch from './tablespatch.js';

/** Path at which routers serve their state. */
export const STATE_PATH = '/state';

/** Query parameter with the version of the tables that the other router has. */
const VERSION_PARAMETER = 'have';

const memberSchema = v.object({
  router: model.routerSchema,
  epoch: v.number(),
  phase: v.picklist(['starting', 'ready', 'leaving', 'down']),
  isStoreLost: v.boolean(),
});

const crashSchema = v.object({
  crash: v.number(),
  reporter: v.number(),
  ageMs: v.number(),
  keys: v.pipe(v.array(v.string()), v.maxLength(decide.MAX_NOTE_KEYS)),
});

/** Schema of the state on the wire. */
export const stateSchema = v.object({
  tables: v.optional(model.tablesSchema),
  patches: v.optional(v.array(tablesPatch.tablesPatchSchema)),
  endpoints: v.array(
    v.object({
      key: v.string(),
      offset: v.number(),
      value: v.optional(model.endpointSchema),
    }),
  ),
  endpointsOffset: v.number(),
  members: v.array(memberSchema),
  /** Crashes under condemned keys. */
  crashes: v.optional(v.array(crashSchema), []),
});

/** The tables, endpoint records and members known to a router. */
export type RouterState = v.InferOutput<typeof stateSchema>;

/** URL of the state for a router that has the version of the tables. */
export function stateUrl(version: number): string {
  return `${STATE_PATH}?${VERSION_PARAMETER}=${version}`;
}

/**
 * The version in a URL of the state; undefined if the URL is for something
 * else.
 */
export function readStateUrl(url: string): number | undefined {
  const [path, query] = url.split('?');
  if (path !== STATE_PATH) return undefined;
  const version = Number(new URLSearchParams(query).get(VERSION_PARAMETER));
  return Number.isFinite(version) ? version : activeTables.NO_VERSION;
}

/** Collects this router's state for a router that has the version. */
export function collect(kernel: core.Kernel, version: number): RouterState {
  const tables = kernel.find(activeTables.ACTIVE_TABLES);
  const patches = tables.patchesSince(version);
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  const membership = kernel.find(decisions.MEMBERSHIP);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const others = [...membership.live(), ...membership.down(nowMs)];
  return {
    ...(patches ? {patches: [...patches]} : {tables: tables.current()}),
    endpoints: endpoints.allRecords().map(record => ({...record})),
    endpointsOffset: endpoints.nextOffset(),
    members: [membership.self(), ...others].map(note => ({...note})),
    crashes: kernel
      .find(decisions.CRASH_TRACKER)
      .condemnations(nowMs)
      .map(({crash, reporter, atMs, keys}) => {
        return {crash, reporter, ageMs: nowMs - atMs, keys: [...keys]};
      }),
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
  const {tables, patches = [], members, endpointsOffset} = state;
  const tablesInForce = kernel.find(activeTables.ACTIVE_TABLES);
  if (tables) tablesInForce.activate(tables, source);
  else tablesInForce.applyPatches(patches, source);
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  for (const {key, offset, value} of state.endpoints) {
    endpointRecords.applyRecord(kernel, {key, offset, value}, 'router');
  }
  endpoints.advanceTo(endpointsOffset);
  const fleet = kernel.find(fleetRegistry.FLEET_REGISTRY);
  for (const note of members) fleet.applyNote(note, nowMs);
  const tracker = kernel.find(decisions.CRASH_TRACKER);
  for (const {ageMs, ...note} of state.crashes) {
    tracker.applyCrash({...note, atMs: nowMs - ageMs}, nowMs);
  }
}
