/**
 * The configuration tables of a fleet whose routers send requests directly to
 * endpoints, and the entries of its lists of endpoints and routers. Types are
 * inferred from these schemas; routers exchange the same shapes as JSON.
 */
import * as v from 'valibot';

/**
 * Maximum length of a name in a record; names travel in digests, which have to
 * fit into a datagram.
 */
const MAX_NAME_LENGTH = 255;

/** Name of a pool, failure domain or router. */
const nameSchema = v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH));

/** Requests carry the id in a header, so it consists of visible ASCII. */
const endpointIdSchema = v.pipe(nameSchema, v.regex(/^[\x21-\x7e]+$/));

const addressSchema = v.pipe(v.string(), v.ipv4());

const MAX_PORT = 65_535;

const portSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(1),
  v.maxValue(MAX_PORT),
);

/** Whether requests of a route may be retried. */
export const repeatSchema = v.picklist([
  /** Requests may run more than once. */
  'idempotent',
  /** Each request of a caller runs at most once. */
  'once',
  /**
   * The response is an event stream; a request runs at most once unless the
   * route is resumable.
   */
  'stream',
]);

/** Schema of a route. */
export const routeSchema = v.object({
  name: v.string(),
  host: v.string(),
  pathPrefix: v.string(),
  /** The pools among which requests are distributed by weight. */
  pools: v.array(v.object({name: v.string(), weight: v.number()})),
  repeat: repeatSchema,
  /** Whether a broken event stream may be resumed at another endpoint. */
  isResumable: v.boolean(),
  /** Maximum number of endpoints that may run one request of a caller. */
  maxRuns: v.number(),
  /**
   * Longest time from a request's arrival to the end of its response, in ms.
   */
  timeoutMs: v.number(),
  /** Target response time, in ms. */
  goalMs: v.number(),
  /** 0 is the most urgent. */
  priority: v.number(),
  /** Whether requests need no API key. */
  isPublic: v.boolean(),
});

/** A row of the table of routes. */
export type Route = v.InferOutput<typeof routeSchema>;

/** Schema of a customer with its API keys. */
export const customerSchema = v.object({
  name: v.string(),
  keys: v.array(v.string()),
  /** Overrides the route's priority. */
  priority: v.optional(v.number()),
});

/** A customer. */
export type Customer = v.InferOutput<typeof customerSchema>;

/** Schema of a pool whose endpoints cache prompts, or start cold. */
export const poolSchema = v.object({
  name: v.string(),
  /**
   * Time to copy the context of one token between endpoints, in us; absent:
   * copying is not possible.
   */
  copyUsPerToken: v.optional(v.number()),
  /** Time for which an endpoint is cold after its start, in ms. */
  warmupMs: v.optional(v.number()),
  /** Requests a second that a cold endpoint takes from all routers together. */
  coldPerSecond: v.optional(v.number()),
  /** False if there is nothing to cache, so that only the limits count. */
  cachesContext: v.optional(v.boolean()),
});

/** A pool. */
export type Pool = v.InferOutput<typeof poolSchema>;

/** Schema of the limits for callers. */
export const limitsSchema = v.object({
  maxBodyBytes: v.number(),
  /** How long a caller may keep its connection idle, in ms. */
  idleMs: v.number(),
});

/** Schema of all tables of one version. */
export const tablesSchema = v.object({
  /** Increases with each version, not always by one. */
  version: v.number(),
  routes: v.array(routeSchema),
  /** Pools whose endpoints cache the context of prompts, or start cold. */
  pools: v.array(poolSchema),
  /** Absent: requests need no API keys. */
  customers: v.optional(v.array(customerSchema)),
  limits: limitsSchema,
});

/** All tables of one version. */
export type Tables = v.InferOutput<typeof tablesSchema>;

/** A record that the operator writes for the fleet. */
export type OperatorRecord =
  | {readonly type: 'tables'; readonly tables: Tables}
  | {
      readonly type: 'evacuation';
      readonly zone: string;
      /** `unreadable`: nobody can tell what was written. */
      readonly is: 'ordered' | 'withdrawn' | 'unreadable';
    };

/** Schema of the record that an endpoint publishes. */
export const endpointSchema = v.object({
  /** Id of one lifetime of the endpoint, from its start to its end. */
  id: endpointIdSchema,
  pool: nameSchema,
  address: addressSchema,
  port: portSchema,
  zone: nameSchema,
  isDraining: v.boolean(),
  /** Version of its software, not of the model's weights. */
  softwareVersion: v.optional(nameSchema),
  /** Wall-clock time of the endpoint's start, in ms. */
  bornMs: v.optional(v.number()),
  /**
   * Time for which the endpoint was still cold when this was written, in ms;
   * absent if it was warm.
   */
  warmupLeftMs: v.optional(v.number()),
});

/** An endpoint. */
export type Endpoint = v.InferOutput<typeof endpointSchema>;

/** The version of an endpoint's software; empty if its entry has none. */
export function versionOf({softwareVersion = ''}: Endpoint): string {
  return softwareVersion;
}

/** Schema of the record that a router publishes. */
export const routerSchema = v.object({
  name: nameSchema,
  /** All routers use the same ports. */
  address: addressSchema,
  zone: nameSchema,
});

/** A router of the fleet. */
export type Router = v.InferOutput<typeof routerSchema>;

/** Schema of the record of the versions that a pool's endpoints have had. */
export const poolVersionsSchema = v.object({
  pool: nameSchema,
  /** Wall-clock time from which no version is missing, in ms. */
  knownSinceMs: v.number(),
  versions: v.array(
    v.object({
      version: nameSchema,
      /** Wall-clock time at which it was last listed; absent if it still was. */
      endedAtMs: v.optional(v.number()),
    }),
  ),
});

/** The versions that a pool's endpoints have had. */
export type PoolVersions = v.InferOutput<typeof poolVersionsSchema>;
