/**
 * Experiment: how much of their context returning chats find in the caches
 * while one engine leaves, comes back empty, and another flaps on the list.
 */
import * as core from '@oleanderrock/core';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launching from './launch.js';
import * as oracle from './oracle.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as traces from './trace.js';

const SEED = 11;
const MIN_SHARE_OF_ORACLE = 0.95;
const LEAVER = 'engine-2';
const FLAPPER = 'engine-5';
/** Shares of the run at which something happens. */
const LEAVE_AT = 0.2;
const RETURN_AT = 0.45;
const FLAP_AT = [0.6, 0.8];
const LEAVING_MS = 2_000;
const ABSENT_MS = 2_000;
const BUCKET_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Options of the experiment. */
export interface ReuseOptions {
  readonly durationMs: number;
  readonly chats: number;
}

/** Cache reuse through engine churn. */
export class ReuseExperiment implements experiments.Experiment {
  readonly name = 'reuse';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();

  constructor(private readonly options: ReuseOptions) {}

  async run(running: launching.Running): Promise<experiments.Findings> {
    const trace = this.trace();
    const player = new players.Player(running.fleet.addresses());
    const churn = this.churn(running);
    const played = await player.play(trace);
    player.close();
    const lost = await churn;
    return this.judge(running, trace, played, lost);
  }

  private trace(): traces.Call[] {
    return traces.generate({
      seed: SEED,
      name: 'reuse',
      durationMs: this.options.durationMs,
      chats: this.options.chats,
      meanPauseMs: 4_500,
      draftsPerSecond: 4,
      statusPerSecond: 10,
      certificatesPerSecond: 1,
    });
  }

  /** Lets the engines come and go; resolves with when a cache was lost. */
  private async churn(running: launching.Running): Promise<oracle.Churn[]> {
    const {durationMs} = this.options;
    const beganMs = this.clock.nowMs();
    const until = (share: number) =>
      this.clock.sleep(beganMs + share * durationMs - this.clock.nowMs());
    const now = () => this.clock.nowMs() - beganMs;
    await until(LEAVE_AT);
    const stoppedMs = now();
    await this.leave(running);
    await until(RETURN_AT);
    await launching.addEngine(running, LEAVER);
    const startedMs = now();
    for (const share of FLAP_AT) {
      await until(share);
      await this.flap(running);
    }
    return [
      {atMs: stoppedMs, engine: LEAVER, change: 'stopped'},
      {atMs: startedMs, engine: LEAVER, change: 'started'},
    ];
  }

  private async leave({fleet}: launching.Running): Promise<void> {
    await fleet.control(LEAVER, {leaving: true});
    await fleet.list(LEAVER, {state: 'leaving'});
    await this.clock.sleep(LEAVING_MS);
    await fleet.terminate(LEAVER);
    await fleet.unlist(LEAVER);
  }

  private async flap({fleet}: launching.Running): Promise<void> {
    await fleet.unlist(FLAPPER);
    await this.clock.sleep(ABSENT_MS);
    await fleet.list(FLAPPER);
  }

  private judge(
    {deployment, strategy}: launching.Running,
    trace: readonly traces.Call[],
    played: readonly players.Played[],
    churn: readonly oracle.Churn[],
  ): experiments.Findings {
    const found = outcomes.reuse(played);
    const best = oracle.foresee(trace, {
      engines: deployments.engineNames(deployment),
      cacheTokens: deployments.ENGINE_SPEED.cacheTokens,
      churn,
    });
    const counted = outcomes.count(played);
    const figures: experiments.Figure[] = [
      {
        name: "reuse, share of the oracle's",
        unit: 'share',
        value: found.cachedTokens / best.cachedTokens,
        target: {atLeast: MIN_SHARE_OF_ORACLE},
      },
      {name: 'reuse', unit: 'share', value: oracle.share(found)},
      {name: "oracle's reuse", unit: 'share', value: oracle.share(best)},
      {name: 'returns', unit: 'requests', value: found.returns},
      {
        name: 'answered',
        unit: 'share',
        value: outcomes.answeredShare(played),
      },
    ];
    const plot: experiments.Plot = {
      title: `Cache reuse of returning chats, ${deployment.name}`,
      xLabel: 's',
      yLabel: 'share of the context found',
      series: [{name: strategy, points: bySecond(played)}],
    };
    const notes = [
      `reuse ${deployment.name} ${strategy}: ${outcomes.format(counted)}; ` +
        reasons(played),
    ];
    return {figures, plots: [plot], notes};
  }
}

/** How many returns missed their context, by the reason for the place. */
function reasons(played: readonly players.Played[]): string {
  const counts = new Map<string, {returns: number; misses: number}>();
  for (const {call, result} of played) {
    if (call.type !== 'chat' || call.turn === 1) continue;
    if (result.type !== 'answered') continue;
    const count = counts.get(result.reason) ?? {returns: 0, misses: 0};
    count.returns += 1;
    if (result.cachedTokens === 0) count.misses += 1;
    counts.set(result.reason, count);
  }
  return [...counts]
    .map(
      ([reason, {returns, misses}]) => `${reason}: ${misses}/${returns} cold`,
    )
    .join(', ');
}

function bySecond(
  played: readonly players.Played[],
): Array<readonly [number, number]> {
  const buckets = new Map<number, players.Played[]>();
  const contexts = played.filter(({call}) => call.type === 'chat');
  for (const item of contexts) {
    const bucket = Math.floor(item.call.atMs / BUCKET_MS);
    buckets.set(bucket, [...(buckets.get(bucket) ?? []), item]);
  }
  const shares = chatShares(contexts);
  return [...buckets]
    .sort(([a], [b]) => a - b)
    .map(([bucket, items]) => {
      const known = items
        .map(item => shares.get(item))
        .filter(share => share !== undefined);
      const sum = known.reduce((total, share) => total + share, 0);
      const seconds = (bucket * BUCKET_MS) / MS_PER_SECOND;
      return [seconds, known.length > 0 ? sum / known.length : 0] as const;
    })
    .filter(([seconds]) => seconds >= 2);
}

/** The share of its context that each return found. */
function chatShares(
  played: readonly players.Played[],
): Map<players.Played, number> {
  const contexts = new Map<string, number>();
  const shares = new Map<players.Played, number>();
  const inOrder = [...played].sort((a, b) => a.call.atMs - b.call.atMs);
  for (const item of inOrder) {
    const {call, result} = item;
    if (call.type !== 'chat') continue;
    const context = contexts.get(call.chat) ?? 0;
    contexts.set(call.chat, call.promptTokens + call.outputTokens);
    if (call.turn === 1) continue;
    const cached = result.type === 'answered' ? result.cachedTokens : 0;
    shares.set(item, cached / context);
  }
  return shares;
}
