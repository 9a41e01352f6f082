/**
 * Experiment: the time that the fleet adds to a request, compared to the same
 * request sent directly to the engine, and the throughput of a router process.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as http from 'node:http';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launcher from './launcher.js';
import * as publisher from './publisher.js';
import * as percentiles from './percentiles.js';

const SEED = 53;
const MEASURED_ROUNDS = 400;
const WARM_UP_ROUNDS = 50;
const LOOP_MS = 4_000;
const LOOP_CALLERS = 14;
const TIMEOUT_MS = 10_000;
const SETTLE_MS = 500;
const MS_PER_SECOND = 1_000;

interface NamedAddress extends standins.CallAddress {
  readonly name: string;
}

/** The paths by which the same request can reach its engine. */
interface RequestPaths {
  readonly chat: string;
  readonly engine: NamedAddress;
  /** The router that owns the engine. */
  readonly owner: NamedAddress;
  /** A router that passes requests on to the owner. */
  readonly nonOwner: NamedAddress;
}

type TimesMs = Record<'engine' | 'owner' | 'nonOwner', number[]>;

/** Measures the time added to a request and the throughput of one router. */
export class OverheadExperiment implements experiments.Experiment {
  readonly name = 'overhead';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();
  private readonly agent = new http.Agent({keepAlive: true});

  async run(testbed: launcher.Testbed): Promise<experiments.Findings> {
    const access = launcher.adminAccess(testbed.fleet);
    // All load goes to one engine here, which the default multiple forbids.
    await publisher.publishTables(
      deployments.createRows({loadMultiple: 10}),
      access,
    );
    await this.clock.sleep(SETTLE_MS);
    const paths = await this.resolvePaths(testbed);
    const times = await this.measurePaths(paths);
    const loopResult = await this.runClosedLoop(paths);
    await publisher.publishTables(deployments.createRows(), access);
    this.agent.destroy();
    return toFindings(times, loopResult);
  }

  private async resolvePaths({fleet}: launcher.Testbed): Promise<RequestPaths> {
    const chat = `overhead-${SEED}`;
    const routers = fleet.instances('router');
    const caller = new standins.Caller({routers});
    const resolution = await caller.lookUpAddresses(
      chat,
      deployments.PATHS.chat,
    );
    caller.close();
    const owner = resolution?.addresses[0];
    const nonOwner = routers.find(({name}) => name !== owner?.name);
    if (!owner || !nonOwner) throw new Error('no router returned an owner');
    const {result} = await this.sendCall(owner, chat);
    if (result.type !== 'answered') throw new Error('the owner did not answer');
    const engine = fleet.member(result.endpoint).instance;
    return {chat, engine, owner, nonOwner};
  }

  /** Sends the request by each path in turn, one at a time. */
  private async measurePaths(paths: RequestPaths): Promise<TimesMs> {
    const times: TimesMs = {engine: [], owner: [], nonOwner: []};
    const pathNames = ['engine', 'owner', 'nonOwner'] as const;
    for (let round = 0; round < MEASURED_ROUNDS + WARM_UP_ROUNDS; round++) {
      for (const name of pathNames) {
        const {timeMs} = await this.sendCall(paths[name], paths.chat);
        if (round >= WARM_UP_ROUNDS) times[name].push(timeMs);
      }
    }
    return times;
  }

  /** Runs a closed loop of a few callers on the owner. */
  private async runClosedLoop({
    owner,
    chat,
  }: RequestPaths): Promise<ClosedLoopResult> {
    const address = `${owner.address}:${owner.port}`;
    const before = await counters.readRouterCounters(address);
    const endMs = this.clock.nowMs() + LOOP_MS;
    const times: number[] = [];
    let failures = 0;
    const runCaller = async () => {
      while (this.clock.nowMs() < endMs) {
        const {result, timeMs} = await this.sendCall(owner, chat);
        if (result.type === 'answered') times.push(timeMs);
        else failures += 1;
      }
    };
    await Promise.all([...Array(LOOP_CALLERS).keys()].map(runCaller));
    const after = await counters.readRouterCounters(address);
    const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
    const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
    return {times, failures, seconds, cpuSeconds};
  }

  private async sendCall(
    address: standins.CallAddress,
    chat: string,
  ): Promise<{result: standins.CallResult; timeMs: number}> {
    const nonce = core.createId();
    const request = {
      method: 'POST',
      path: deployments.PATHS.chat,
      customer: 'customer-1',
      chat,
      body: {prompt_tokens: 0, output_tokens: 0},
    };
    const startMs = this.clock.nowMs();
    const outcome = await standins.sendCall(address, request, {
      nonce,
      agent: this.agent,
      timeoutMs: TIMEOUT_MS,
      connectTimeoutMs: TIMEOUT_MS,
    });
    const timeMs = this.clock.nowMs() - startMs;
    if (outcome.type === 'raw') {
      return {result: standins.check(outcome.answer, nonce), timeMs};
    }
    return {result: {type: 'broken', reason: outcome.reason}, timeMs};
  }
}

interface ClosedLoopResult {
  readonly times: readonly number[];
  readonly failures: number;
  readonly seconds: number;
  readonly cpuSeconds: number;
}

function toFindings(
  times: TimesMs,
  loopResult: ClosedLoopResult,
): experiments.Findings {
  const percentileMs = (name: keyof TimesMs, percent: number) =>
    percentiles.percentileMs(times[name], percent);
  const addedTimeFigure = (name: keyof TimesMs, percent: number) => ({
    name: `added by ${name === 'owner' ? 'the owner' : 'owner and one hop'}, p${percent}`,
    unit: 'ms',
    value: percentileMs(name, percent) - percentileMs('engine', percent),
  });
  const answeredCount = loopResult.times.length;
  const figures: experiments.Figure[] = [
    {
      name: 'straight to the engine, p50',
      unit: 'ms',
      value: percentileMs('engine', 50),
    },
    {
      name: 'straight to the engine, p99',
      unit: 'ms',
      value: percentileMs('engine', 99),
    },
    addedTimeFigure('owner', 50),
    addedTimeFigure('owner', 99),
    addedTimeFigure('nonOwner', 50),
    addedTimeFigure('nonOwner', 99),
    {
      name: 'one router, closed loop',
      unit: 'requests/s',
      value: answeredCount / loopResult.seconds,
    },
    {
      name: 'one router, closed loop, p99',
      unit: 'ms',
      value: percentiles.percentileMs(loopResult.times, 99),
    },
    {
      name: 'one router, by its processor time',
      unit: 'requests/core-s',
      value: answeredCount / loopResult.cpuSeconds,
    },
  ];
  const notes = [
    `overhead: ${MEASURED_ROUNDS} requests by each way, one at a time; closed loop of ` +
      `${LOOP_CALLERS} callers, ${answeredCount} answered, ${loopResult.failures} not, ` +
      `router at ${((100 * loopResult.cpuSeconds) / loopResult.seconds).toFixed(0)}% of a core`,
  ];
  return {figures, plots: [], notes};
}
