/** An engine's cache events, published late and with gaps. */
import type * as core from '@oleanderrock/core';

const MAX_EVENTS = 10_000;
const PAGE_EVENTS = 1_000;

/** One cache event as it is published. */
export interface CacheEvent {
  readonly type: 'stored' | 'evicted';
  readonly chat: string;
  readonly at_ms: number;
}

/** A page of events. */
export interface EventPage {
  /** Where the next page begins. */
  readonly next: number;
  readonly events: CacheEvent[];
}

interface Numbered {
  readonly index: number;
  readonly event: CacheEvent;
}

/** The newest cache events. */
export class CacheEvents {
  private readonly kept: Numbered[] = [];
  private next = 0;

  constructor(private readonly clock: core.Clock) {}

  /** Adds an event; each `gapEvery`th is lost, none where it is 0. */
  add(type: CacheEvent['type'], chat: string, gapEvery: number): void {
    const index = this.next;
    this.next += 1;
    if (gapEvery > 0 && index % gapEvery === gapEvery - 1) return;
    const event = {type, chat, at_ms: this.clock.wallClockMs()};
    this.kept.push({index, event});
    if (this.kept.length > MAX_EVENTS) this.kept.shift();
  }

  /** The events from `from` on that are older than `lagMs`. */
  read(from: number, lagMs: number): EventPage {
    const newestMs = this.clock.wallClockMs() - lagMs;
    const page = this.kept
      .filter(({index, event}) => index >= from && event.at_ms <= newestMs)
      .slice(0, PAGE_EVENTS);
    const last = page.at(-1);
    const next = last ? last.index + 1 : from;
    return {next, events: page.map(({event}) => event)};
  }
}
