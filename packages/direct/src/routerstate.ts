/**
 * The state that a router serves to others, beside the tables: the endpoints'
 * records with their offsets, and the members of the fleet.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointRecords from './endpointrecords.js';
import * as evacuatedZones from './evacuatedzones.js';
import * as fleetRegistry from './fleetregistry.js';
import * as model from './model.js';

/** Path at which routers serve their state. */
export const STATE_PATH = '/state';

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

const limitSchema = v.object({
  id: v.string(),
  bornMs: v.optional(v.number()),
  perSecond: v.optional(v.pipe(v.number(), v.minValue(0))),
  ageMs: v.number(),
});

const evacuationSchema = v.object({
  zone: v.string(),
  offset: v.number(),
  isEvacuated: v.boolean(),
});

const coldSchema = v.object({
  id: v.string(),
  bornMs: v.optional(v.number()),
  leftMs: v.number(),
});

/** Schema of the state on the wire. */
export const stateSchema = v.object({
  endpoints: core.validItems(
    v.object({
      key: v.string(),
      offset: v.number(),
      value: v.optional(model.endpointSchema),
    }),
  ),
  endpointsOffset: v.number(),
  members: core.validItems(memberSchema),
  /** Crashes under condemned keys. */
  crashes: v.optional(core.validItems(crashSchema), []),
  /** Limits that endpoints named. */
  limits: v.optional(core.validItems(limitSchema), []),
  /** Evacuations of failure domains, withdrawn ones included. */
  evacuations: v.optional(core.validItems(evacuationSchema), []),
  /** Cold endpoints. */
  cold: v.optional(core.validItems(coldSchema), []),
});

/** The endpoint records and members known to a router. */
export type RouterState = v.InferOutput<typeof stateSchema>;

/** Collects this router's state. */
export function collect(kernel: core.Kernel): RouterState {
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  const membership = kernel.find(decisions.MEMBERSHIP);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const others = [...membership.live(), ...membership.down(nowMs)];
  return {
    endpoints: endpoints.allRecords().map(withoutWarmup),
    endpointsOffset: endpoints.nextOffset(),
    members: [membership.self(), ...others].map(note => ({...note})),
    crashes: kernel
      .find(decisions.CRASH_TRACKER)
      .condemnations(nowMs)
      .map(({crash, reporter, atMs, keys}) => {
        return {crash, reporter, ageMs: nowMs - atMs, keys: [...keys]};
      }),
    limits: kernel
      .find(decisions.ENDPOINT_LIMITS)
      .all()
      .filter(({id}) => endpoints.find(id) !== undefined)
      .map(({observedAtMs, ...note}) => {
        return {...note, ageMs: nowMs - observedAtMs};
      }),
    evacuations: kernel
      .find(evacuatedZones.EVACUATED_ZONES)
      .records()
      .map(record => ({...record})),
    cold: kernel
      .find(decisions.COLD_ENDPOINTS)
      .all(nowMs)
      .map(({untilMs, ...note}) => ({...note, leftMs: untilMs - nowMs})),
  };
}

/** The record without what held when it was written only. */
function withoutWarmup({
  value,
  ...record
}: endpointRegistry.EndpointRecord): RouterState['endpoints'][number] {
  return {...record, value: value && {...value, warmupLeftMs: undefined}};
}

/**
 * Merges another router's state into this one's; older records have no effect.
 */
export function merge(kernel: core.Kernel, state: RouterState): void {
  const {members, endpointsOffset, crashes, limits, evacuations} = state;
  const {cold} = state;
  const nowMs = kernel.find(core.CLOCK).nowMs();
  // The evacuations go first, since the endpoints get requests at once.
  const zones = kernel.find(evacuatedZones.EVACUATED_ZONES);
  for (const record of evacuations) zones.apply(record, 'router');
  const coldEndpoints = kernel.find(decisions.COLD_ENDPOINTS);
  for (const {leftMs, ...note} of cold) {
    coldEndpoints.applyNote({...note, untilMs: nowMs + leftMs}, nowMs);
  }
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  for (const {key, offset, value} of state.endpoints) {
    endpointRecords.applyRecord(kernel, {key, offset, value}, 'router');
  }
  endpoints.advanceTo(endpointsOffset);
  const fleet = kernel.find(fleetRegistry.FLEET_REGISTRY);
  for (const note of members) fleet.applyNote(note, nowMs);
  const tracker = kernel.find(decisions.CRASH_TRACKER);
  for (const {ageMs, ...note} of crashes) {
    tracker.applyCrash({...note, atMs: nowMs - ageMs}, nowMs);
  }
  const endpointLimits = kernel.find(decisions.ENDPOINT_LIMITS);
  for (const {ageMs, ...note} of limits) {
    endpointLimits.applyNote({...note, observedAtMs: nowMs - ageMs});
  }
}
