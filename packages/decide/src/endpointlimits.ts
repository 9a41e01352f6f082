/**
 * Limits that endpoints name in their responses: the requests a second that an
 * endpoint takes from all routers together, for as long as it says so. The
 * newest statement about a lifetime of an endpoint holds, whether this router
 * heard it or another one.
 */
import type * as endpointNotices from './endpointnotices.js';

/** What an endpoint said of its limit, as routers tell each other. */
export interface LimitNote extends endpointNotices.EndpointLifetime {
  /** Requests a second of all routers; absent if there is no limit any more. */
  readonly perSecond?: number;
  /** Monotonic time of the response that said so, in ms. */
  readonly observedAtMs: number;
}

/** Keeps the limits of endpoints. */
export interface EndpointLimits {
  /** Records what a response to this router says. */
  recordResponse(note: LimitNote): void;
  /** Applies a note of another router; returns whether it was new. */
  applyNote(note: LimitNote): boolean;
  /** Requests a second that the endpoint takes; undefined if it named none. */
  limitOf(lifetime: endpointNotices.EndpointLifetime): number | undefined;
  /** What this router heard first, for the other routers. */
  takeNews(): readonly LimitNote[];
  /** The limits in force, for a router that has just started. */
  all(): readonly LimitNote[];
}

/** Maximum number of endpoints of which a statement is kept. */
const MAX_ENDPOINTS = 4_096;

/** Relative change of a limit that is told other routers. */
const MIN_TOLD_CHANGE = 0.1;

/** Options of `NewestEndpointLimits`. */
export interface NewestEndpointLimitsOptions {
  /** Called when there is news for the other routers. */
  readonly onNews?: () => void;
}

/** Keeps the newest statement about each endpoint. */
export class NewestEndpointLimits implements EndpointLimits {
  /** By id, in the order in which they were recorded. */
  private readonly notes = new Map<string, LimitNote>();
  private readonly news = new Map<string, LimitNote>();
  private readonly onNews: () => void;

  constructor({onNews = () => undefined}: NewestEndpointLimitsOptions = {}) {
    this.onNews = onNews;
  }

  recordResponse(note: LimitNote): void {
    const previousPerSecond = this.limitOf(note);
    if (!this.keepNewest(note)) return;
    if (!isChange(previousPerSecond, note.perSecond)) return;
    this.news.set(note.id, note);
    this.onNews();
  }

  applyNote(note: LimitNote): boolean {
    const previousPerSecond = this.limitOf(note);
    if (!this.keepNewest(note)) return false;
    return isChange(previousPerSecond, note.perSecond);
  }

  limitOf({id, bornMs}: endpointNotices.EndpointLifetime): number | undefined {
    const note = this.notes.get(id);
    return note && note.bornMs === bornMs ? note.perSecond : undefined;
  }

  takeNews(): readonly LimitNote[] {
    const news = [...this.news.values()];
    this.news.clear();
    return news;
  }

  all(): readonly LimitNote[] {
    return [...this.notes.values()].filter(
      ({perSecond}) => perSecond !== undefined,
    );
  }

  /** Returns false if a newer statement about the lifetime is known. */
  private keepNewest(note: LimitNote): boolean {
    const known = this.notes.get(note.id);
    const isKnownNewer =
      known?.bornMs === note.bornMs &&
      known !== undefined &&
      known.observedAtMs >= note.observedAtMs;
    if (isKnownNewer) return false;
    // An endpoint without a limit need not be kept, unless to outdate a note.
    if (!known && note.perSecond === undefined) return false;
    // Deleting first moves a known endpoint to the end.
    this.notes.delete(note.id);
    this.notes.set(note.id, note);
    if (this.notes.size <= MAX_ENDPOINTS) return true;
    const [oldest] = this.notes.keys();
    this.notes.delete(oldest!);
    return true;
  }
}

/** Baseline: does not know of limits. */
export class NoEndpointLimits implements EndpointLimits {
  recordResponse(): void {}

  applyNote(): boolean {
    return false;
  }

  limitOf(): undefined {
    return undefined;
  }

  takeNews(): readonly LimitNote[] {
    return [];
  }

  all(): readonly LimitNote[] {
    return [];
  }
}

function isChange(
  previous: number | undefined,
  next: number | undefined,
): boolean {
  if (previous === undefined || next === undefined) return previous !== next;
  return Math.abs(next - previous) > previous * MIN_TOLD_CHANGE;
}
