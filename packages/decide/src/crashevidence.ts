/**
 * Evidence that a crash key crashes endpoints: the crashes at which a request
 * with the key was running and had not begun to answer.
 */
import * as boundedMap from './boundedmap.js';
import * as crashKeys from './crashkeys.js';

/** A crash of an endpoint, as one router saw it. */
export interface CrashNote {
  /** Identifies the endpoint's lifetime that the crash ended. */
  readonly crash: number;
  /** Identifies the router that saw it. */
  readonly reporter: number;
  /** Monotonic time of the crash, in ms. */
  readonly atMs: number;
  /** Keys of the requests that had not begun to answer. */
  readonly keys: readonly string[];
}

/** A crash under a key, by one or more routers. */
interface Observation {
  readonly crash: number;
  readonly atMs: number;
  readonly reporters: readonly number[];
  /** Key of another whole request that could have caused it. */
  readonly beside: string | undefined;
}

/** Maximum number of crashes kept for a key. */
const MAX_OBSERVATIONS = 8;

/** Maximum number of routers kept for a crash. */
const MAX_REPORTERS = 4;

/** Time for which a crash counts, in ms. */
const VALID_MS = 60_000;

/** Crashes closer to each other than this count as one, in ms. */
const MIN_SPACING_MS = 300;

/** Time in which the routers of a small fleet have told of a crash, in ms. */
const SETTLE_MS = 60;

/** Shortest time from the first crash until a part is condemned, in ms. */
const MIN_STAND_MS = 1_000;

/** Crashes, not of one moment, that condemn a part of prompts. */
const PART_CRASHES = 3;

/** Crashes that condemn it if they are of two moments at least. */
const MANY_PART_CRASHES = 5;
const MANY_PART_MOMENTS = 2;

/** Weight that condemns a whole request; one that ran alone counts double. */
const WHOLE_WEIGHT = 3;

/** Crashes that count of one other router. */
const MAX_PER_REPORTER = 2;

/** Options of `CrashEvidence`. */
export interface CrashEvidenceOptions {
  /** Identifies this router, whose own crashes all count. */
  readonly reporter: number;
  readonly maxKeys: number;
}

/**
 * The note with some of its keys only, and with one of another whole request if
 * it has any, without which a request seems to have run alone.
 */
export function withKeys(note: CrashNote, keys: readonly string[]): CrashNote {
  const wholeCount = keys.filter(crashKeys.isWholeRequest).length;
  const beside =
    wholeCount === 1
      ? note.keys.find(
          key => crashKeys.isWholeRequest(key) && !keys.includes(key),
        )
      : undefined;
  return {...note, keys: beside === undefined ? keys : [...keys, beside]};
}

/** The evidence against all keys. */
export class CrashEvidence {
  private readonly byKey: boundedMap.BoundedMap<readonly Observation[]>;

  constructor(private readonly options: CrashEvidenceOptions) {
    this.byKey = new boundedMap.BoundedMap(options.maxKeys);
  }

  /** Number of keys with evidence. */
  get size(): number {
    return this.byKey.size;
  }

  /** Adds a crash under a key; returns false if it was known. */
  add(key: string, note: CrashNote): boolean {
    const {crash, atMs, reporter} = note;
    const observations = this.byKey.get(key) ?? [];
    const known = observations.find(other => other.crash === crash);
    if (known?.reporters.includes(reporter)) return false;
    if (known && known.reporters.length >= MAX_REPORTERS) return false;
    const isBeside = (other: string) =>
      crashKeys.isWholeRequest(other) && other !== key;
    const observation: Observation = known
      ? {...known, reporters: [...known.reporters, reporter]}
      : {crash, atMs, reporters: [reporter], beside: note.keys.find(isBeside)};
    const others = observations.filter(other => other.crash !== crash);
    const all = [...others, observation].sort((a, b) => a.atMs - b.atMs);
    this.byKey.set(key, all.slice(-MAX_OBSERVATIONS));
    return true;
  }

