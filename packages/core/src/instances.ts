/** The platform's list of live and leaving instances. */
import * as v from 'valibot';

/** Schema of an entry of the instance list. */
export const instanceSchema = v.object({
  name: v.string(),
  kind: v.picklist(['router', 'endpoint']),
  /** IP address. */
  address: v.string(),
  /** Port on which a router accepts callers, or an endpoint accepts routers. */
  port: v.number(),
  /** TCP and UDP port for other routers; 0 for endpoints. */
  peer_port: v.optional(v.number(), 0),
  /** Port of the administration interface; 0 for endpoints. */
  admin_port: v.optional(v.number(), 0),
  region: v.optional(v.string(), 'default'),
  failure_domain: v.optional(v.string(), 'default'),
  labels: v.optional(v.record(v.string(), v.string()), {}),
  state: v.optional(v.picklist(['live', 'leaving']), 'live'),
});

/** An entry of the instance list: a router or an endpoint. */
export type Instance = v.InferOutput<typeof instanceSchema>;

/** Schema of the list; the version increases with each change. */
export const instanceListSchema = v.object({
  version: v.number(),
  instances: v.array(instanceSchema),
});

/** The list of instances. */
export type InstanceList = v.InferOutput<typeof instanceListSchema>;

/** Schema of the load report that an endpoint sends about itself. */
export const loadReportSchema = v.object({
  /** Number of running requests. */
  in_flight: v.number(),
  /** Number of requests queued inside the endpoint. */
  queued: v.optional(v.number(), 0),
  /** Age of the counts. */
  age_ms: v.optional(v.number(), 0),
  state: v.optional(v.picklist(['live', 'leaving']), 'live'),
  /** Id that changes with each start of the endpoint. */
  start_id: v.optional(v.string(), ''),
});

/** Load report that an endpoint sends about itself. */
export type LoadReport = v.InferOutput<typeof loadReportSchema>;
