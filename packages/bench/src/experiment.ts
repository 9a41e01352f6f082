/** Experiments: what they are run on and what they find. */
import type * as launching from './launch.js';

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

/** What a figure has to reach. */
export interface Target {
  readonly atLeast?: number;
  readonly atMost?: number;
}

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  /** Only the chosen design is held to it. */
  readonly target?: Target;
}

/** A line of a plot. */
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

/** What an experiment found. */
export interface Findings {
  readonly figures: readonly Figure[];
  readonly plots: readonly Plot[];
  /** Remarks for the reader of the report. */
  readonly notes: readonly string[];
}

/** An experiment on a fleet that runs. */
export interface Experiment {
  readonly name: ExperimentName;
  readonly seed: number;
  run(running: launching.Running): Promise<Findings>;
}

/** Findings with where they come from. */
export interface Result extends Findings {
  readonly experiment: ExperimentName;
  readonly seed: number;
  readonly deployment: string;
  readonly strategy: launching.Strategy;
  readonly tookMs: number;
}

/** Whether a figure reaches its target. */
export function isMet(value: number, {atLeast, atMost}: Target): boolean {
  if (!Number.isFinite(value)) return false;
  if (atLeast !== undefined && value < atLeast) return false;
  return atMost === undefined || value <= atMost;
}
