/**
 * Configuration tables that operators edit: routes, pools and customer limits.
 * Rows refer to each other by name. Field names are those of the published JSON
 * and contain the unit of the value.
 */
import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const MAX_TIMEOUT_MS = 3_600_000;

/** Schema of the name of a row or an endpoint. */
export const nameSchema = v.pipe(
  v.string(),
  v.regex(
    NAME_PATTERN,
    'must be 1 to 63 characters of a-z, 0-9, ".", "_", "-", starting with a letter or digit',
  ),
);

const timeoutSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(1),
  v.maxValue(MAX_TIMEOUT_MS),
);

const waitTimeSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(MAX_TIMEOUT_MS),
);

/** Request priorities, the most urgent first. */
export const PRIORITIES = ['high', 'normal', 'low'] as const;

/** Schema of a row of the routes table. */
export const routeSchema = v.strictObject({
  name: nameSchema,
  match: v.strictObject({
    /** Of several matching routes, the one with the longest prefix is used. */
    path_prefix: v.pipe(v.string(), v.regex(/^\/\S*$/, 'must start with "/"')),
    method: v.optional(v.picklist(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])),
  }),
  pool: nameSchema,
  /** False for calls that must run at most once. */
  repeatable: v.optional(v.boolean(), true),
  priority: v.optional(v.picklist(PRIORITIES), 'normal'),
  /** How long a request may be queued for an endpoint. */
  wait_ms: v.optional(waitTimeSchema, 0),
  connect_timeout_ms: v.optional(timeoutSchema, 1_000),
  first_byte_timeout_ms: v.optional(timeoutSchema, 30_000),
  /** Maximum time between two chunks of a response body. */
  idle_timeout_ms: v.optional(timeoutSchema, 15_000),
});

/** A row of the routes table. */
export type Route = v.InferOutput<typeof routeSchema>;

/** Schema of a row of the pools table. */
export const poolSchema = v.strictObject({
  name: nameSchema,
  /** Names of endpoints in the instance list. */
  endpoints: v.optional(v.array(nameSchema), []),
  /** Label, as `key=value`, that selects endpoints of the instance list. */
  endpoint_label: v.optional(v.pipe(v.string(), v.regex(/^[^=]+=.+$/))),
  /** Names of endpoints that operators have taken out of service. */
  drained_endpoints: v.optional(v.array(nameSchema)),
  /** Upper bound of an endpoint's load, as a multiple of the pool's mean load. */
  load_multiple: v.optional(
    v.pipe(v.number(), v.minValue(1), v.maxValue(10)),
    1.25,
  ),
  /** Maximum number of requests that an endpoint runs concurrently. */
  max_in_flight: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
    64,
  ),
  /** Maximum length of each queue: the pool's and that of each endpoint. */
  max_queued: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(100_000)),
    256,
  ),
});

/** A row of the pools table. */
export type Pool = v.InferOutput<typeof poolSchema>;

const rateLimitSchema = v.optional(
  v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1_000_000_000)),
);

/** Schema of a row of the customers table. */
export const customerSchema = v.strictObject({
  name: nameSchema,
  requests_per_minute: rateLimitSchema,
  tokens_per_minute: rateLimitSchema,
});

/** A row of the customers table: the limits of a customer. */
export type Customer = v.InferOutput<typeof customerSchema>;

/** Row schemas by table. */
export const ROW_SCHEMAS = {
  routes: routeSchema,
  pools: poolSchema,
  customers: customerSchema,
} as const;

/** Name of a table. */
export type TableName = keyof typeof ROW_SCHEMAS;

/** Names of all tables. */
export const TABLE_NAMES = ['routes', 'pools', 'customers'] as const;

/** A row of any table. */
export type Row = Route | Pool | Customer;

function versionedRowsSchema<T extends v.GenericSchema>(rowSchema: T) {
  return v.record(v.string(), v.object({version: v.number(), row: rowSchema}));
}

/** Schema of all tables by row name, each row with its version. */
export const tablesSchema = v.object({
  routes: versionedRowsSchema(routeSchema),
  pools: versionedRowsSchema(poolSchema),
  customers: versionedRowsSchema(customerSchema),
});

/**
 * All tables by row name. The version of a row is the log offset of its last
 * edit plus 1.
 */
export type Tables = v.InferOutput<typeof tablesSchema>;

/** Creates tables without rows. */
export function emptyTables(): Tables {
  return {routes: {}, pools: {}, customers: {}};
}
