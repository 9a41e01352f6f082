/** Sums over the last minute, in slots that leave one by one. */

/** Length of the window in ms. */
export const WINDOW_MS = 60_000;

/** How many slots the window has. */
export const WINDOW_SLOTS = 12;

/** Length of a slot in ms. */
export const SLOT_MS = WINDOW_MS / WINDOW_SLOTS;

/** Requests and tokens. */
export interface Amount {
  readonly requests: number;
  readonly tokens: number;
}

interface Slot {
  /** Number of the slot since the origin of time. */
  index: number;
  requests: number;
  tokens: number;
}

/** Requests and tokens of the last minute, up to one slot more. */
export class MinuteWindow {
  /** In the order of time; slots without use are left out. */
  private slots: Slot[] = [];

  add({requests, tokens}: Amount, nowMs: number): void {
    const index = slotAt(nowMs);
    this.slots = this.since(index - WINDOW_SLOTS);
    const last = this.slots.at(-1);
    if (last?.index === index) {
      last.requests += requests;
      last.tokens += tokens;
    } else {
      this.slots.push({index, requests, tokens});
    }
  }

  /** The sum that is left after `laterSlots` more slots have passed. */
  sum(nowMs: number, laterSlots = 0): Amount {
    const slots = this.since(slotAt(nowMs) + laterSlots - WINDOW_SLOTS);
    return {
      requests: slots.reduce((total, slot) => total + slot.requests, 0),
      tokens: slots.reduce((total, slot) => total + slot.tokens, 0),
    };
  }

  private since(index: number): Slot[] {
    return this.slots.filter(slot => slot.index >= index);
  }
}

/** When the window's next slot leaves, in ms from now. */
export function nextSlotMs(nowMs: number): number {
  return (slotAt(nowMs) + 1) * SLOT_MS - nowMs;
}

function slotAt(nowMs: number): number {
  return Math.floor(nowMs / SLOT_MS);
}
