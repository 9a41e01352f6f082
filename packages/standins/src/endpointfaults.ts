/** Faults that can be injected into a stand-in endpoint. */
import * as v from 'valibot';
import * as control from './control.js';

const REPORT_LAG_MS = 250;
const EVENTS_LAG_MS = 500;
const EVENTS_GAP_EVERY = 20;
const WORK_MS = 5;

/** Schema of the faults of engines and plain services. */
export const endpointFaultsSchema = v.strictObject({
  /** Delay before the first byte; ends early if the caller disconnects. */
  slow_ms: v.optional(control.nonNegativeNumberSchema, 0),
  /** Delay before the first byte; a disconnect does not end it or the run. */
  late_ms: v.optional(control.nonNegativeNumberSchema, 0),
  /** Crashes the endpoint: it resets all connections and stops listening. */
  down: v.optional(v.boolean(), false),
  /** A request whose body contains this text crashes the endpoint. */
  crash_marker: v.optional(v.string(), ''),
  /** Setting it permanently silences the connections open at that moment. */
  silent: v.optional(v.boolean(), false),
  /** Requests are neither read nor answered until it is false again. */
  frozen: v.optional(v.boolean(), false),
  /** Load reports and answers give the state `leaving`. */
  leaving: v.optional(v.boolean(), false),
  /** While `leaving`, new requests are refused with 503 and do not run. */
  refuse_when_leaving: v.optional(v.boolean(), false),
  /** All new requests are refused with 503 and do not run. */
  refuse: v.optional(v.boolean(), false),
  /** Closes the connection after this number of tokens; null for never. */
  cut_after_tokens: v.optional(
    v.nullable(control.nonNegativeNumberSchema),
    null,
  ),
  /** Answers carry a request id other than that of the request. */
  wrong_id: v.optional(v.boolean(), false),
  /** Answers have no length: the end of the connection ends the body. */
  no_length: v.optional(v.boolean(), false),
  /** Answers are not HTTP. */
  malformed: v.optional(v.boolean(), false),
  /** Answers carry a header of 256 KiB, above the usual limit. */
  oversized_headers: v.optional(v.boolean(), false),
  /** Age of the load that `/load` reports. */
  report_lag_ms: v.optional(control.nonNegativeNumberSchema, REPORT_LAG_MS),
  /** Engines: delay until a cache event is published. */
  events_lag_ms: v.optional(control.nonNegativeNumberSchema, EVENTS_LAG_MS),
  /** Engines: drops every nth cache event; 0 drops none. */
  events_gap_every: v.optional(
    control.nonNegativeNumberSchema,
    EVENTS_GAP_EVERY,
  ),
  /** Services: duration of a run. */
  work_ms: v.optional(control.nonNegativeNumberSchema, WORK_MS),
});

/** Faults of engines and plain services. */
export type EndpointFaults = v.InferOutput<typeof endpointFaultsSchema>;

/** Contract of an endpoint's faults. */
export const ENDPOINT_FAULTS = control.faultsContract<EndpointFaults>();
