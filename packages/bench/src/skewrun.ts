/**
 * Experiment: how evenly engines are loaded while a hot customer sends half of
 * all requests, by what the engines counted themselves.
 */
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import type * as launching from './launch.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as skew from './skew.js';
import * as traces from './trace.js';

const SEED = 23;
const LOAD_MULTIPLE = 1.25;
/** Callers and engines need a moment to reach an even load. */
const WARM_UP_MS = 2_000;

const OWN_VIEW =
  'skew: admissions above the bound by what the owner knew are not measured; ' +
  'the routers have no counter for them';

/** Options of the experiment. */
export interface SkewRunOptions {
  readonly durationMs: number;
  readonly chats: number;
}

/** Skew with a hot customer. */
export class SkewExperiment implements experiments.Experiment {
  readonly name = 'skew';
  readonly seed = SEED;

  constructor(private readonly options: SkewRunOptions) {}

  async run(running: launching.Running): Promise<experiments.Findings> {
    const {fleet, deployment} = running;
    const player = new players.Player(fleet.addresses());
    const fromMs = Date.now() + WARM_UP_MS;
    const played = await player.play(this.trace());
    player.close();
    const engines = await Promise.all(
      deployments.engineNames(deployment).map(async name => {
        const {admissions} = await counters.readEndpoint(fleet, name);
        return {name, admissions};
      }),
    );
    const found = skew.measure(outcomes.engineRuns(played, engines), {
      loadMultiple: LOAD_MULTIPLE,
      fromMs,
    });
    return this.judge(running, played, found);
  }

  private trace(): traces.Call[] {
    return traces.generate({
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

  private judge(
    {deployment, strategy}: launching.Running,
    played: readonly players.Played[],
    found: skew.Skew,
  ): experiments.Findings {
    const counted = outcomes.count(played);
    const figures: experiments.Figure[] = [
      {
        name: 'admissions above the bound, true counts',
        unit: 'share',
        value: found.above / Math.max(1, found.admissions),
        target: {atMost: 0},
      },
      {
        name: 'most above the bound',
        unit: 'requests',
        value: found.mostAbove,
      },
      {name: 'max over mean in flight', unit: '', value: found.maxOverMean},
      {
        name: 'mean in flight of an engine',
        unit: 'requests',
        value: found.meanInFlight,
      },
      {name: 'admissions', unit: 'requests', value: found.admissions},
      {
        name: 'answered',
        unit: 'share',
        value: outcomes.answeredShare(played),
      },
    ];
    const notes = [
      `skew ${deployment.name} ${strategy}: ${outcomes.format(counted)}`,
      ...(strategy === 'owner' ? [OWN_VIEW] : []),
    ];
    return {figures, plots: [], notes};
  }
}
