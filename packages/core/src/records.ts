/**
 * Schemas of the records in the platform's log. Readers skip records of unknown
 * type, so that an older router can read a log with records of a newer one.
 */
import * as v from 'valibot';
import * as tables from './tables.js';

/** Name of the stream with the edits and snapshots of the configuration. */
export const CONFIG_STREAM = 'config';

/** Name of the claim stream with the given index. */
export function claimStreamName(index: number): string {
  return `claims-${index}`;
}

/** Schema of a change to one row; `row: null` removes the row. */
export const changeSchema = v.object({
  table: v.picklist(tables.TABLE_NAMES),
  name: v.string(),
  /** Version that the row must have; 0 if the row must not exist. */
  expected_version: v.pipe(v.number(), v.integer(), v.minValue(0)),
  row: v.nullable(v.unknown()),
});

/** A change to one row. */
export type Change = v.InferOutput<typeof changeSchema>;

/** Schema of an edit: its changes are applied atomically. */
export const editSchema = v.object({
  type: v.literal('edit'),
  edit_id: v.string(),
  operator: v.string(),
  at_ms: v.number(),
  changes: v.pipe(v.array(changeSchema), v.minLength(1)),
});

/** An edit record in the log. */
export type Edit = v.InferOutput<typeof editSchema>;

/** Schema of the outcome of an edit. */
export const verdictSchema = v.object({
  edit_id: v.string(),
  operator: v.string(),
  at_ms: v.number(),
  offset: v.number(),
  outcome: v.picklist(['accepted', 'conflict', 'invalid']),
  detail: v.string(),
  /** Summary of each change, such as `set routes/chat`. */
  changes: v.array(v.string()),
});

/** Outcome of an edit; every reader of the log computes the same one. */
export type Verdict = v.InferOutput<typeof verdictSchema>;

/** Schema of a snapshot of the configuration. */
export const snapshotSchema = v.object({
  type: v.literal('snapshot'),
  /** Offset of the last record that the snapshot includes. */
  through_offset: v.number(),
  tables: tables.tablesSchema,
  /** The most recent verdicts, the oldest first. */
  verdicts: v.array(verdictSchema),
});

/** A snapshot record of the configuration in the log. */
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
  /** Claims an idempotency key for an attempt; the first claim logged wins. */
  v.object({type: v.literal('claim'), key: v.string(), attempt: v.string()}),
  /** Releases a claim: the attempt was not and will not be dispatched. */
  v.object({type: v.literal('release'), key: v.string(), attempt: v.string()}),
  /** Records that the router has received the answer to the attempt. */
  v.object({type: v.literal('answered'), key: v.string(), attempt: v.string()}),
]);

/** One entry of a batch of claims. */
export type ClaimEntry = v.InferOutput<typeof claimEntrySchema>;

/** Schema of a record of a claim stream: a batch of entries, in order. */
export const claimBatchSchema = v.object({
  type: v.literal('claims'),
  entries: v.array(claimEntrySchema),
});

/** A record of a claim stream. */
export type ClaimBatch = v.InferOutput<typeof claimBatchSchema>;
