/**
 * Computes skew: how evenly engines were loaded. Starts of runs are taken from
 * the engines' records, ends from the callers'.
 */
import type * as standins from '@oleanderrock/standins';

/** Starts and ends of the runs of one engine. */
export interface EngineRuns {
  readonly admissions: readonly standins.Admission[];
  /** Wall-clock times at which callers had received its answers. */
  readonly endsAtMs: readonly number[];
}

/** Options of the skew computation. */
export interface SkewOptions {
  readonly loadMultiple: number;
  /** Wall-clock time before which events are ignored. */
  readonly startMs?: number;
}

/** Skew of the load of several engines. */
export interface Skew {
  readonly admissions: number;
  /** Admissions after which the engine was above its bound. */
  readonly admissionsAboveBound: number;
  /** Largest excess of an engine's in-flight requests over its bound. */
  readonly maxExcess: number;
  /** Largest in-flight count of the engines over their mean, both over time. */
  readonly maxOverMean: number;
  /** Time-weighted mean of requests in flight per engine. */
  readonly meanInFlight: number;
}

type RunEvent =
  | {
      readonly type: 'start';
      readonly atMs: number;
      readonly engine: number;
      readonly inFlight: number;
    }
  | {readonly type: 'end'; readonly atMs: number; readonly engine: number};

/** Keeps a floating-point error from rounding an integral product up. */
const ROUNDING_TOLERANCE = 1e-9;

/** Maximum of requests in flight on an engine; the sum includes the new one. */
export function loadBound(
  inFlightSum: number,
  engines: number,
  loadMultiple: number,
): number {
  const mean = inFlightSum / engines;
  return Math.max(1, Math.ceil(loadMultiple * mean - ROUNDING_TOLERANCE));
}

function toEvents(engines: readonly EngineRuns[]): RunEvent[] {
  const events = engines.flatMap(
    ({admissions, endsAtMs}, engine): RunEvent[] => [
      ...admissions.map(({at_ms: atMs, in_flight: inFlight}) => ({
        type: 'start' as const,
        atMs,
        engine,
        inFlight,
      })),
      ...endsAtMs.map(atMs => ({type: 'end' as const, atMs, engine})),
    ],
  );
  return events.sort((a, b) => a.atMs - b.atMs);
}

/** In-flight counts of the engines, integrated over time. */
class InFlightTally {
  private readonly counts: number[];
  private lastEventMs: number | undefined;
  private maxIntegral = 0;
  private meanIntegral = 0;
  private totalMs = 0;

  constructor(engines: number) {
    this.counts = new Array<number>(engines).fill(0);
  }

  /** Adds the time since the last event to the integrals. */
  advance(atMs: number): void {
    const elapsedMs = atMs - (this.lastEventMs ?? atMs);
    this.lastEventMs = atMs;
    this.totalMs += elapsedMs;
    this.maxIntegral += Math.max(...this.counts) * elapsedMs;
    this.meanIntegral +=
      (this.totalInFlight() / this.counts.length) * elapsedMs;
  }

  applyEvent(event: RunEvent): void {
    if (event.type === 'start') this.counts[event.engine] = event.inFlight;
    else {
      const count = this.counts[event.engine]!;
      this.counts[event.engine] = Math.max(0, count - 1);
    }
  }

  totalInFlight(): number {
    return this.counts.reduce((total, count) => total + count, 0);
  }

  maxOverMean(): number {
    return this.meanIntegral > 0 ? this.maxIntegral / this.meanIntegral : 1;
  }

  meanInFlight(): number {
    return this.totalMs > 0 ? this.meanIntegral / this.totalMs : 0;
  }
}

/** Measures the skew of engines that are live for the whole time. */
export function measureSkew(
  engines: readonly EngineRuns[],
  options: SkewOptions,
): Skew {
  const {loadMultiple, startMs: startMs = 0} = options;
  const tally = new InFlightTally(engines.length);
  let admissions = 0;
  let admissionsAboveBound = 0;
  let maxExcess = 0;
  for (const event of toEvents(engines)) {
    if (event.atMs < startMs) continue;
    tally.advance(event.atMs);
    tally.applyEvent(event);
    if (event.type === 'end') continue;
    admissions += 1;
    const bound = loadBound(
      tally.totalInFlight(),
      engines.length,
      loadMultiple,
    );
    const excess = event.inFlight - bound;
    if (excess > 0) admissionsAboveBound += 1;
    maxExcess = Math.max(maxExcess, excess);
  }
  const maxOverMean = tally.maxOverMean();
  return {
    admissions,
    admissionsAboveBound,
    maxExcess,
    maxOverMean,
    meanInFlight: tally.meanInFlight(),
  };
}
