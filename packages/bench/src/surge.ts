/**
 * Experiment: a customer surges to ten times its rate. How long do the others
 * wait before and during, and are status lookups still answered at once?
 */
import type * as experiments from './experiment.js';
import * as deployments from './deployment.js';
import * as launching from './launch.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as publishing from './publish.js';
import * as quantiles from './quantiles.js';
import * as traces from './trace.js';

const SEED = 37;
const CUSTOMER = 'customer-2';
const FACTOR = 10;
const WARM_UP_MS = 1_500;
const SURGE_FROM_MS = 5_500;
const DURATION_MS = 10_000;
/** Few places, so that the surge fills the pool. */
const MAX_IN_FLIGHT = 5;
const MAX_RATIO = 2;
const MAX_STATUS_MS = 50;

/** A surging customer. */
export class SurgeExperiment implements experiments.Experiment {
  readonly name = 'surge';
  readonly seed = SEED;

  async run(running: launching.Running): Promise<experiments.Findings> {
    const access = launching.adminAccess(running.fleet);
    const rows = deployments.rows({maxInFlight: MAX_IN_FLIGHT});
    await publishing.publish(rows, access);
    const player = new players.Player(running.fleet.addresses());
    const played = await player.play(this.trace());
    player.close();
    await publishing.publish(deployments.rows(), access);
    const findings = this.judge(running, played);
    const delay = `the callers' process ran late by ${player.ownDelayMs.toFixed(0)} ms at p99`;
    return {...findings, notes: [...findings.notes, `surge: ${delay}`]};
  }

  private trace(): traces.Call[] {
    return traces.generate({
      seed: SEED,
      name: 'surge',
      durationMs: DURATION_MS,
      chats: 160,
      meanPauseMs: 4_000,
      draftsPerSecond: 4,
      statusPerSecond: 20,
      certificatesPerSecond: 0,
      surge: {
        customer: CUSTOMER,
        fromMs: SURGE_FROM_MS,
        toMs: DURATION_MS,
        factor: FACTOR,
      },
    });
  }

  private judge(
    {deployment, strategy}: launching.Running,
    played: readonly players.Played[],
  ): experiments.Findings {
    const others = played.filter(({call}) => call.customer !== CUSTOMER);
    const own = played.filter(({call}) => call.customer === CUSTOMER);
    const before = within(others, WARM_UP_MS, SURGE_FROM_MS);
    const during = within(others, SURGE_FROM_MS, DURATION_MS);
    const beforeMs = quantiles.percentile(waits(before), 95);
    const duringMs = quantiles.percentile(waits(during), 95);
    const lookups = within(played, WARM_UP_MS, DURATION_MS);
    const surging = within(own, SURGE_FROM_MS, DURATION_MS);
    const ms = (name: string, value: number, target?: experiments.Target) => ({
      name,
      unit: 'ms',
      value,
      target,
    });
    const figures: experiments.Figure[] = [
      ms("others' wait before, p95", beforeMs),
      ms("others' wait during, p95", duringMs),
      {
        name: "others' wait, during over before",
        unit: '',
        value: duringMs / beforeMs,
        target: {atMost: MAX_RATIO},
      },
      {
        name: 'others answered during',
        unit: 'share',
        value: outcomes.answeredShare(during),
      },
      ms(
        "surging customer's wait, p95",
        quantiles.percentile(waits(surging), 95),
      ),
      {
        name: 'surging customer answered',
        unit: 'share',
        value: outcomes.answeredShare(surging),
      },
      ms(
        'status lookups, whole time at the caller, p99',
        quantiles.percentile(statusTimes(lookups), 99),
        {atMost: MAX_STATUS_MS},
      ),
    ];
    const notes = [
      `surge ${deployment.name} ${strategy}: others during ` +
        `${outcomes.format(outcomes.count(during))}; surging customer ` +
        outcomes.format(outcomes.count(surging)),
    ];
    return {figures, plots: [], notes};
  }
}

function within(
  played: readonly players.Played[],
  fromMs: number,
  toMs: number,
): players.Played[] {
  return played.filter(({call}) => call.atMs >= fromMs && call.atMs < toMs);
}

/** What prompts waited beyond the engine's own time for them. */
function waits(played: readonly players.Played[]): number[] {
  const times: number[] = [];
  for (const {call, result} of played) {
    if (call.type !== 'chat' && call.type !== 'draft') continue;
    if (result.type !== 'answered') continue;
    const freshTokens = call.promptTokens - result.cachedTokens;
    const {prefillUsPerToken, tokenMs} = deployments.ENGINE_SPEED;
    const tokens = call.type === 'chat' ? 1 : call.outputTokens;
    const workMs = (freshTokens * prefillUsPerToken) / 1_000 + tokens * tokenMs;
    times.push(result.firstByteMs - workMs);
  }
  return times;
}

function statusTimes(played: readonly players.Played[]): number[] {
  return played
    .filter(({call}) => call.type === 'status')
    .map(({result}) => result)
    .filter(result => result.type === 'answered')
    .map(({totalMs}) => totalMs);
}
