/**
 * Endpoints that are cold: for some time after their start, or after they came
 * back, they take few requests a second and crash under many more. What is known
 * of one lifetime is the latest end that anybody gave; nobody can make it
 * shorter, so a report from before it became cold does no harm.
 */
import type * as endpointNotices from './endpointnotices.js';

/** That an endpoint is cold until then. */
export interface ColdNote extends endpointNotices.EndpointLifetime {
  /** Monotonic time of the end, in ms. */
  readonly untilMs: number;
}

/** Keeps which endpoints are cold. */
export interface ColdEndpoints {
  /** Records what this router found; returns whether that is news to it. */
  recordCold(note: ColdNote, nowMs: number): boolean;
  /** Applies a note of another router; returns whether it was news. */
  applyNote(note: ColdNote, nowMs: number): boolean;
  /** Whether any endpoint may be cold. */
  areAny(): boolean;
  /** Time until the endpoint is warm, in ms; 0 if it is. */
  leftMs(lifetime: endpointNotices.EndpointLifetime, nowMs: number): number;
  /** What this router found first, for the other routers. */
  takeNews(): readonly ColdNote[];
  /** All cold endpoints, for a router that has just started. */
  all(nowMs: number): readonly ColdNote[];
}

/** Maximum number of endpoints that are kept. */
const MAX_ENDPOINTS = 4_096;

/**
 * Shortest extension that counts as news, in ms: each report gives an end that is
 * late by the age of what it read.
 */
const MIN_EXTENSION_MS = 1_200;

/** Longest time for which an endpoint is believed to be cold, in ms. */
const MAX_COLD_MS = 60_000;

/** Options of `WarmingEndpoints`. */
export interface WarmingEndpointsOptions {
  /** Called when there is news for the other routers. */
  readonly onNews?: () => void;
}

/** Keeps the latest end for the newest lifetime of each endpoint. */
export class WarmingEndpoints implements ColdEndpoints {
  /** By id, in the order in which they were recorded. */
  private readonly notes = new Map<string, ColdNote>();
  private readonly news = new Map<string, ColdNote>();
  private readonly onNews: () => void;

  constructor({onNews = () => undefined}: WarmingEndpointsOptions = {}) {
    this.onNews = onNews;
  }

  recordCold(note: ColdNote, nowMs: number): boolean {
    if (!this.keep(note, nowMs)) return false;
    this.news.set(note.id, note);
    this.onNews();
    return true;
  }

  applyNote(note: ColdNote, nowMs: number): boolean {
    return this.keep(note, nowMs);
  }

  areAny(): boolean {
    return this.notes.size > 0;
  }

  leftMs(
    {id, bornMs}: endpointNotices.EndpointLifetime,
    nowMs: number,
  ): number {
    const note = this.notes.get(id);
    if (!note || note.bornMs !== bornMs) return 0;
    if (note.untilMs > nowMs) return note.untilMs - nowMs;
    this.notes.delete(id);
    return 0;
  }

  takeNews(): readonly ColdNote[] {
    const news = [...this.news.values()];
    this.news.clear();
    return news;
  }

  all(nowMs: number): readonly ColdNote[] {
    return [...this.notes.values()].filter(({untilMs}) => untilMs > nowMs);
  }

  /** Returns false if the note says little that is new. */
  private keep(note: ColdNote, nowMs: number): boolean {
    const untilMs = Math.min(note.untilMs, nowMs + MAX_COLD_MS);
    if (untilMs <= nowMs) return false;
    this.evictWarm(nowMs);
    const known = this.notes.get(note.id);
    if (known && (known.bornMs ?? 0) > (note.bornMs ?? 0)) return false;
    const isSame = known !== undefined && known.bornMs === note.bornMs;
    const knownUntilMs = isSame ? known.untilMs : 0;
    if (untilMs <= knownUntilMs) return false;
    // Deleting first moves a known endpoint to the end.
    this.notes.delete(note.id);
    this.notes.set(note.id, {...note, untilMs});
    if (this.notes.size > MAX_ENDPOINTS) {
      const [oldest] = this.notes.keys();
      this.notes.delete(oldest!);
    }
    return untilMs - knownUntilMs >= MIN_EXTENSION_MS;
  }

  private evictWarm(nowMs: number): void {
    for (const [id, {untilMs}] of this.notes) {
      if (untilMs <= nowMs) this.notes.delete(id);
    }
  }
}

/** Baseline: counts every endpoint as warm. */
export class AlwaysWarmEndpoints implements ColdEndpoints {
  recordCold(): boolean {
    return false;
  }

  applyNote(): boolean {
    return false;
  }

  areAny(): boolean {
    return false;
  }

  leftMs(): number {
    return 0;
  }

  takeNews(): readonly ColdNote[] {
    return [];
  }

  all(): readonly ColdNote[] {
    return [];
  }
}
