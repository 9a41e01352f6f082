/** The experiments of the bench with their testbeds, in order of execution. */
import * as controltraffic from './controltraffic.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import type * as launcher from './launcher.js';
import * as overhead from './overhead.js';
import * as reuse from './reuse.js';
import * as skewexperiment from './skewexperiment.js';
import * as surge from './surge.js';

/** A testbed to launch and the experiments to run on it. */
export interface BenchRun {
  readonly deployment: deployments.Deployment;
  readonly strategy: launcher.Strategy;
  readonly experiments: readonly experiments.Experiment[];
}

const STRATEGIES = ['naive', 'owner'] as const;

/** All runs of the bench. */
export function benchRuns(): BenchRun[] {
  return [...STRATEGIES.flatMap(comparisonRuns), ...ownerOnlyRuns()];
}

/** Runs of the experiments that compare the strategies. */
function comparisonRuns(strategy: launcher.Strategy): BenchRun[] {
  return [
    {
      deployment: deployments.ERDWERK,
      strategy,
      experiments: [
        new reuse.ReuseExperiment({durationMs: 18_000, chats: 280}),
        new skewexperiment.SkewExperiment({durationMs: 8_000, chats: 320}),
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

/** Runs of the experiments that measure the `owner` strategy only. */
function ownerOnlyRuns(): BenchRun[] {
  const deployment = {
    ...deployments.FRASER_VALLEY,
    name: 'growing',
    routers: 4,
  };
  return [
    {
      deployment,
      strategy: 'owner',
      experiments: [new controltraffic.ControlExperiment()],
    },
  ];
}

/** The runs reduced to the named experiment, or all runs if none is named. */
export function selectRuns(
  experimentName?: experiments.ExperimentName,
): BenchRun[] {
  return benchRuns()
    .map(run => ({
      ...run,
      experiments: run.experiments.filter(
        experiment =>
          experimentName === undefined || experiment.name === experimentName,
      ),
    }))
    .filter(run => run.experiments.length > 0);
}
