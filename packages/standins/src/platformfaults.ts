/** Faults that can be injected into the stand-in platform, and its limits. */
import * as v from 'valibot';
import * as control from './control.js';

const APPENDS_PER_SECOND = 400;
const WEIGHT_CALLS_PER_SECOND = 10;
const RETENTION_MS = 3_600_000;

/** Schema of the platform's faults and limits. */
export const platformFaultsSchema = v.strictObject({
  /** Delay until a change of the instance list becomes visible. */
  list_lag_ms: v.optional(control.nonNegativeNumberSchema, 0),
  /** Reads of the instance list are answered with 503. */
  list_down: v.optional(v.boolean(), false),
  /** Requests to the log are answered with 503. */
  log_down: v.optional(v.boolean(), false),
  /** Requests to the log are accepted but never answered. */
  log_silent: v.optional(v.boolean(), false),
  /** Delay before the log processes a request. */
  log_slow_ms: v.optional(control.nonNegativeNumberSchema, 0),
  /** Number of next appends that take effect but get no reply. */
  lose_append_replies: v.optional(control.nonNegativeNumberSchema, 0),
  /** Number of next appends whose connection is closed without effect. */
  lose_append_requests: v.optional(control.nonNegativeNumberSchema, 0),
  appends_per_second: v.optional(
    control.nonNegativeNumberSchema,
    APPENDS_PER_SECOND,
  ),
  retention_ms: v.optional(control.nonNegativeNumberSchema, RETENTION_MS),
  /** Maximum number of records that a stream retains; null for no limit. */
  retention_records: v.optional(
    v.nullable(control.nonNegativeNumberSchema),
    null,
  ),
  weight_calls_per_second: v.optional(
    control.nonNegativeNumberSchema,
    WEIGHT_CALLS_PER_SECOND,
  ),
});

/** Faults and limits of the platform. */
export type PlatformFaults = v.InferOutput<typeof platformFaultsSchema>;

/** Contract of the platform's faults. */
export const PLATFORM_FAULTS = control.faultsContract<PlatformFaults>();
