/**
 * A budget of repeated sends that all routers share without talking: each may
 * repeat a ratio of its own first sends plus an equal part of the slack, within
 * any window.
 */

/** What the budget allows in one window. */
export interface SharedRetryOptions {
  /** Repeats for each first send. */
  readonly ratio: number;
  /** Repeats of the whole fleet beyond the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Strategy of a budget of repeats, by pool. */
export interface RepeatBudget {
  /** Notes a first send to the pool. */
  sent(pool: string, nowMs: number): void;
  /** Takes one repeat; false where the budget is used up. */
  spend(pool: string, routers: number, nowMs: number): boolean;
}

/** Part of the allowed amount that is used: routers disagree on their number. */
const SAFE_SHARE = 0.8;

/** Slots of a window, which leave it one by one. */
const SLOTS = 10;

interface Slot {
  readonly index: number;
  first: number;
  repeats: number;
}

/** Counts first sends and repeats in a sliding window. */
export class SlidingRepeatBudget implements RepeatBudget {
  private readonly slots = new Map<string, Slot[]>();

  constructor(private readonly options: SharedRetryOptions) {}

  sent(pool: string, nowMs: number): void {
    this.slot(pool, nowMs).first += 1;
  }

  spend(pool: string, routers: number, nowMs: number): boolean {
    const current = this.slot(pool, nowMs);
    const kept = this.slots.get(pool) ?? [];
    const first = kept.reduce((sum, slot) => sum + slot.first, 0);
    const repeats = kept.reduce((sum, slot) => sum + slot.repeats, 0);
    const {ratio, slack} = this.options;
    const allowed = ratio * first + slack / Math.max(1, routers);
    if (repeats + 1 > allowed * SAFE_SHARE) return false;
    current.repeats += 1;
    return true;
  }

  private slot(pool: string, nowMs: number): Slot {
    const index = Math.floor((nowMs * SLOTS) / this.options.windowMs);
    const known = this.slots.get(pool) ?? [];
    const kept = known.filter(slot => slot.index > index - SLOTS);
    let current = kept.at(-1);
    if (current?.index !== index) {
      current = {index, first: 0, repeats: 0};
      kept.push(current);
    }
    this.slots.set(pool, kept);
    return current;
  }
}
