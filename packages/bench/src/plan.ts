/** Which experiments run on which fleets, in which order. */
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import type * as launching from './launch.js';
import * as reuse from './reuse.js';
import * as skewrun from './skewrun.js';

/** One fleet and the experiments on it. */
export interface Part {
  readonly deployment: deployments.Deployment;
  readonly strategy: launching.Strategy;
  readonly experiments: readonly experiments.Experiment[];
}

const STRATEGIES = ['naive', 'owner'] as const;

/** All parts of the bench. */
export function parts(): Part[] {
  return STRATEGIES.flatMap(strategy => [
    {
      deployment: deployments.ERDWERK,
      strategy,
      experiments: [
        new reuse.ReuseExperiment({durationMs: 24_000, chats: 280}),
        new skewrun.SkewExperiment({durationMs: 9_000, chats: 320}),
      ],
    },
    {
      deployment: deployments.FRASER_VALLEY,
      strategy,
      experiments: [
        new reuse.ReuseExperiment({durationMs: 16_000, chats: 210}),
      ],
    },
  ]);
}

/** The parts with only the experiment of the given name, or all. */
export function select(only?: experiments.ExperimentName): Part[] {
  return parts()
    .map(part => ({
      ...part,
      experiments: part.experiments.filter(
        experiment => only === undefined || experiment.name === only,
      ),
    }))
    .filter(part => part.experiments.length > 0);
}
