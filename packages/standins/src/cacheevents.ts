/** Cache events of an engine, published with a delay and with gaps. */
import type * as core from '@oleanderrock/core';

const MAX_EVENTS = 10_000;
const MAX_PAGE_EVENTS = 1_000;

/** A prefix stored in or evicted from the cache, as published. */
export interface CacheEvent {
  readonly type: 'stored' | 'evicted';
  readonly chat: string;
  readonly at_ms: number;
}

/** One page of events. */
export interface EventPage {
  /** Index at which the next page starts. */
  readonly next: number;
  readonly events: CacheEvent[];
}

interface NumberedEvent {
  readonly index: number;
  readonly event: CacheEvent;
}

/** Bounded buffer of the newest cache events. */
export class CacheEvents {
  private readonly events: NumberedEvent[] = [];
  private nextIndex = 0;

  constructor(private readonly clock: core.Clock) {}

  /** Adds an event; every `gapEvery`th is dropped, none if it is 0. */
  add(type: CacheEvent['type'], chat: string, gapEvery: number): void {
    const index = this.nextIndex;
    this.nextIndex += 1;
    if (gapEvery > 0 && index % gapEvery === gapEvery - 1) return;
    const event = {type, chat, at_ms: this.clock.wallClockMs()};
    this.events.push({index, event});
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }

  /** Events from the index `from` on that are at least `lagMs` old. */
  read(from: number, lagMs: number): EventPage {
    const newestMs = this.clock.wallClockMs() - lagMs;
    const page = this.events
      .filter(({index, event}) => index >= from && event.at_ms <= newestMs)
      .slice(0, MAX_PAGE_EVENTS);
    const last = page.at(-1);
    const next = last ? last.index + 1 : from;
    return {next, events: page.map(({event}) => event)};
  }
}
