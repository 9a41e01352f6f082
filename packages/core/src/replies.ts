/** What the administration interface answers; routers write it, tools read it. */
import * as v from 'valibot';
import * as records from './records.js';

const countSchema = v.number();

/** Schema of how far an offset of the configuration is in force. */
export const inForceSchema = v.object({
  offset: countSchema,
  /** Routers that have it in force. */
  routers: countSchema,
  /** Routers that were asked. */
  of: countSchema,
  /** Names of the routers that have not, or do not answer. */
  lagging: v.array(v.string()),
});

/** How far an offset of the configuration is in force. */
export type InForce = v.InferOutput<typeof inForceSchema>;

const routerSchema = v.variant('is_reached', [
  v.object({
    is_reached: v.literal(true),
    name: v.string(),
    next_offset: countSchema,
    is_draining: v.boolean(),
    is_current: v.boolean(),
    chats: countSchema,
    queued: countSchema,
    in_flight: countSchema,
    /** Endpoints that the router owns. */
    owns: v.array(v.string()),
  }),
  v.object({
    is_reached: v.literal(false),
    name: v.string(),
    detail: v.string(),
  }),
]);

const endpointSchema = v.object({
  name: v.string(),
  pools: v.array(v.string()),
  /** Routers that call themselves its owner; one in a settled fleet. */
  owners: v.array(v.string()),
  in_flight: countSchema,
  is_ejected: v.boolean(),
  is_settled: v.boolean(),
  is_leaving: v.boolean(),
  /** Taken out of service by an operator. */
  is_drained: v.boolean(),
});

/** Schema of the state of the whole fleet. */
export const fleetStatusSchema = v.object({
  answered_by: v.string(),
  in_force: inForceSchema,
  routers: v.array(routerSchema),
  endpoints: v.array(endpointSchema),
});

/** The state of the whole fleet. */
export type FleetStatus = v.InferOutput<typeof fleetStatusSchema>;

/** Schema of one step of a request at one router. */
export const stepSchema = v.object({
  /** Wall-clock time. */
  at_ms: v.number(),
  router: v.string(),
  /** What was done, as `considered`, `passed_on`, `dispatched`, `answered`. */
  step: v.string(),
  endpoint: v.optional(v.string()),
  detail: v.string(),
});

/** One step of a request at one router. */
export type Step = v.InferOutput<typeof stepSchema>;

/** Schema of where a request went and why. */
export const whySchema = v.object({
  request_id: v.string(),
  /** The steps at all routers, the oldest first. */
  steps: v.array(stepSchema),
  /** Routers that did not answer. */
  silent: v.array(v.string()),
});

/** Schema of the newest verdicts, the newest first. */
export const auditSchema = v.object({
  verdicts: v.array(records.verdictSchema),
});

/** Schema of usage, summed over the routers. */
export const usageSchema = v.object({
  usage: v.array(
    v.object({
      customer: v.string(),
      route: v.string(),
      pool: v.string(),
      requests: countSchema,
      tokens: countSchema,
    }),
  ),
  silent: v.array(v.string()),
});

/** Schema of the routers to use, the best first. */
export const whereSchema = v.object({
  addresses: v.array(
    v.object({name: v.string(), address: v.string(), port: v.number()}),
  ),
  /** How long to keep the answer. */
  keep_ms: v.number(),
});
