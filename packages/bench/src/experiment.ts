/** Types of experiments and of their results. */
import type * as launcher from './launcher.js';

/** Names of the experiments, in the order in which they are reported. */
export const EXPERIMENTS = [
  'reuse',
  'skew',
  'surge',
  'control',
  'overhead',
] as const;

/** Name of an experiment. */
export type ExperimentName = (typeof EXPERIMENTS)[number];

/** Bounds that a figure must meet. */
export interface Target {
  readonly atLeast?: number;
  readonly atMost?: number;
}

/** A measured value, one row of the report's table. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  /** Judged for the `owner` strategy only. */
  readonly target?: Target;
}

/** A line of a plot; points are pairs of x and y. */
export interface Series {
  readonly name: string;
  readonly points: ReadonlyArray<readonly [number, number]>;
}

/** A plot of one or more lines. */
export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
}

/** Measurements of an experiment. */
export interface Findings {
  readonly figures: readonly Figure[];
  readonly plots: readonly Plot[];
  /** Remarks that are printed below the report's table. */
  readonly notes: readonly string[];
}

/** An experiment on a running testbed. */
export interface Experiment {
  readonly name: ExperimentName;
  readonly seed: number;
  run(testbed: launcher.Testbed): Promise<Findings>;
}

/** Findings with the experiment and testbed that gave them. */
export interface ExperimentResult extends Findings {
  readonly experiment: ExperimentName;
  readonly seed: number;
  readonly deployment: string;
  readonly strategy: launcher.Strategy;
  readonly tookMs: number;
}

/** Whether a value meets a target; NaN and infinities never do. */
export function meetsTarget(value: number, {atLeast, atMost}: Target): boolean {
  if (!Number.isFinite(value)) return false;
  if (atLeast !== undefined && value < atLeast) return false;
  return atMost === undefined || value <= atMost;
}
