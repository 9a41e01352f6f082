/**
 * Experiment: one customer surges to ten times its rate. Compares how long the
 * others wait before and during the surge, and checks that status lookups are
 * still answered without delay.
 */
import type * as experiments from './experiment.js';
import * as deployments from './deployment.js';
import * as launcher from './launcher.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as publisher from './publisher.js';
import * as percentiles from './percentiles.js';
import * as traces from './trace.js';

const SEED = 37;
const SURGING_CUSTOMER = 'customer-2';
const SURGE_FACTOR = 10;
const WARM_UP_MS = 1_500;
const SURGE_FROM_MS = 5_500;
const DURATION_MS = 10_000;
/** Limit for each engine, low enough for the surge to fill the pool. */
const MAX_IN_FLIGHT = 5;
const MAX_WAIT_RATIO = 2;
const MAX_STATUS_TIME_MS = 50;

/** Measures waits of the other customers while one surges. */
export class SurgeExperiment implements experiments.Experiment {
  readonly name = 'surge';
  readonly seed = SEED;

  async run(testbed: launcher.Testbed): Promise<experiments.Findings> {
    const access = launcher.adminAccess(testbed.fleet);
    const rows = deployments.createRows({maxInFlight: MAX_IN_FLIGHT});
    await publisher.publishTables(rows, access);
    const player = new players.TracePlayer(testbed.fleet.entryAddresses());
    const records = await player.play(this.createTrace());
    player.close();
    await publisher.publishTables(deployments.createRows(), access);
    const findings = this.toFindings(testbed, records);
    const delayNote = `the callers' process ran late by ${player.eventLoopDelayMs.toFixed(0)} ms at p99`;
    return {...findings, notes: [...findings.notes, `surge: ${delayNote}`]};
  }

  private createTrace(): traces.Call[] {
    return traces.generateTrace({
      seed: SEED,
      name: 'surge',
      durationMs: DURATION_MS,
      chats: 160,
      meanPauseMs: 4_000,
      draftsPerSecond: 4,
      statusPerSecond: 20,
      certificatesPerSecond: 0,
      surge: {
        customer: SURGING_CUSTOMER,
        fromMs: SURGE_FROM_MS,
        toMs: DURATION_MS,
        factor: SURGE_FACTOR,
      },
    });
  }

  private toFindings(
    {deployment, strategy}: launcher.Testbed,
    records: readonly players.CallRecord[],
  ): experiments.Findings {
    const otherRecords = records.filter(
      ({call}) => call.customer !== SURGING_CUSTOMER,
    );
    const surgingRecords = records.filter(
      ({call}) => call.customer === SURGING_CUSTOMER,
    );
    const othersBefore = sentBetween(otherRecords, WARM_UP_MS, SURGE_FROM_MS);
    const othersDuring = sentBetween(otherRecords, SURGE_FROM_MS, DURATION_MS);
    const beforeMs = percentiles.percentileMs(queueWaitsMs(othersBefore), 95);
    const duringMs = percentiles.percentileMs(queueWaitsMs(othersDuring), 95);
    const recordsAfterWarmUp = sentBetween(records, WARM_UP_MS, DURATION_MS);
    const surgingDuring = sentBetween(
      surgingRecords,
      SURGE_FROM_MS,
      DURATION_MS,
    );
    const msFigure = (
      name: string,
      value: number,
      target?: experiments.Target,
    ) => ({
      name,
      unit: 'ms',
      value,
      target,
    });
    const figures: experiments.Figure[] = [
      msFigure("others' wait before, p95", beforeMs),
      msFigure("others' wait during, p95", duringMs),
      {
        name: "others' wait, during over before",
        unit: '',
        value: duringMs / beforeMs,
        target: {atMost: MAX_WAIT_RATIO},
      },
      {
        name: 'others answered during',
        unit: 'share',
        value: outcomes.answeredShare(othersDuring),
      },
      msFigure(
        "surging customer's wait, p95",
        percentiles.percentileMs(queueWaitsMs(surgingDuring), 95),
      ),
      {
        name: 'surging customer answered',
        unit: 'share',
        value: outcomes.answeredShare(surgingDuring),
      },
      msFigure(
        'status lookups, whole time at the caller, p99',
        percentiles.percentileMs(statusTimesMs(recordsAfterWarmUp), 99),
        {atMost: MAX_STATUS_TIME_MS},
      ),
    ];
    const notes = [
      `surge ${deployment.name} ${strategy}: others during ` +
        `${outcomes.formatCounts(outcomes.countOutcomes(othersDuring))}; surging customer ` +
        outcomes.formatCounts(outcomes.countOutcomes(surgingDuring)),
    ];
    return {figures, plots: [], notes};
  }
}

function sentBetween(
  records: readonly players.CallRecord[],
  fromMs: number,
  toMs: number,
): players.CallRecord[] {
  return records.filter(({call}) => call.atMs >= fromMs && call.atMs < toMs);
}

/** Time to first byte of prompts beyond the engine's own time for them. */
function queueWaitsMs(records: readonly players.CallRecord[]): number[] {
  const waitsMs: number[] = [];
  for (const {call, result} of records) {
    if (call.type !== 'chat' && call.type !== 'draft') continue;
    if (result.type !== 'answered') continue;
    const uncachedTokens = call.promptTokens - result.cachedTokens;
    const {prefillUsPerToken, tokenMs} = deployments.ENGINE_SPEED;
    const tokensBeforeFirstByte = call.type === 'chat' ? 1 : call.outputTokens;
    const engineMs =
      (uncachedTokens * prefillUsPerToken) / 1_000 +
      tokensBeforeFirstByte * tokenMs;
    waitsMs.push(result.firstByteMs - engineMs);
  }
  return waitsMs;
}

function statusTimesMs(records: readonly players.CallRecord[]): number[] {
  return records
    .filter(({call}) => call.type === 'status')
    .map(({result}) => result)
    .filter(result => result.type === 'answered')
    .map(({totalMs}) => totalMs);
}
