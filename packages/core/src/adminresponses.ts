/**
 * Schemas of the responses of the administration interface, which routers send
 * and tools such as oleanderctl read.
 */
import * as v from 'valibot';
import * as records from './records.js';

const countSchema = v.number();

/** Schema of the rollout of the configuration to the routers. */
export const configRolloutSchema = v.object({
  /** Offset in the configuration stream of the log. */
  offset: countSchema,
  /** Number of routers that have applied the record at this offset. */
  routers: countSchema,
  /** Number of routers queried. */
  of: countSchema,
  /** Names of the routers that have not applied it, or did not answer. */
  lagging: v.array(v.string()),
});

/** How many routers have applied the configuration up to an offset. */
export type ConfigRollout = v.InferOutput<typeof configRolloutSchema>;

const routerSchema = v.variant('is_reached', [
  v.object({
    is_reached: v.literal(true),
    name: v.string(),
    /** Next offset to read in the configuration stream; 0 if not current. */
    next_offset: countSchema,
    is_draining: v.boolean(),
    /** Whether the router has caught up with the configuration stream. */
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
  /** Routers that claim ownership; exactly one once the fleet has converged. */
  owners: v.array(v.string()),
  in_flight: countSchema,
  is_ejected: v.boolean(),
  /** Whether it has been live long enough to become a chat's home. */
  is_settled: v.boolean(),
  is_leaving: v.boolean(),
  /** Whether an operator has taken the endpoint out of service. */
  is_drained: v.boolean(),
});

/** Schema of the response of `/status`: the state of the whole fleet. */
export const fleetStatusSchema = v.object({
  answered_by: v.string(),
  in_force: configRolloutSchema,
  routers: v.array(routerSchema),
  endpoints: v.array(endpointSchema),
});

/** The state of the whole fleet. */
export type FleetStatus = v.InferOutput<typeof fleetStatusSchema>;

/** Schema of a step of a request trace. */
export const traceStepSchema = v.object({
  /** Wall-clock time. */
  at_ms: v.number(),
  router: v.string(),
  /** Kind of step, such as `considered`, `passed_on`, `dispatched`, `answered`. */
  step: v.string(),
  endpoint: v.optional(v.string()),
  detail: v.string(),
});

/** A step of a request trace: one action of one router. */
export type TraceStep = v.InferOutput<typeof traceStepSchema>;

/** Schema of the response of `/why`: the trace of a request. */
export const whyResponseSchema = v.object({
  request_id: v.string(),
  /** Steps at all routers, the oldest first. */
  steps: v.array(traceStepSchema),
  /** Routers that did not answer. */
  silent: v.array(v.string()),
});

/** Schema of the response of `/audit`: verdicts on edits, newest first. */
export const auditResponseSchema = v.object({
  verdicts: v.array(records.verdictSchema),
});

/** Schema of the response of `/usage`: sums over all routers that answered. */
export const usageResponseSchema = v.object({
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

/** Schema of the response of `/where`: routers for a request, best first. */
export const whereResponseSchema = v.object({
  addresses: v.array(
    v.object({name: v.string(), address: v.string(), port: v.number()}),
  ),
  /** How long the caller may cache this response. */
  keep_ms: v.number(),
});
