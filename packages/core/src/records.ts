/**
 * Records on the platform's log. Readers skip kinds that they do not know, so
 * that an older router can read past the records of a newer one.
 */
import * as v from 'valibot';
import * as tables from './tables.js';

/** Stream that carries the operators' edits and the snapshots of them. */
export const CONFIG_STREAM = 'config';

/** Name of the claim stream with the given index. */
export function claimStream(index: number): string {
  return `claims-${index}`;
}

/** Schema of one change of an edit; `row: null` removes the row. */
export const changeSchema = v.object({
  table: v.picklist(tables.TABLE_NAMES),
  name: v.string(),
  /** Version that the row must have; 0 where it must not exist. */
  expected_version: v.pipe(v.number(), v.integer(), v.minValue(0)),
  row: v.nullable(v.unknown()),
});

/** One change of an edit. */
export type Change = v.InferOutput<typeof changeSchema>;

/** Schema of an edit: its changes are accepted together or not at all. */
export const editSchema = v.object({
  type: v.literal('edit'),
  edit_id: v.string(),
  operator: v.string(),
  at_ms: v.number(),
  changes: v.pipe(v.array(changeSchema), v.minLength(1)),
});

/** An edit as it stands on the log. */
export type Edit = v.InferOutput<typeof editSchema>;

/** Schema of what became of an edit. */
export const verdictSchema = v.object({
  edit_id: v.string(),
  operator: v.string(),
  at_ms: v.number(),
  offset: v.number(),
  outcome: v.picklist(['accepted', 'conflict', 'invalid']),
  detail: v.string(),
  /** What the edit changed, as `set routes/chat`. */
  changes: v.array(v.string()),
});

/** What became of an edit; every reader of the log reaches the same. */
export type Verdict = v.InferOutput<typeof verdictSchema>;

/** Schema of a snapshot of the configuration. */
export const snapshotSchema = v.object({
  type: v.literal('snapshot'),
  /** The last offset whose record the snapshot takes in. */
  through_offset: v.number(),
  tables: tables.tablesSchema,
  /** The newest verdicts, the oldest first. */
  verdicts: v.array(verdictSchema),
});

/** A snapshot of the configuration as it stands on the log. */
export type Snapshot = v.InferOutput<typeof snapshotSchema>;

/** Schema of the records of the configuration stream. */
export const configRecordSchema = v.variant('type', [
  editSchema,
  snapshotSchema,
]);

/** A record of the configuration stream. */
export type ConfigRecord = v.InferOutput<typeof configRecordSchema>;

/** Schema of one entry of a batch of claims. */
export const claimEntrySchema = v.variant('type', [
  /** Claims a key for one attempt; the lowest offset wins. */
  v.object({type: v.literal('claim'), key: v.string(), attempt: v.string()}),
  /** Gives a claim back: the attempt never dispatched and never will. */
  v.object({type: v.literal('release'), key: v.string(), attempt: v.string()}),
  /** Tells that the attempt's answer reached the router. */
  v.object({type: v.literal('answered'), key: v.string(), attempt: v.string()}),
]);

/** One entry of a batch of claims. */
export type ClaimEntry = v.InferOutput<typeof claimEntrySchema>;

/** Schema of a record of a claim stream: a batch of entries, in order. */
export const claimBatchSchema = v.object({
  type: v.literal('claims'),
  entries: v.array(claimEntrySchema),
});

/** A batch of entries as it stands on the log. */
export type ClaimBatch = v.InferOutput<typeof claimBatchSchema>;
