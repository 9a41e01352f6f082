/**
 * Roster: the instances to reckon with, from the platform's list. An instance
 * that vanishes without having been listed as leaving lingers a little, so
 * that a list that flaps does not drag chats back and forth.
 */

/** What the roster needs to know of an instance. */
export interface Listed {
  readonly name: string;
  readonly state: 'live' | 'leaving';
}

/** Instances to reckon with. */
export interface Roster<T extends Listed> {
  /** Takes in a new list. */
  update(listed: readonly T[], nowMs: number): void;
  /** Drops an instance that lingers, since it cannot be reached. */
  drop(name: string): void;
  /** Instances of the newest list, then those that linger. */
  current(nowMs: number): readonly T[];
}

/** Options of the lingering roster. */
export interface LingeringRosterOptions {
  /** How long a vanished instance lingers. */
  readonly lingerMs: number;
  /** The same where most of the list vanished at once. */
  readonly massLingerMs?: number;
}

const DEFAULT_MASS_LINGER_MS = 60_000;

interface Lingering<T> {
  readonly item: T;
  readonly untilMs: number;
}

/** Lets vanished instances linger; longer where most vanish at once. */
export class LingeringRoster<T extends Listed> implements Roster<T> {
  private listed: readonly T[] = [];
  private readonly lingering = new Map<string, Lingering<T>>();

  constructor(private readonly options: LingeringRosterOptions) {}

  update(listed: readonly T[], nowMs: number): void {
    const names = new Set(listed.map(item => item.name));
    const vanished = this.listed.filter(
      item => !names.has(item.name) && item.state === 'live',
    );
    const isMass = vanished.length * 2 > this.listed.length;
    const untilMs = nowMs + this.lingerMs(isMass);
    for (const item of vanished) {
      this.lingering.set(item.name, {item, untilMs});
    }
    for (const name of names) this.lingering.delete(name);
    this.listed = listed;
  }

  drop(name: string): void {
    this.lingering.delete(name);
  }

  current(nowMs: number): readonly T[] {
    const kept: T[] = [];
    for (const [name, {item, untilMs}] of this.lingering) {
      if (untilMs > nowMs) kept.push(item);
      else this.lingering.delete(name);
    }
    return kept.length === 0 ? this.listed : [...this.listed, ...kept];
  }

  private lingerMs(isMass: boolean): number {
    const {lingerMs, massLingerMs = DEFAULT_MASS_LINGER_MS} = this.options;
    return isMass ? massLingerMs : lingerMs;
  }
}

/** Reckons with what the newest list holds and nothing else. */
export class NaiveRoster<T extends Listed> implements Roster<T> {
  private listed: readonly T[] = [];

  update(listed: readonly T[]): void {
    this.listed = listed;
  }

  drop(name: string): void {
    this.listed = this.listed.filter(item => item.name !== name);
  }

  current(): readonly T[] {
    return this.listed;
  }
}
