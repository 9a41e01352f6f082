/** The faults that the stand-in platform can be told to show. */
import * as v from 'valibot';
import * as control from './control.js';

const APPENDS_PER_SECOND = 400;
const WEIGHT_CALLS_PER_SECOND = 10;
const RETENTION_MS = 3_600_000;

/** Schema of the platform's faults and limits. */
export const platformFaultsSchema = v.strictObject({
  /** How long a change of the list stays unseen. */
  list_lag_ms: v.optional(control.amount, 0),
  /** The list answers 503. */
  list_down: v.optional(v.boolean(), false),
  /** The log answers 503. */
  log_down: v.optional(v.boolean(), false),
  /** The log accepts requests and never answers them. */
  log_silent: v.optional(v.boolean(), false),
  /** How long the log waits before it acts. */
  log_slow_ms: v.optional(control.amount, 0),
  /** How many of the next appends take effect without a reply. */
  lose_append_replies: v.optional(control.amount, 0),
  /** How many of the next appends are cut off without effect. */
  lose_append_requests: v.optional(control.amount, 0),
  appends_per_second: v.optional(control.amount, APPENDS_PER_SECOND),
  retention_ms: v.optional(control.amount, RETENTION_MS),
  /** Most records that a stream keeps; null sets no bound. */
  retention_records: v.optional(v.nullable(control.amount), null),
  weight_calls_per_second: v.optional(control.amount, WEIGHT_CALLS_PER_SECOND),
});

/** The platform's faults and limits. */
export type PlatformFaults = v.InferOutput<typeof platformFaultsSchema>;

/** The contract under which the platform's faults are registered. */
export const PLATFORM_FAULTS = control.faultsOf<PlatformFaults>();
