/**
 * Experiment: how evenly engines are loaded while a hot customer sends half of
 * all requests, measured by the engines' own counters.
 */
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import type * as launcher from './launcher.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as skew from './skew.js';
import * as traces from './trace.js';

const SEED = 23;
const LOAD_MULTIPLE = 1.25;
/** Time until callers and engines reach a steady load. */
const WARM_UP_MS = 2_000;

const OWNER_VIEW_NOTE =
  'skew: admissions above the bound by what the owner knew are not measured; ' +
  'the routers have no counter for them';

/** Options of the experiment. */
export interface SkewExperimentOptions {
  readonly durationMs: number;
  readonly chats: number;
}

/** Measures skew with a hot customer. */
export class SkewExperiment implements experiments.Experiment {
  readonly name = 'skew';
  readonly seed = SEED;

  constructor(private readonly options: SkewExperimentOptions) {}

  async run(testbed: launcher.Testbed): Promise<experiments.Findings> {
    const {fleet, deployment} = testbed;
    const player = new players.TracePlayer(fleet.entryAddresses());
    const startMs = Date.now() + WARM_UP_MS;
    const records = await player.play(this.createTrace());
    player.close();
    const engines = await Promise.all(
      deployments.engineNames(deployment).map(async name => {
        const {admissions} = await counters.readEndpointStats(fleet, name);
        return {name, admissions};
      }),
    );
    const measuredSkew = skew.measureSkew(
      outcomes.toEngineRuns(records, engines),
      {
        loadMultiple: LOAD_MULTIPLE,
        startMs,
      },
    );
    return this.toFindings(testbed, records, measuredSkew);
  }

  private createTrace(): traces.Call[] {
    return traces.generateTrace({
      seed: SEED,
      name: 'skew',
      durationMs: this.options.durationMs,
      chats: this.options.chats,
      meanPauseMs: 4_000,
      draftsPerSecond: 15,
      statusPerSecond: 10,
      certificatesPerSecond: 1,
    });
  }

  private toFindings(
    {deployment, strategy}: launcher.Testbed,
    records: readonly players.CallRecord[],
    measuredSkew: skew.Skew,
  ): experiments.Findings {
    const counts = outcomes.countOutcomes(records);
    const figures: experiments.Figure[] = [
      {
        name: 'admissions above the bound, true counts',
        unit: 'share',
        value:
          measuredSkew.admissionsAboveBound /
          Math.max(1, measuredSkew.admissions),
        target: {atMost: 0},
      },
      {
        name: 'most above the bound',
        unit: 'requests',
        value: measuredSkew.maxExcess,
      },
      {
        name: 'max over mean in flight',
        unit: '',
        value: measuredSkew.maxOverMean,
      },
      {
        name: 'mean in flight of an engine',
        unit: 'requests',
        value: measuredSkew.meanInFlight,
      },
      {name: 'admissions', unit: 'requests', value: measuredSkew.admissions},
      {
        name: 'answered',
        unit: 'share',
        value: outcomes.answeredShare(records),
      },
    ];
    const notes = [
      `skew ${deployment.name} ${strategy}: ${outcomes.formatCounts(counts)}`,
      ...(strategy === 'owner' ? [OWNER_VIEW_NOTE] : []),
    ];
    return {figures, plots: [], notes};
  }
}
