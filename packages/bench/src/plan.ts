/** Which experiments run on which fleets, in which order. */
import * as controlbytes from './controlbytes.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import type * as launching from './launch.js';
import * as overhead from './overhead.js';
import * as reuse from './reuse.js';
import * as skewrun from './skewrun.js';
import * as surge from './surge.js';

/** One fleet and the experiments on it. */
export interface Part {
  readonly deployment: deployments.Deployment;
  readonly strategy: launching.Strategy;
  readonly experiments: readonly experiments.Experiment[];
}

const STRATEGIES = ['naive', 'owner'] as const;

/** All parts of the bench. */
export function parts(): Part[] {
  return [...STRATEGIES.flatMap(compared), ...chosenOnly()];
}

/** Experiments in which the chosen design stands beside the baseline. */
function compared(strategy: launching.Strategy): Part[] {
  return [
    {
      deployment: deployments.ERDWERK,
      strategy,
      experiments: [
        new reuse.ReuseExperiment({durationMs: 18_000, chats: 280}),
        new skewrun.SkewExperiment({durationMs: 8_000, chats: 320}),
        new surge.SurgeExperiment(),
        ...(strategy === 'owner' ? [new overhead.OverheadExperiment()] : []),
      ],
    },
    {
      deployment: deployments.FRASER_VALLEY,
      strategy,
      experiments: [
        new reuse.ReuseExperiment({durationMs: 11_000, chats: 210}),
      ],
    },
  ];
}

/** Experiments that describe the chosen design. */
function chosenOnly(): Part[] {
  const small = {...deployments.FRASER_VALLEY, name: 'growing', routers: 4};
  return [
    {
      deployment: small,
      strategy: 'owner',
      experiments: [new controlbytes.ControlExperiment()],
    },
  ];
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
