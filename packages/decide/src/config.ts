/**
 * Configuration as a replicated state machine: the tables are a function of the
 * log up to an offset. Every router replays the same records in the same order
 * and reaches the same verdicts.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as edits from './edits.js';
import * as verdicts from './verdicts.js';

/** Default number of verdicts that are kept, and carried by a snapshot. */
export const DEFAULT_MAX_VERDICTS = 500;

/** One record of the configuration stream with its offset. */
export interface ConfigEntry {
  readonly offset: number;
  /** As read from the log; invalid and unknown records are skipped. */
  readonly record: unknown;
}

/** Whether a replay is complete. */
export type ReplayState =
  /** The tables reflect all records below `nextOffset`. */
  | 'current'
  /** Records are missing, and no snapshot has replaced them. */
  | 'gap';

/** A router's replica of the configuration. */
export interface ConfigReplica {
  /**
   * Applies records read from the log; offsets already applied are ignored.
   * @param firstOffset oldest offset that the log still holds
   */
  apply(entries: readonly ConfigEntry[], firstOffset: number): ReplayState;
  /**
   * Replaces the state with a snapshot from a peer or the log. Returns false, and
   * changes nothing, if the snapshot is not newer.
   */
  restore(snapshot: core.Snapshot): boolean;
  snapshot(): core.Snapshot;
  tables(): core.Tables;
  /** Verdict on an edit; undefined if not replayed yet, or no longer kept. */
  verdict(editId: string): core.Verdict | undefined;
  /** The newest verdicts, in log order. */
  verdicts(): readonly core.Verdict[];
  readonly state: ReplayState;
  /** The next offset to read. */
  readonly nextOffset: number;
}

/** Options of the configuration replicas. */
export interface ConfigReplicaOptions {
  /** Must be the same in all routers: see `VerdictList`. */
  readonly maxVerdicts?: number;
}

/** The validated record; undefined if it is malformed or of an unknown type. */
function parseRecord(record: unknown): core.ConfigRecord | undefined {
  const parsed = v.safeParse(core.configRecordSchema, record);
  return parsed.success ? parsed.output : undefined;
}

/**
 * Replays the log and fills gaps from snapshots. During a gap, the tables stay
 * as they were before it, and the entries after it are buffered: a snapshot may
 * follow records on the log that it does not include yet.
 */
export class LogConfigReplica implements ConfigReplica {
  private currentTables = core.emptyTables();
  private readonly verdictList: verdicts.VerdictList;
  /** The tables reflect all records below this offset. */
  private appliedOffset = 0;
  /** Records from this offset up to `readOffset` were read without a gap. */
  private contiguousFrom = 0;
  private readOffset = 0;
  private buffered: ConfigEntry[] = [];
  /** Whether a log page or a snapshot has been received. */
  private isInitialized = false;

  constructor({maxVerdicts = DEFAULT_MAX_VERDICTS}: ConfigReplicaOptions = {}) {
    this.verdictList = new verdicts.VerdictList(maxVerdicts);
  }

  get state(): ReplayState {
    return this.isInitialized && this.contiguousFrom <= this.appliedOffset
      ? 'current'
      : 'gap';
  }

  get nextOffset(): number {
    return this.readOffset;
  }

  apply(entries: readonly ConfigEntry[], firstOffset: number): ReplayState {
    this.isInitialized = true;
    if (firstOffset > this.readOffset) this.skipTo(firstOffset);
    for (const entry of entries) {
      if (entry.offset >= this.readOffset) this.applyOrBuffer(entry);
    }
    return this.state;
  }

  restore(snapshot: core.Snapshot): boolean {
    const endOffset = snapshot.through_offset + 1;
    if (this.isInitialized && endOffset <= this.appliedOffset) return false;
    this.isInitialized = true;
    this.currentTables = snapshot.tables;
    this.verdictList.replace(snapshot.verdicts);
    this.appliedOffset = endOffset;
    if (endOffset > this.readOffset) this.skipTo(endOffset);
    if (this.state === 'current') this.applyBuffered();
    return true;
  }

