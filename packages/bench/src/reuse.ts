/**
 * Experiment: how much of their context returning chats find in the caches
 * while one engine is restarted with an empty cache and another flaps on the
 * instance list.
 */
import * as core from '@oleanderrock/core';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launcher from './launcher.js';
import * as oracle from './oracle.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as traces from './trace.js';

const SEED = 11;
const MIN_SHARE_OF_ORACLE = 0.95;
const RESTARTED_ENGINE = 'engine-2';
const FLAPPING_ENGINE = 'engine-5';
/** Times of the churn, as shares of the run's duration. */
const LEAVE_AT_SHARE = 0.2;
const RETURN_AT_SHARE = 0.45;
const FLAP_AT_SHARES = [0.6, 0.8];
const DRAIN_MS = 2_000;
const UNLISTED_MS = 2_000;
const BUCKET_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Options of the experiment. */
export interface ReuseOptions {
  readonly durationMs: number;
  readonly chats: number;
}

/** Measures cache reuse under engine churn. */
export class ReuseExperiment implements experiments.Experiment {
  readonly name = 'reuse';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();

  constructor(private readonly options: ReuseOptions) {}

  async run(testbed: launcher.Testbed): Promise<experiments.Findings> {
    const trace = this.createTrace();
    const player = new players.TracePlayer(testbed.fleet.entryAddresses());
    const churn = this.runChurn(testbed);
    const records = await player.play(trace);
    player.close();
    const churnEvents = await churn;
    return this.toFindings(testbed, trace, records, churnEvents);
  }

  private createTrace(): traces.Call[] {
    return traces.generateTrace({
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

  /** Restarts and relists engines; resolves with the restart's events. */
  private async runChurn(
    testbed: launcher.Testbed,
  ): Promise<oracle.ChurnEvent[]> {
    const {durationMs} = this.options;
    const startMs = this.clock.nowMs();
    const sleepUntil = (share: number) =>
      this.clock.sleep(startMs + share * durationMs - this.clock.nowMs());
    const elapsedMs = () => this.clock.nowMs() - startMs;
    await sleepUntil(LEAVE_AT_SHARE);
    const stoppedMs = elapsedMs();
    await this.stopEngine(testbed);
    await sleepUntil(RETURN_AT_SHARE);
    await launcher.addEngine(testbed, RESTARTED_ENGINE);
    const startedMs = elapsedMs();
    for (const share of FLAP_AT_SHARES) {
      await sleepUntil(share);
      await this.relistEngine(testbed);
    }
    return [
      {atMs: stoppedMs, engine: RESTARTED_ENGINE, change: 'stopped'},
      {atMs: startedMs, engine: RESTARTED_ENGINE, change: 'started'},
    ];
  }

  private async stopEngine({fleet}: launcher.Testbed): Promise<void> {
    await fleet.setFaults(RESTARTED_ENGINE, {leaving: true});
    await fleet.putOnInstanceList(RESTARTED_ENGINE, {state: 'leaving'});
    await this.clock.sleep(DRAIN_MS);
    await fleet.terminate(RESTARTED_ENGINE);
    await fleet.removeFromInstanceList(RESTARTED_ENGINE);
  }

  private async relistEngine({fleet}: launcher.Testbed): Promise<void> {
    await fleet.removeFromInstanceList(FLAPPING_ENGINE);
    await this.clock.sleep(UNLISTED_MS);
    await fleet.putOnInstanceList(FLAPPING_ENGINE);
  }

  private toFindings(
    {deployment, strategy}: launcher.Testbed,
    trace: readonly traces.Call[],
    records: readonly players.CallRecord[],
    churn: readonly oracle.ChurnEvent[],
  ): experiments.Findings {
    const reuse = outcomes.sumReuse(records);
    const oracleReuse = oracle.simulateOracle(trace, {
      engines: deployments.engineNames(deployment),
      cacheTokens: deployments.ENGINE_SPEED.cacheTokens,
      churn,
    });
    const counts = outcomes.countOutcomes(records);
    const figures: experiments.Figure[] = [
      {
        name: "reuse, share of the oracle's",
        unit: 'share',
        value: reuse.cachedTokens / oracleReuse.cachedTokens,
        target: {atLeast: MIN_SHARE_OF_ORACLE},
      },
      {name: 'reuse', unit: 'share', value: oracle.reuseShare(reuse)},
      {
        name: "oracle's reuse",
        unit: 'share',
        value: oracle.reuseShare(oracleReuse),
      },
      {name: 'returns', unit: 'requests', value: reuse.returns},
      {
        name: 'answered',
        unit: 'share',
        value: outcomes.answeredShare(records),
      },
    ];
    const plot: experiments.Plot = {
      title: `Cache reuse of returning chats, ${deployment.name}`,
      xLabel: 's',
      yLabel: 'share of the context found',
      series: [{name: strategy, points: shareBySecond(records)}],
    };
    const notes = [
      `reuse ${deployment.name} ${strategy}: ${outcomes.formatCounts(counts)}; ` +
        formatMisses(records),
    ];
    return {figures, plots: [plot], notes};
  }
}

/** Formats how many returns found no context, by reason of the placement. */
function formatMisses(records: readonly players.CallRecord[]): string {
  const countsByReason = new Map<string, {returns: number; misses: number}>();
  for (const {call, result} of records) {
    if (call.type !== 'chat' || call.turn === 1) continue;
    if (result.type !== 'answered') continue;
    const counts = countsByReason.get(result.reason) ?? {returns: 0, misses: 0};
    counts.returns += 1;
    if (result.cachedTokens === 0) counts.misses += 1;
    countsByReason.set(result.reason, counts);
  }
  return [...countsByReason]
    .map(
      ([reason, {returns, misses}]) => `${reason}: ${misses}/${returns} cold`,
    )
    .join(', ');
}

function shareBySecond(
  records: readonly players.CallRecord[],
): Array<readonly [number, number]> {
  const buckets = new Map<number, players.CallRecord[]>();
  const chatRecords = records.filter(({call}) => call.type === 'chat');
  for (const record of chatRecords) {
    const bucket = Math.floor(record.call.atMs / BUCKET_MS);
    buckets.set(bucket, [...(buckets.get(bucket) ?? []), record]);
  }
  const shares = cachedShares(chatRecords);
  return [...buckets]
    .sort(([a], [b]) => a - b)
    .map(([bucket, bucketRecords]) => {
      const values = bucketRecords
        .map(record => shares.get(record))
        .filter(share => share !== undefined);
      const sum = values.reduce((total, share) => total + share, 0);
      const seconds = (bucket * BUCKET_MS) / MS_PER_SECOND;
      return [seconds, values.length > 0 ? sum / values.length : 0] as const;
    })
    .filter(([seconds]) => seconds >= 2);
}

/** Computes the share of its context that each return found cached. */
function cachedShares(
  records: readonly players.CallRecord[],
): Map<players.CallRecord, number> {
  const contextTokensByChat = new Map<string, number>();
  const shares = new Map<players.CallRecord, number>();
  const recordsByTime = [...records].sort((a, b) => a.call.atMs - b.call.atMs);
  for (const record of recordsByTime) {
    const {call, result} = record;
    if (call.type !== 'chat') continue;
    const contextTokens = contextTokensByChat.get(call.chat) ?? 0;
    contextTokensByChat.set(call.chat, call.promptTokens + call.outputTokens);
    if (call.turn === 1) continue;
    const cachedTokens = result.type === 'answered' ? result.cachedTokens : 0;
    shares.set(record, cachedTokens / contextTokens);
  }
  return shares;
}
