/** Plays the demo's trace on a fleet and checks the outcome. */
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as launcher from './launcher.js';
import * as oracle from './oracle.js';
import * as outcomes from './outcomes.js';
import * as players from './player.js';
import * as skew from './skew.js';
import * as traces from './trace.js';

const SEED = 7;
const DURATION_MS = 14_000;
const LOAD_MULTIPLE = 1.25;
const MIN_REUSE = 0.6;
const MIN_ANSWERED = 0.98;
const MAX_CONTROL_BYTES_PER_SECOND = 9_000;

const TRACE: traces.TraceOptions = {
  seed: SEED,
  durationMs: DURATION_MS,
  chats: 120,
  meanPauseMs: 3_000,
  draftsPerSecond: 4,
  statusPerSecond: 10,
  certificatesPerSecond: 2,
};

/** Result of one or more checks. */
export interface CheckResult {
  /** One line for each check. */
  readonly lines: readonly string[];
  /** The lines of the checks that failed. */
  readonly failures: readonly string[];
}

interface Measurements {
  readonly trace: readonly traces.Call[];
  readonly records: readonly players.CallRecord[];
  readonly controlRates: readonly number[];
  readonly engines: readonly counters.EndpointStats[];
  readonly services: readonly counters.EndpointStats[];
  readonly deployment: deployments.Deployment;
}

/** Plays the demo's trace and runs all checks on the outcome. */
export async function runChecks(
  testbed: launcher.Testbed,
): Promise<CheckResult> {
  const {fleet, deployment} = testbed;
  const trace = traces.generateTrace(TRACE);
  const player = new players.TracePlayer(fleet.entryAddresses());
  try {
    const before = await counters.readAllRouterCounters(fleet);
    const records = await player.play(trace);
    const after = await counters.readAllRouterCounters(fleet);
    const readStats = (name: string) => counters.readEndpointStats(fleet, name);
    const engines = deployments.engineNames(deployment).map(readStats);
    const services = deployments.serviceNames(deployment).map(readStats);
    return checkAll({
      trace,
      records,
      controlRates: counters.controlRates(before, after),
      engines: await Promise.all(engines),
      services: await Promise.all(services),
      deployment,
    });
  } finally {
    player.close();
  }
}

function checkAll(measurements: Measurements): CheckResult {
  const results = [
    checkAnswers(measurements),
    checkReuse(measurements),
    checkSkew(measurements),
    checkControlTraffic(measurements),
    checkCertificates(measurements),
  ];
  return {
    lines: results.flatMap(result => result.lines),
    failures: results.flatMap(result => result.failures),
  };
}

function toResult(line: string, isPassed: boolean): CheckResult {
  return {lines: [line], failures: isPassed ? [] : [line]};
}

function checkAnswers({records}: Measurements): CheckResult {
  const types = ['chat', 'draft', 'status'] as const;
  const results = types.map(type => {
    const typeRecords = records.filter(({call}) => call.type === type);
    const counts = outcomes.countOutcomes(typeRecords);
    const isPassed = counts.answered >= MIN_ANSWERED * counts.sent;
    return toResult(`${type}: ${outcomes.formatCounts(counts)}`, isPassed);
  });
  return {
    lines: results.flatMap(result => result.lines),
    failures: results.flatMap(result => result.failures),
  };
}

function checkReuse({trace, records, deployment}: Measurements): CheckResult {
  const reuse = outcomes.sumReuse(records);
  const oracleReuse = oracle.simulateOracle(trace, {
    engines: deployments.engineNames(deployment),
    cacheTokens: deployments.ENGINE_SPEED.cacheTokens,
  });
  const shareOfOracle =
    reuse.cachedTokens / Math.max(1, oracleReuse.cachedTokens);
  const line =
    `reuse: ${formatPercent(oracle.reuseShare(reuse))} of the context of ` +
    `${reuse.returns} returns, ${formatPercent(shareOfOracle)} of what an oracle reaches`;
  return toResult(line, oracle.reuseShare(reuse) >= MIN_REUSE);
}

function checkSkew({records, engines, deployment}: Measurements): CheckResult {
  const namedEngines = deployments
    .engineNames(deployment)
    .map((name, index) => ({
      name,
      admissions: engines[index]!.admissions,
    }));
  const measuredSkew = skew.measureSkew(
    outcomes.toEngineRuns(records, namedEngines),
    {
      loadMultiple: LOAD_MULTIPLE,
    },
  );
  const starts = engines.map(({started}) => started);
  const line =
    `skew: ${measuredSkew.admissionsAboveBound} of ${measuredSkew.admissions} admissions above ` +
    `${LOAD_MULTIPLE} times the mean, by ${measuredSkew.maxExcess} at most; ` +
    `max over mean ${measuredSkew.maxOverMean.toFixed(2)} at ` +
    `${measuredSkew.meanInFlight.toFixed(1)} in flight; ` +
    `${Math.min(...starts)} to ${Math.max(...starts)} runs an engine`;
  return toResult(
    line,
    starts.every(count => count > 0),
  );
}

function checkControlTraffic({controlRates}: Measurements): CheckResult {
  const maxRate = Math.max(...controlRates);
  const line =
    `control: ${counters.mean(controlRates).toFixed(0)} bytes/s a router, ` +
    `sent and received, ${maxRate.toFixed(0)} at most`;
  return toResult(line, maxRate <= MAX_CONTROL_BYTES_PER_SECOND);
}

function checkCertificates({records, services}: Measurements): CheckResult {
  const certificates = records.filter(({call}) => call.type === 'certificate');
  const runsByKey = new Map<string, number>();
  for (const {runs_by_key: runsOfService} of services) {
    for (const [key, count] of Object.entries(runsOfService)) {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + count);
    }
  }
  const keys = [...new Set(certificates.map(({key}) => key ?? ''))];
  const counts = keys.map(key => runsByKey.get(key) ?? 0);
  const ranOnce = counts.filter(count => count === 1).length;
  const ranRepeatedly = counts.filter(count => count > 1).length;
  const line =
    `certificates: ${keys.length} issued by ${certificates.length} calls, ` +
    `${ranOnce} ran once, ${keys.length - ranOnce - ranRepeatedly} did not run, ` +
    `${ranRepeatedly} ran more than once (${outcomes.formatCounts(outcomes.countOutcomes(certificates))})`;
  return toResult(line, ranOnce === keys.length);
}

function formatPercent(value: number): string {
  return `${(value * 100).toFixed(1)}%`;
}
