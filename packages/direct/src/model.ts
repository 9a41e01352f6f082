/**
 * The tables of a fleet whose routers send straight to endpoints, and the
 * entries of its lists. Types are inferred from these schemas; routers exchange
 * the same shapes as JSON.
 */
import * as v from 'valibot';

/** What may be repeated of a route's requests. */
export const repeatSchema = v.picklist([
  /** May run more than once. */
  'idempotent',
  /** Runs at most once for each request of a caller. */
  'once',
  /** A stream of events; at most once unless the route is resumable. */
  'stream',
]);

/** Schema of a route. */
export const routeSchema = v.object({
  name: v.string(),
  host: v.string(),
  pathPrefix: v.string(),
  /** Pools that share the route's requests by weight. */
  pools: v.array(v.object({name: v.string(), weight: v.number()})),
  repeat: repeatSchema,
  /** Whether a broken stream may go on at another endpoint. */
  isResumable: v.boolean(),
  /** Most endpoints that may run one request of a caller. */
  maxRuns: v.number(),
  /** Longest time for which a caller is kept waiting. */
  timeoutMs: v.number(),
  /** Time within which an answer is on time. */
  goalMs: v.number(),
  /** 0 is the most urgent. */
  priority: v.number(),
  /** Whether callers need no key. */
  isPublic: v.boolean(),
});

/** A row of the table of routes. */
export type Route = v.InferOutput<typeof routeSchema>;

/** Schema of a customer with its keys. */
export const customerSchema = v.object({
  name: v.string(),
  keys: v.array(v.string()),
  /** Goes before the route's priority. */
  priority: v.optional(v.number()),
});

/** A customer. */
export type Customer = v.InferOutput<typeof customerSchema>;

/** Schema of a pool whose endpoints hold the context of prompts. */
export const poolSchema = v.object({
  name: v.string(),
  /** Time in which a token's context is copied, in us; absent: it cannot be. */
  copyUsPerToken: v.optional(v.number()),
});

/** A pool. */
export type Pool = v.InferOutput<typeof poolSchema>;

/** Schema of what callers may send. */
export const limitsSchema = v.object({
  maxBodyBytes: v.number(),
  /** How long a caller may leave its connection idle. */
  idleMs: v.number(),
});

/** Schema of all tables of one version. */
export const tablesSchema = v.object({
  /** Later versions are greater; steps are uneven. */
  version: v.number(),
  routes: v.array(routeSchema),
  /** Pools whose endpoints hold context. */
  pools: v.array(poolSchema),
  /** Absent: callers need no keys. */
  customers: v.optional(v.array(customerSchema)),
  limits: limitsSchema,
});

/** All tables of one version. */
export type Tables = v.InferOutput<typeof tablesSchema>;

/** Schema of an endpoint as it announces itself. */
export const endpointSchema = v.object({
  /** Names one lifetime of the endpoint. */
  id: v.string(),
  pool: v.string(),
  address: v.string(),
  port: v.number(),
  zone: v.string(),
  isDraining: v.boolean(),
  /** Wall-clock time of its start. */
  bornMs: v.optional(v.number()),
});

/** An endpoint. */
export type Endpoint = v.InferOutput<typeof endpointSchema>;

/** Schema of a router as it announces itself. */
export const routerSchema = v.object({
  name: v.string(),
  /** IP address; ports are the same at all routers. */
  address: v.string(),
  zone: v.string(),
});

/** A router of the fleet. */
export type Router = v.InferOutput<typeof routerSchema>;
