/**
 * Verdicts: the newest ones by edit id, the oldest first. The bound is part of
 * what readers agree on: an id that has fallen out is not recognised again.
 */
import type * as core from '@oleanderrock/core';

/** Bounded list of verdicts with look-up by edit id. */
export class VerdictList {
  private readonly byId = new Map<string, core.Verdict>();

  constructor(private readonly max: number) {}

  get(editId: string): core.Verdict | undefined {
    return this.byId.get(editId);
  }

  /** Adds a verdict on an edit that the list does not hold. */
  add(verdict: core.Verdict): void {
    this.byId.set(verdict.edit_id, verdict);
    for (const oldest of this.byId.keys()) {
      if (this.byId.size <= this.max) return;
      this.byId.delete(oldest);
    }
  }

  /** Puts the given verdicts in the place of all. */
  replace(verdicts: readonly core.Verdict[]): void {
    this.byId.clear();
    for (const verdict of verdicts) this.add(verdict);
  }

  all(): readonly core.Verdict[] {
    return [...this.byId.values()];
  }
}