  snapshot(): core.Snapshot {
    return {
      type: 'snapshot',
      through_offset: this.appliedOffset - 1,
      tables: this.currentTables,
      verdicts: [...this.verdictList.all()],
    };
  }

  tables(): core.Tables {
    return this.currentTables;
  }

  verdict(editId: string): core.Verdict | undefined {
    return this.verdictList.get(editId);
  }

  verdicts(): readonly core.Verdict[] {
    return this.verdictList.all();
  }

  private skipTo(offset: number): void {
    this.buffered = [];
    this.contiguousFrom = offset;
    this.readOffset = offset;
  }

  private applyOrBuffer(entry: ConfigEntry): void {
    this.readOffset = entry.offset + 1;
    if (this.state === 'current') {
      this.applyEntry(entry);
      return;
    }
    this.buffered.push(entry);
    const record = parseRecord(entry.record);
    if (record?.type !== 'snapshot') return;
    if (record.through_offset < entry.offset) this.restore(record);
  }

  private applyBuffered(): void {
    const entries = this.buffered;
    this.buffered = [];
    const from = this.appliedOffset;
    for (const entry of entries) {
      if (entry.offset >= from) this.applyEntry(entry);
    }
  }

  private applyEntry(entry: ConfigEntry): void {
    this.appliedOffset = entry.offset + 1;
    const record = parseRecord(entry.record);
    if (record?.type !== 'edit') return;
    if (this.verdictList.get(record.edit_id)) return;
    const result = edits.applyEdit(this.currentTables, record, entry.offset);
    this.currentTables = result.tables;
    this.verdictList.add(result.verdict);
  }
}

/**
 * Baseline that replays the whole log from offset 0 on each call, without
 * snapshots: simple enough to be the model that the other replica is tested
 * against.
 */
export class NaiveConfigReplica implements ConfigReplica {
  private readonly entries: ConfigEntry[] = [];
  private readonly maxVerdicts: number;
  private isGap = true;

  constructor({maxVerdicts = DEFAULT_MAX_VERDICTS}: ConfigReplicaOptions = {}) {
    this.maxVerdicts = maxVerdicts;
  }

  get state(): ReplayState {
    return this.isGap ? 'gap' : 'current';
  }

  get nextOffset(): number {
    return (this.entries.at(-1)?.offset ?? -1) + 1;
  }

  apply(entries: readonly ConfigEntry[], firstOffset: number): ReplayState {
    this.isGap = firstOffset > this.nextOffset;
    if (this.isGap) return 'gap';
    const from = this.nextOffset;
    this.entries.push(...entries.filter(entry => entry.offset >= from));
    return 'current';
  }

  restore(): boolean {
    return false;
  }

  snapshot(): core.Snapshot {
    const {tables, newest} = this.replay();
    const throughOffset = this.nextOffset - 1;
    return {
      type: 'snapshot',
      through_offset: throughOffset,
      tables,
      verdicts: newest,
    };
  }

  tables(): core.Tables {
    return this.replay().tables;
  }

  verdict(editId: string): core.Verdict | undefined {
    return this.verdicts().find(verdict => verdict.edit_id === editId);
  }

  verdicts(): readonly core.Verdict[] {
    return this.replay().newest;
  }

  private replay() {
    let tables = core.emptyTables();
    let newest: core.Verdict[] = [];
    for (const {offset, record} of this.entries) {
      const edit = parseRecord(record);
      if (edit?.type !== 'edit') continue;
      if (newest.some(verdict => verdict.edit_id === edit.edit_id)) continue;
      const result = edits.applyEdit(tables, edit, offset);
      tables = result.tables;
      newest = [...newest, result.verdict].slice(-this.maxVerdicts);
    }
    return {tables, newest};
  }
}
