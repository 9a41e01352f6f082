/**
 * One budget of processor time for all connections that send very many small
 * items, such as chunks of one byte: counted in items, it fills at a constant
 * rate. A connection below a rate of its own is free. What is beyond that is
 * charged, and when the budget is used up, such connections are read in turn.
 *
 * Answers a peer, or a crowd of them, whose bytes are few and cost much.
 */

/** Items that a connection may send within a window without being charged. */
const FREE_ITEMS = 256;
const WINDOW_MS = 100;

/** Limits of the budget. */
export interface ItemBudgetOptions {
  readonly itemsPerS: number;
  /** Items that may be charged at once. */
  readonly burstItems: number;
  /** Largest debt, so that a burst of many connections has an end. */
  readonly maxDebtItems: number;
}

/** The items of one connection. */
export class ItemCount {
  private items = 0;
  private windowStartMs = Number.NEGATIVE_INFINITY;

  /**
   * Adds items; returns whether they are beyond what is free.
   * @param now returns the monotonic time in ms; called in few cases only
   */
  add(items: number, now: () => number): boolean {
    this.items += items;
    if (this.items <= FREE_ITEMS) return false;
    const nowMs = now();
    const isWindowOver = nowMs - this.windowStartMs > WINDOW_MS;
    if (!isWindowOver) return true;
    // The items before took longer than a window.
    this.items = items;
    this.windowStartMs = nowMs;
    return items > FREE_ITEMS;
  }

  /** Takes the items of the window, which begins anew. */
  take(nowMs: number): number {
    const {items} = this;
    this.items = 0;
    this.windowStartMs = nowMs;
    return items;
  }
}

/** The budget of a process. */
export class ItemBudget {
  private items: number;
  private updatedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ItemBudgetOptions) {
    this.items = options.burstItems;
  }

  /** Charges items. */
  charge(items: number, nowMs: number): void {
    this.refill(nowMs);
    this.items = Math.max(this.items - items, -this.options.maxDebtItems);
  }

  /** Time until something may be read again, in ms; 0 if it may at once. */
  delayMs(nowMs: number): number {
    this.refill(nowMs);
    return Math.max(0, (-this.items / this.options.itemsPerS) * 1_000);
  }

  private refill(nowMs: number): void {
    const {itemsPerS, burstItems} = this.options;
    const elapsedS = Math.max(0, nowMs - this.updatedMs) / 1_000;
    this.items = Math.min(burstItems, this.items + itemsPerS * elapsedS);
    this.updatedMs = nowMs;
  }
}
