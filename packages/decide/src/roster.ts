/**
 * Roster: the instances currently in use, from the platform's list. An instance
 * that disappears without having been listed as leaving is kept for a while, so
 * that a flapping list does not move chats back and forth.
 */

/** The parts of a listed instance that the roster uses. */
export interface ListedInstance {
  readonly name: string;
  readonly state: 'live' | 'leaving';
}

/** The instances currently in use. */
export interface Roster<T extends ListedInstance> {
  /** Applies a new list from the platform. */
  update(listed: readonly T[], nowMs: number): void;
  /** Drops a lingering instance, because it cannot be reached. */
  drop(name: string): void;
  /** Instances of the newest list, then lingering ones. */
  currentInstances(nowMs: number): readonly T[];
}

/** Options of `LingeringRoster`. */
export interface LingeringRosterOptions {
  /** How long an instance is kept after it has disappeared from the list. */
  readonly lingerMs: number;
  /** How long instances are kept if more than half disappear at once. */
  readonly massLingerMs?: number;
}

const DEFAULT_MASS_LINGER_MS = 60_000;

interface LingeringInstance<T> {
  readonly item: T;
  readonly untilMs: number;
}

/**
 * Keeps an instance for a while after it has disappeared from the list; for
 * longer if more than half of the list disappears at once.
 */
export class LingeringRoster<T extends ListedInstance> implements Roster<T> {
  private listed: readonly T[] = [];
  private readonly lingering = new Map<string, LingeringInstance<T>>();

  constructor(private readonly options: LingeringRosterOptions) {}

  update(listed: readonly T[], nowMs: number): void {
    const names = new Set(listed.map(item => item.name));
    const disappeared = this.listed.filter(
      item => !names.has(item.name) && item.state === 'live',
    );
    const isMassLoss = disappeared.length * 2 > this.listed.length;
    const untilMs = nowMs + this.lingerMs(isMassLoss);
    for (const item of disappeared) {
      this.lingering.set(item.name, {item, untilMs});
    }
    for (const name of names) this.lingering.delete(name);
    this.listed = listed;
  }

  drop(name: string): void {
    this.lingering.delete(name);
  }

  currentInstances(nowMs: number): readonly T[] {
    const lingering: T[] = [];
    for (const [name, {item, untilMs}] of this.lingering) {
      if (untilMs > nowMs) lingering.push(item);
      else this.lingering.delete(name);
    }
    return lingering.length === 0
      ? this.listed
      : [...this.listed, ...lingering];
  }

  private lingerMs(isMassLoss: boolean): number {
    const {lingerMs, massLingerMs = DEFAULT_MASS_LINGER_MS} = this.options;
    return isMassLoss ? massLingerMs : lingerMs;
  }
}

/** Baseline: uses the instances of the newest list only. */
export class NaiveRoster<T extends ListedInstance> implements Roster<T> {
  private listed: readonly T[] = [];

  update(listed: readonly T[]): void {
    this.listed = listed;
  }

  drop(name: string): void {
    this.listed = this.listed.filter(item => item.name !== name);
  }

  currentInstances(): readonly T[] {
    return this.listed;
  }
}
