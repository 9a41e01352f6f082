/** The faults that a stand-in endpoint can be told to show. */
import * as v from 'valibot';
import * as control from './control.js';

const REPORT_LAG_MS = 250;
const EVENTS_LAG_MS = 500;
const EVENTS_GAP_EVERY = 20;
const WORK_MS = 5;

/** Schema of the faults of engines and plain services. */
export const endpointFaultsSchema = v.strictObject({
  /** Wait before the first byte; ends when the caller leaves. */
  slow_ms: v.optional(control.amount, 0),
  /** Wait before the first byte, also where the caller has left. */
  late_ms: v.optional(control.amount, 0),
  /** Resets all connections and ends. */
  down: v.optional(v.boolean(), false),
  /** A request whose body holds this text crashes the endpoint. */
  crash_marker: v.optional(v.string(), ''),
  /** Each time it is set, the connections open then go silent for good. */
  silent: v.optional(v.boolean(), false),
  /** Nothing is read or answered until it is false again. */
  frozen: v.optional(v.boolean(), false),
  /** The endpoint says that it is leaving. */
  leaving: v.optional(v.boolean(), false),
  /** A leaving endpoint refuses new requests as not run. */
  refuse_when_leaving: v.optional(v.boolean(), false),
  /** All new requests are refused as not run. */
  refuse: v.optional(v.boolean(), false),
  /** Closes the connection after so many tokens; null never. */
  cut_after_tokens: v.optional(v.nullable(control.amount), null),
  /** Answers carry the id of another request. */
  wrong_id: v.optional(v.boolean(), false),
  /** Answers end with the connection. */
  no_length: v.optional(v.boolean(), false),
  /** Answers are not HTTP. */
  malformed: v.optional(v.boolean(), false),
  /** Answers carry a header above the usual limit. */
  oversized_headers: v.optional(v.boolean(), false),
  /** How old the load report is. */
  report_lag_ms: v.optional(control.amount, REPORT_LAG_MS),
  /** Engines: how late cache events appear. */
  events_lag_ms: v.optional(control.amount, EVENTS_LAG_MS),
  /** Engines: each so manyth cache event is lost; 0 loses none. */
  events_gap_every: v.optional(control.amount, EVENTS_GAP_EVERY),
  /** Services: how long a run takes. */
  work_ms: v.optional(control.amount, WORK_MS),
});

/** The faults of engines and plain services. */
export type EndpointFaults = v.InferOutput<typeof endpointFaultsSchema>;

/** The contract under which an endpoint's faults are registered. */
export const ENDPOINT_FAULTS = control.faultsOf<EndpointFaults>();