  /** Drops crashes up to a time; returns whether there were any. */
  dropUntil(key: string, atMs: number): boolean {
    return this.retain(key, observation => observation.atMs > atMs);
  }

  /**
   * Drops the crashes under a key, which explains them, for all keys with fewer
   * crashes.
   */
  explainBy(cause: string): void {
    const crashes = new Set(this.crashesOf(cause));
    for (const [key, observations] of [...this.byKey]) {
      if (key === cause || observations.length >= crashes.size) continue;
      this.retain(key, ({crash}) => !crashes.has(crash));
    }
  }

  /** Crashes under the key, the oldest first. */
  crashesOf(key: string): readonly number[] {
    return (this.byKey.get(key) ?? []).map(({crash}) => crash);
  }

  /** Time of the last crash under the key; undefined if there is none. */
  lastCrashMs(key: string): number | undefined {
    return this.byKey.get(key)?.at(-1)?.atMs;
  }

  /** Whether one more crash may condemn the key. */
  isSuspect(key: string, nowMs: number): boolean {
    const crashes = this.countedCrashes(key, nowMs);
    return crashKeys.isWholeRequest(key)
      ? crashes.length > 0
      : countSpaced(crashes) >= PART_CRASHES - 1 ||
          crashes.length >= MANY_PART_CRASHES - 1;
  }

  /** Whether the evidence condemns the key. */
  condemns(key: string, nowMs: number): boolean {
    const crashes = this.countedCrashes(key, nowMs);
    if (crashKeys.isWholeRequest(key)) {
      const soleCount = crashes.filter(
        ({beside}) => beside === undefined,
      ).length;
      return crashes.length > 1 && crashes.length + soleCount >= WHOLE_WEIGHT;
    }
    const [first] = crashes;
    if (!first || nowMs - first.atMs < MIN_STAND_MS) return false;
    if (nowMs - crashes.at(-1)!.atMs < SETTLE_MS) return false;
    const moments = countSpaced(crashes);
    if (moments >= PART_CRASHES) return true;
    return moments >= MANY_PART_MOMENTS && crashes.length >= MANY_PART_CRASHES;
  }

  /**
   * The crashes under the key, as notes to other routers. That on a whole request
   * has the key of one beside it, if there was any.
   */
  notesOf(key: string): readonly CrashNote[] {
    const isWhole = crashKeys.isWholeRequest(key);
    return (this.byKey.get(key) ?? []).flatMap(
      ({crash, atMs, reporters, beside}) => {
        const keys = isWhole && beside !== undefined ? [key, beside] : [key];
        return reporters.map(reporter => ({crash, atMs, reporter, keys}));
      },
    );
  }

  /** Whether there were several crashes under the key. */
  isRepeated(key: string): boolean {
    return (this.byKey.get(key)?.length ?? 0) > 1;
  }

  /**
   * The recent crashes under the key, without those beyond the limit of the
   * router that saw them.
   */
  private countedCrashes(key: string, nowMs: number): readonly Observation[] {
    const counts = new Map<number, number>();
    return (this.byKey.get(key) ?? []).filter(({atMs, reporters}) => {
      if (nowMs - atMs >= VALID_MS) return false;
      if (reporters.includes(this.options.reporter)) return true;
      const reporter = reporters.find(
        other => (counts.get(other) ?? 0) < MAX_PER_REPORTER,
      );
      if (reporter === undefined) return false;
      counts.set(reporter, (counts.get(reporter) ?? 0) + 1);
      return true;
    });
  }

  private retain(
    key: string,
    isRetained: (observation: Observation) => boolean,
  ): boolean {
    const observations = this.byKey.get(key);
    const retained = observations?.filter(isRetained) ?? [];
    if (!observations || retained.length === observations.length) return false;
    if (retained.length === 0) this.byKey.delete(key);
    else this.byKey.set(key, retained);
    return true;
  }
}

/** Number of crashes, where those close to each other count as one. */
function countSpaced(crashes: readonly Observation[]): number {
  let count = 0;
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const {atMs} of crashes) {
    if (atMs - lastMs < MIN_SPACING_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}
