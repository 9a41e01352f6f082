/**
 * Retry budget by pool, shared by all routers without communication: within any
 * window, each router may retry a ratio of its own first sends, plus an equal
 * part of a fixed slack.
 */

/** Limits of the budget. */
export interface PoolRetryBudgetOptions {
  /** Retries allowed for each first send. */
  readonly ratio: number;
  /** Additional retries in one window, over the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Retry budget by pool. */
export interface PoolRetryBudget {
  /** Records a first send to the pool. */
  recordFirstSend(pool: string, nowMs: number): void;
  /**
   * Takes one retry; false if the budget is used up.
   * @param routerCount number of live routers, which share the slack
   */
  trySpend(pool: string, routerCount: number, nowMs: number): boolean;
  /** Whether a retry could be taken now. */
  canSpend(pool: string, routerCount: number, nowMs: number): boolean;
}

/**
 * Share of the budget that may be used; less than 1, since routers may disagree
 * on the number of live routers.
 */
const SAFE_SHARE = 0.8;

/** Number of slots in a window; a slot leaves the window as a whole. */
const SLOTS = 10;

interface Slot {
  readonly index: number;
  firstSends: number;
  retries: number;
}

/** Counts first sends and retries in a sliding window. */
export class SlidingPoolRetryBudget implements PoolRetryBudget {
  /** In ascending order of time. */
  private readonly slotsByPool = new Map<string, Slot[]>();

  constructor(private readonly options: PoolRetryBudgetOptions) {}

  recordFirstSend(pool: string, nowMs: number): void {
    this.currentSlot(pool, nowMs).firstSends += 1;
  }

  trySpend(pool: string, routerCount: number, nowMs: number): boolean {
    if (!this.canSpend(pool, routerCount, nowMs)) return false;
    this.currentSlot(pool, nowMs).retries += 1;
    return true;
  }

  canSpend(pool: string, routerCount: number, nowMs: number): boolean {
    this.currentSlot(pool, nowMs);
    const slots = this.slotsByPool.get(pool) ?? [];
    const firstSends = slots.reduce((sum, slot) => sum + slot.firstSends, 0);
    const retries = slots.reduce((sum, slot) => sum + slot.retries, 0);
    const {ratio, slack} = this.options;
    const allowed = ratio * firstSends + slack / Math.max(1, routerCount);
    return retries + 1 <= allowed * SAFE_SHARE;
  }

  private currentSlot(pool: string, nowMs: number): Slot {
    const index = Math.floor((nowMs * SLOTS) / this.options.windowMs);
    const slots = this.slotsByPool.get(pool) ?? [];
    const inWindow = slots.filter(slot => slot.index > index - SLOTS);
    let current = inWindow.at(-1);
    if (current?.index !== index) {
      current = {index, firstSends: 0, retries: 0};
      inWindow.push(current);
    }
    this.slotsByPool.set(pool, inWindow);
    return current;
  }
}
