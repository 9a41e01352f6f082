/**
 * The newest verdicts on edits. An edit whose verdict was evicted is no longer
 * recognised as a repeat, so all routers must use the same limit to reach the
 * same tables.
 */
import type * as core from '@oleanderrock/core';

/** Bounded list of verdicts, oldest first, with look-up by edit id. */
export class VerdictList {
  private readonly byId = new Map<string, core.Verdict>();

  constructor(private readonly maxVerdicts: number) {}

  get(editId: string): core.Verdict | undefined {
    return this.byId.get(editId);
  }

  /** Adds the verdict on an edit that is not in the list; evicts the oldest. */
  add(verdict: core.Verdict): void {
    this.byId.set(verdict.edit_id, verdict);
    for (const oldest of this.byId.keys()) {
      if (this.byId.size <= this.maxVerdicts) return;
      this.byId.delete(oldest);
    }
  }

  /** Replaces the contents of the list. */
  replace(verdicts: readonly core.Verdict[]): void {
    this.byId.clear();
    for (const verdict of verdicts) this.add(verdict);
  }

  all(): readonly core.Verdict[] {
    return [...this.byId.values()];
  }
}
