/** The platform's list of live and leaving instances. */
import * as v from 'valibot';

/** Schema of one instance of the list. */
export const instanceSchema = v.object({
  name: v.string(),
  kind: v.picklist(['router', 'endpoint']),
  /** IP address. */
  address: v.string(),
  /** Where callers connect to a router, or routers to an endpoint. */
  port: v.number(),
  /** Where other routers connect, TCP and UDP; 0 for endpoints. */
  peer_port: v.optional(v.number(), 0),
  /** Where operators connect; 0 for endpoints. */
  admin_port: v.optional(v.number(), 0),
  region: v.optional(v.string(), 'default'),
  failure_domain: v.optional(v.string(), 'default'),
  labels: v.optional(v.record(v.string(), v.string()), {}),
  state: v.optional(v.picklist(['live', 'leaving']), 'live'),
});

/** One instance of the list. */
export type Instance = v.InferOutput<typeof instanceSchema>;

/** Schema of the list; the version grows with each change. */
export const instanceListSchema = v.object({
  version: v.number(),
  instances: v.array(instanceSchema),
});

/** The list of instances. */
export type InstanceList = v.InferOutput<typeof instanceListSchema>;

/** Schema of an endpoint's own report of its load. */
export const loadReportSchema = v.object({
  /** Requests that run now. */
  in_flight: v.number(),
  /** Requests that wait inside the endpoint. */
  queued: v.optional(v.number(), 0),
  /** How old the figures are. */
  age_ms: v.optional(v.number(), 0),
  state: v.optional(v.picklist(['live', 'leaving']), 'live'),
  /** Differs after each start of the endpoint. */
  start_id: v.optional(v.string(), ''),
});

/** An endpoint's own report of its load. */
export type LoadReport = v.InferOutput<typeof loadReportSchema>;
