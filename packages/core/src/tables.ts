/**
 * The operators' tables: routes, pools and customers' limits, joined by names.
 * Field names are those of the published JSON, each with its unit.
 */
import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const MAX_TIMEOUT_MS = 3_600_000;

/** Schema of a row's name. */
export const nameSchema = v.pipe(
  v.string(),
  v.regex(
    NAME_PATTERN,
    'a name is 1 to 63 of a-z, 0-9, ".", "_", "-", and starts with a letter or digit',
  ),
);

const timeoutSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(1),
  v.maxValue(MAX_TIMEOUT_MS),
);

const waitSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(MAX_TIMEOUT_MS),
);

/** Priorities, the most urgent first. */
export const PRIORITIES = ['high', 'normal', 'low'] as const;

/** Schema of a row of the table of routes. */
export const routeSchema = v.strictObject({
  name: nameSchema,
  match: v.strictObject({
    /** A request matches the route with the longest prefix of its path. */
    path_prefix: v.pipe(v.string(), v.regex(/^\/\S*$/, 'must start with "/"')),
    method: v.optional(v.picklist(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])),
  }),
  pool: nameSchema,
  /** False for calls that may not be repeated: these run at most once. */
  repeatable: v.optional(v.boolean(), true),
  priority: v.optional(v.picklist(PRIORITIES), 'normal'),
  /** How long a request may wait for room at an endpoint. */
  wait_ms: v.optional(waitSchema, 0),
  connect_timeout_ms: v.optional(timeoutSchema, 1_000),
  first_byte_timeout_ms: v.optional(timeoutSchema, 30_000),
  /** Longest silence within an answer that has begun. */
  idle_timeout_ms: v.optional(timeoutSchema, 15_000),
});

/** A row of the table of routes. */
export type Route = v.InferOutput<typeof routeSchema>;

/** Schema of a row of the table of pools. */
export const poolSchema = v.strictObject({
  name: nameSchema,
  /** Endpoints by their name in the instance list. */
  endpoints: v.optional(v.array(nameSchema), []),
  /** Endpoints by label, `key=value`, as the instance list gives them. */
  endpoint_label: v.optional(v.pipe(v.string(), v.regex(/^[^=]+=.+$/))),
  /** Endpoints that operators have taken out of service. */
  drained_endpoints: v.optional(v.array(nameSchema)),
  /** No endpoint carries more than this multiple of the pool's mean load. */
  load_multiple: v.optional(
    v.pipe(v.number(), v.minValue(1), v.maxValue(10)),
    1.25,
  ),
  /** Most requests that one endpoint runs at a time. */
  max_in_flight: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
    64,
  ),
  /** Most requests that wait in one line: the pool's, or an endpoint's. */
  max_queued: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(100_000)),
    256,
  ),
});

/** A row of the table of pools. */
export type Pool = v.InferOutput<typeof poolSchema>;

const rateSchema = v.optional(
  v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1_000_000_000)),
);

/** Schema of a row of the table of customers' limits. */
export const customerSchema = v.strictObject({
  name: nameSchema,
  requests_per_minute: rateSchema,
  tokens_per_minute: rateSchema,
});

/** A row of the table of customers' limits. */
export type Customer = v.InferOutput<typeof customerSchema>;

/** Schemas of the rows, by table. */
export const ROW_SCHEMAS = {
  routes: routeSchema,
  pools: poolSchema,
  customers: customerSchema,
} as const;

/** Name of a table. */
export type TableName = keyof typeof ROW_SCHEMAS;

/** The tables' names. */
export const TABLE_NAMES = ['routes', 'pools', 'customers'] as const;

/** A row of any table. */
export type Row = Route | Pool | Customer;

function versioned<T extends v.GenericSchema>(row: T) {
  return v.record(v.string(), v.object({version: v.number(), row}));
}

/** Schema of all tables, each row with the version of its last edit. */
export const tablesSchema = v.object({
  routes: versioned(routeSchema),
  pools: versioned(poolSchema),
  customers: versioned(customerSchema),
});

/** All tables, by row name. A version is the log offset of the edit plus 1. */
export type Tables = v.InferOutput<typeof tablesSchema>;

/** Tables without a row. */
export function emptyTables(): Tables {
  return {routes: {}, pools: {}, customers: {}};
}
