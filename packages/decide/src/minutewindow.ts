/**
 * Sums over the last minute, kept in time slots. A slot leaves the window as a
 * whole, so a sum may cover up to one slot more than a minute.
 */

/** Length of the window in ms. */
export const WINDOW_MS = 60_000;

/** Number of slots in the window. */
export const WINDOW_SLOTS = 12;

/** Length of a slot in ms. */
export const SLOT_MS = WINDOW_MS / WINDOW_SLOTS;

/** Requests and tokens. */
export interface UsageAmount {
  readonly requests: number;
  readonly tokens: number;
}

interface Slot {
  /** Number of the slot, counted from time 0. */
  index: number;
  requests: number;
  tokens: number;
}

/** Requests and tokens of the last minute, or up to one slot more. */
export class MinuteWindow {
  /** In ascending order of time; slots without usage are left out. */
  private slots: Slot[] = [];

  add({requests, tokens}: UsageAmount, nowMs: number): void {
    const index = slotIndex(nowMs);
    this.slots = this.slotsFrom(index - WINDOW_SLOTS);
    const last = this.slots.at(-1);
    if (last?.index === index) {
      last.requests += requests;
      last.tokens += tokens;
    } else {
      this.slots.push({index, requests, tokens});
    }
  }

  /**
   * The sum over the window as it will be `slotsAhead` slots from now, if
   * nothing is added until then.
   */
  sum(nowMs: number, slotsAhead = 0): UsageAmount {
    const slots = this.slotsFrom(slotIndex(nowMs) + slotsAhead - WINDOW_SLOTS);
    return {
      requests: slots.reduce((total, slot) => total + slot.requests, 0),
      tokens: slots.reduce((total, slot) => total + slot.tokens, 0),
    };
  }

  private slotsFrom(index: number): Slot[] {
    return this.slots.filter(slot => slot.index >= index);
  }
}

/** Time until the next slot begins and the oldest one leaves, in ms. */
export function msUntilNextSlot(nowMs: number): number {
  return (slotIndex(nowMs) + 1) * SLOT_MS - nowMs;
}

function slotIndex(nowMs: number): number {
  return Math.floor(nowMs / SLOT_MS);
}
