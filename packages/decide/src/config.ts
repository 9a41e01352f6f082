/**
 * Configuration: the tables as a function of the log's prefix. Every router
 * replays the same records in the same order and reaches the same verdicts.
 */
import type * as core from '@oleanderrock/core';

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
