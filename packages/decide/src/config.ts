/**
 * Configuration: the tables as a function of the log's prefix. Every router
 * replays the same records in the same order and reaches the same verdicts.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as edits from './edits.js';
import * as verdicts from './verdicts.js';

/** How many verdicts a book keeps, and a snapshot carries, if not told. */
export const DEFAULT_MAX_VERDICTS = 500;

/** One record of the configuration stream with its offset. */
export interface ConfigEntry {
  readonly offset: number;
  /** As read; records of unknown kinds are skipped. */
  readonly record: unknown;
}

/** Where a replay stands. */
export type ReplayState =
  /** The tables are those of the whole prefix up to `nextOffset`. */
  | 'current'
  /** Records are missing and no snapshot bridges the gap. */
  | 'gap';

/** Book of the configuration. */
export interface ConfigBook {
  /**
   * Takes in records that were read from the log, whose oldest kept offset is
   * `firstOffset`. Offsets already taken in are ignored.
   */
  apply(entries: readonly ConfigEntry[], firstOffset: number): ReplayState;
  /** Takes over a snapshot, from a peer or the log, unless it is older. */
  restore(snapshot: core.Snapshot): boolean;
  snapshot(): core.Snapshot;
  tables(): core.Tables;
  /** Verdict on an edit, where the replay has reached it. */
  verdict(editId: string): core.Verdict | undefined;
  /** The newest verdicts, the oldest first. */
  verdicts(): readonly core.Verdict[];
  readonly state: ReplayState;
  /** The next offset to read. */
  readonly nextOffset: number;
}

/** Options of the books of the configuration. */
export interface ConfigBookOptions {
  /** The same in all routers: see `VerdictList`. */
  readonly maxVerdicts?: number;
}

/** The record, where it is one that this version knows and well-formed. */
function parse(record: unknown): core.ConfigRecord | undefined {
  const parsed = v.safeParse(core.configRecordSchema, record);
  return parsed.success ? parsed.output : undefined;
}

/**
 * Replays the log and bridges gaps by snapshots. While there is a gap, the
 * entries after it are kept, since a snapshot may stand behind records that it
 * does not take in; the tables stay those from before the gap.
 */
export class LogConfigBook implements ConfigBook {
  private current = core.emptyTables();
  private readonly list: verdicts.VerdictList;
  /** The tables take in all records below this offset. */
  private appliedOffset = 0;
  /** Records from here to `readOffset` were read without a gap. */
  private keptOffset = 0;
  private readOffset = 0;
  private waiting: ConfigEntry[] = [];
  /** Whether the log or a snapshot has told anything yet. */
  private isBegun = false;

  constructor({maxVerdicts = DEFAULT_MAX_VERDICTS}: ConfigBookOptions = {}) {
    this.list = new verdicts.VerdictList(maxVerdicts);
  }

  get state(): ReplayState {
    return this.isBegun && this.keptOffset <= this.appliedOffset
      ? 'current'
      : 'gap';
  }

  get nextOffset(): number {
    return this.readOffset;
  }

  apply(entries: readonly ConfigEntry[], firstOffset: number): ReplayState {
    this.isBegun = true;
    if (firstOffset > this.readOffset) this.skipTo(firstOffset);
    for (const entry of entries) {
      if (entry.offset >= this.readOffset) this.read(entry);
    }
    return this.state;
  }

  restore(snapshot: core.Snapshot): boolean {
    const throughOffset = snapshot.through_offset + 1;
    if (this.isBegun && throughOffset <= this.appliedOffset) return false;
    this.isBegun = true;
    this.current = snapshot.tables;
    this.list.replace(snapshot.verdicts);
    this.appliedOffset = throughOffset;
    if (throughOffset > this.readOffset) this.skipTo(throughOffset);
    if (this.state === 'current') this.drain();
    return true;
  }

  snapshot(): core.Snapshot {
    return {
      type: 'snapshot',
      through_offset: this.appliedOffset - 1,
      tables: this.current,
      verdicts: [...this.list.all()],
    };
  }

  tables(): core.Tables {
    return this.current;
  }

  verdict(editId: string): core.Verdict | undefined {
    return this.list.get(editId);
  }

  verdicts(): readonly core.Verdict[] {
    return this.list.all();
  }

  private skipTo(offset: number): void {
    this.waiting = [];
    this.keptOffset = offset;
    this.readOffset = offset;
  }

  private read(entry: ConfigEntry): void {
    this.readOffset = entry.offset + 1;
    if (this.state === 'current') {
      this.take(entry);
      return;
    }
    this.waiting.push(entry);
    const record = parse(entry.record);
    if (record?.type !== 'snapshot') return;
    if (record.through_offset < entry.offset) this.restore(record);
  }

  private drain(): void {
    const entries = this.waiting;
    this.waiting = [];
    const from = this.appliedOffset;
    for (const entry of entries) {
      if (entry.offset >= from) this.take(entry);
    }
  }

  private take(entry: ConfigEntry): void {
    this.appliedOffset = entry.offset + 1;
    const record = parse(entry.record);
    if (record?.type !== 'edit') return;
    if (this.list.get(record.edit_id)) return;
    const judgement = edits.judge(this.current, record, entry.offset);
    this.current = judgement.tables;
    this.list.add(judgement.verdict);
  }
}

/**
 * Replays the whole log from offset 0 for each question, without snapshots:
 * simple enough to be the model that the other book is tested against.
 */
export class NaiveConfigBook implements ConfigBook {
  private readonly entries: ConfigEntry[] = [];
  private readonly maxVerdicts: number;
  private isGap = true;

  constructor({maxVerdicts = DEFAULT_MAX_VERDICTS}: ConfigBookOptions = {}) {
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
    const {tables, list} = this.replay();
    const throughOffset = this.nextOffset - 1;
    return {
      type: 'snapshot',
      through_offset: throughOffset,
      tables,
      verdicts: list,
    };
  }

  tables(): core.Tables {
    return this.replay().tables;
  }

  verdict(editId: string): core.Verdict | undefined {
    return this.verdicts().find(verdict => verdict.edit_id === editId);
  }

  verdicts(): readonly core.Verdict[] {
    return this.replay().list;
  }

  private replay() {
    let tables = core.emptyTables();
    let list: core.Verdict[] = [];
    for (const {offset, record} of this.entries) {
      const edit = parse(record);
      if (edit?.type !== 'edit') continue;
      if (list.some(verdict => verdict.edit_id === edit.edit_id)) continue;
      const judgement = edits.judge(tables, edit, offset);
      tables = judgement.tables;
      list = [...list, judgement.verdict].slice(-this.maxVerdicts);
    }
    return {tables, list};
  }
}
