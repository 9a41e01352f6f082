/** What the demo does with a fleet, and what it looks at afterwards. */
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as launching from './launch.js';
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

/** What the demo found. */
export interface Findings {
  /** Lines of the report. */
  readonly lines: readonly string[];
  /** What is not as it must be. */
  readonly failures: readonly string[];
}

interface Evidence {
  readonly trace: readonly traces.Call[];
  readonly played: readonly players.Played[];
  readonly controlRates: readonly number[];
  readonly engines: readonly counters.EndpointStats[];
  readonly services: readonly counters.EndpointStats[];
  readonly deployment: deployments.Deployment;
}

/** Plays the demo's trace and looks at what came of it. */
export async function run(running: launching.Running): Promise<Findings> {
  const {fleet, deployment} = running;
  const trace = traces.generate(TRACE);
  const player = new players.Player(fleet.addresses());
  try {
    const before = await counters.readRouters(fleet);
    const played = await player.play(trace);
    const after = await counters.readRouters(fleet);
    const read = (name: string) => counters.readEndpoint(fleet, name);
    const engines = deployments.engineNames(deployment).map(read);
    const services = deployments.serviceNames(deployment).map(read);
    return judge({
      trace,
      played,
      controlRates: counters.controlRates(before, after),
      engines: await Promise.all(engines),
      services: await Promise.all(services),
      deployment,
    });
  } finally {
    player.close();
  }
}

function judge(evidence: Evidence): Findings {
  const parts = [
    judgeAnswers(evidence),
    judgeReuse(evidence),
    judgeSkew(evidence),
    judgeControl(evidence),
    judgeCertificates(evidence),
  ];
  return {
    lines: parts.flatMap(part => part.lines),
    failures: parts.flatMap(part => part.failures),
  };
}

function finding(line: string, isGood: boolean): Findings {
  return {lines: [line], failures: isGood ? [] : [line]};
}

function judgeAnswers({played}: Evidence): Findings {
  const types = ['chat', 'draft', 'status'] as const;
  const parts = types.map(type => {
    const own = played.filter(({call}) => call.type === type);
    const counted = outcomes.count(own);
    const isGood = counted.answered >= MIN_ANSWERED * counted.sent;
    return finding(`${type}: ${outcomes.format(counted)}`, isGood);
  });
  return {
    lines: parts.flatMap(part => part.lines),
    failures: parts.flatMap(part => part.failures),
  };
}

function judgeReuse({trace, played, deployment}: Evidence): Findings {
  const found = outcomes.reuse(played);
  const best = oracle.foresee(trace, {
    engines: deployments.engineNames(deployment),
    cacheTokens: deployments.ENGINE_SPEED.cacheTokens,
  });
  const ofOracle = found.cachedTokens / Math.max(1, best.cachedTokens);
  const line =
    `reuse: ${percent(oracle.share(found))} of the context of ` +
    `${found.returns} returns, ${percent(ofOracle)} of what an oracle reaches`;
  return finding(line, oracle.share(found) >= MIN_REUSE);
}

function judgeSkew({played, engines, deployment}: Evidence): Findings {
  const named = deployments.engineNames(deployment).map((name, index) => ({
    name,
    admissions: engines[index]!.admissions,
  }));
  const found = skew.measure(outcomes.engineRuns(played, named), {
    loadMultiple: LOAD_MULTIPLE,
  });
  const starts = engines.map(({started}) => started);
  const line =
    `skew: ${found.above} of ${found.admissions} admissions above ` +
    `${LOAD_MULTIPLE} times the mean, by ${found.mostAbove} at most; ` +
    `max over mean ${found.maxOverMean.toFixed(2)} at ` +
    `${found.meanInFlight.toFixed(1)} in flight; ` +
    `${Math.min(...starts)} to ${Math.max(...starts)} runs an engine`;
  return finding(
    line,
    starts.every(count => count > 0),
  );
}

function judgeControl({controlRates}: Evidence): Findings {
  const most = Math.max(...controlRates);
  const line =
    `control: ${counters.mean(controlRates).toFixed(0)} bytes/s a router, ` +
    `sent and received, ${most.toFixed(0)} at most`;
  return finding(line, most <= MAX_CONTROL_BYTES_PER_SECOND);
}

function judgeCertificates({played, services}: Evidence): Findings {
  const issued = played.filter(({call}) => call.type === 'certificate');
  const runs = new Map<string, number>();
  for (const {runs_by_key: byKey} of services) {
    for (const [key, count] of Object.entries(byKey)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  const keys = [...new Set(issued.map(({key}) => key ?? ''))];
  const counts = keys.map(key => runs.get(key) ?? 0);
  const once = counts.filter(count => count === 1).length;
  const twice = counts.filter(count => count > 1).length;
  const line =
    `certificates: ${keys.length} issued by ${issued.length} calls, ` +
    `${once} ran once, ${keys.length - once - twice} did not run, ` +
    `${twice} ran more than once (${outcomes.format(outcomes.count(issued))})`;
  return finding(line, once === keys.length);
}

function percent(value: number): string {
  return `${(value * 100).toFixed(1)}%`;
}
