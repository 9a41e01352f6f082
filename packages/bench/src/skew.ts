/**
 * Skew: how evenly engines were loaded. Starts are those that the engines
 * counted; ends are those that the callers saw.
 */
import type * as standins from '@oleanderrock/standins';

/** What is known of one engine. */
export interface EngineRuns {
  readonly admissions: readonly standins.Admission[];
  /** Wall-clock times at which answers of the engine were whole. */
  readonly endsAtMs: readonly number[];
}

/** Options of the calculation. */
export interface SkewOptions {
  readonly loadMultiple: number;
  /** Leaves out what is earlier. */
  readonly fromMs?: number;
}

/** How evenly the engines were loaded. */
export interface Skew {
  readonly admissions: number;
  /** Admissions after which the engine was above its bound. */
  readonly above: number;
  /** The most that an engine was above its bound. */
  readonly mostAbove: number;
  /** The largest in-flight count, summed over time, over the mean's sum. */
  readonly maxOverMean: number;
  /** Mean requests in flight of one engine, over time. */
  readonly meanInFlight: number;
}

type Step =
  | {
      readonly type: 'start';
      readonly atMs: number;
      readonly engine: number;
      readonly inFlight: number;
    }
  | {readonly type: 'end'; readonly atMs: number; readonly engine: number};

/** Keeps a product that should be whole from being rounded up by its error. */
const ROUNDING = 1e-9;

/** The most that one engine may carry, the new request included in the sum. */
export function bound(
  inFlightSum: number,
  engines: number,
  loadMultiple: number,
): number {
  const mean = inFlightSum / engines;
  return Math.max(1, Math.ceil(loadMultiple * mean - ROUNDING));
}

function steps(engines: readonly EngineRuns[]): Step[] {
  const all = engines.flatMap(({admissions, endsAtMs}, engine): Step[] => [
    ...admissions.map(({at_ms: atMs, in_flight: inFlight}) => ({
      type: 'start' as const,
      atMs,
      engine,
      inFlight,
    })),
    ...endsAtMs.map(atMs => ({type: 'end' as const, atMs, engine})),
  ]);
  return all.sort((a, b) => a.atMs - b.atMs);
}

/** The counts over time, and what is summed up from them. */
class Tally {
  private readonly counts: number[];
  private sinceMs: number | undefined;
  private maxSum = 0;
  private meanSum = 0;
  private totalMs = 0;

  constructor(engines: number) {
    this.counts = new Array<number>(engines).fill(0);
  }

  /** Sums up the time since the step before. */
  advance(atMs: number): void {
    const lastedMs = atMs - (this.sinceMs ?? atMs);
    this.sinceMs = atMs;
    this.totalMs += lastedMs;
    this.maxSum += Math.max(...this.counts) * lastedMs;
    this.meanSum += (this.sum() / this.counts.length) * lastedMs;
  }

  apply(step: Step): void {
    if (step.type === 'start') this.counts[step.engine] = step.inFlight;
    else {
      const count = this.counts[step.engine]!;
      this.counts[step.engine] = Math.max(0, count - 1);
    }
  }

  sum(): number {
    return this.counts.reduce((total, count) => total + count, 0);
  }

  maxOverMean(): number {
    return this.meanSum > 0 ? this.maxSum / this.meanSum : 1;
  }

  mean(): number {
    return this.totalMs > 0 ? this.meanSum / this.totalMs : 0;
  }
}

/** Works out the skew of engines that are all live the whole time. */
export function measure(
  engines: readonly EngineRuns[],
  options: SkewOptions,
): Skew {
  const {loadMultiple, fromMs = 0} = options;
  const tally = new Tally(engines.length);
  let admissions = 0;
  let above = 0;
  let mostAbove = 0;
  for (const step of steps(engines)) {
    if (step.atMs < fromMs) continue;
    tally.advance(step.atMs);
    tally.apply(step);
    if (step.type === 'end') continue;
    admissions += 1;
    const most = bound(tally.sum(), engines.length, loadMultiple);
    const excess = step.inFlight - most;
    if (excess > 0) above += 1;
    mostAbove = Math.max(mostAbove, excess);
  }
  const maxOverMean = tally.maxOverMean();
  return {
    admissions,
    above,
    mostAbove,
    maxOverMean,
    meanInFlight: tally.mean(),
  };
}
