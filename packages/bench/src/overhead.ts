/**
 * Experiment: the time that the fleet adds to a request, against the same
 * request sent straight to the engine, and what one router process carries.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as http from 'node:http';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launching from './launch.js';
import * as publishing from './publish.js';
import * as quantiles from './quantiles.js';

const SEED = 53;
const ROUNDS = 400;
const WARM_UP_ROUNDS = 50;
const LOOP_MS = 4_000;
const LOOP_CALLERS = 14;
const TIMEOUT_MS = 10_000;
const SETTLE_MS = 500;
const MS_PER_SECOND = 1_000;

interface Address extends standins.CallAddress {
  readonly name: string;
}

/** The ways by which the same request reaches its engine. */
interface Ways {
  readonly chat: string;
  readonly engine: Address;
  /** The engine's owner. */
  readonly owner: Address;
  /** A router that has to pass it on. */
  readonly other: Address;
}

type Times = Record<'engine' | 'owner' | 'other', number[]>;

/** Time added to a request, and requests a second of one router. */
export class OverheadExperiment implements experiments.Experiment {
  readonly name = 'overhead';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();
  private readonly agent = new http.Agent({keepAlive: true});

  async run(running: launching.Running): Promise<experiments.Findings> {
    const access = launching.adminAccess(running.fleet);
    // All load goes to one engine here, which the usual multiple forbids.
    await publishing.publish(deployments.rows({loadMultiple: 10}), access);
    await this.clock.sleep(SETTLE_MS);
    const ways = await this.find(running);
    const times = await this.compare(ways);
    const loop = await this.loop(ways);
    await publishing.publish(deployments.rows(), access);
    this.agent.destroy();
    return judge(times, loop);
  }

  private async find({fleet}: launching.Running): Promise<Ways> {
    const chat = `overhead-${SEED}`;
    const routers = fleet.instances('router');
    const caller = new standins.Caller({routers});
    const where = await caller.where(chat, deployments.PATHS.chat);
    caller.close();
    const owner = where?.addresses[0];
    const other = routers.find(({name}) => name !== owner?.name);
    if (!owner || !other) throw new Error('no router tells where');
    const {result} = await this.call(owner, chat);
    if (result.type !== 'answered') throw new Error('the owner did not answer');
    const engine = fleet.member(result.endpoint).instance;
    return {chat, engine, owner, other};
  }

  /** Sends the request by each way in turn, one at a time. */
  private async compare(ways: Ways): Promise<Times> {
    const times: Times = {engine: [], owner: [], other: []};
    const names = ['engine', 'owner', 'other'] as const;
    for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round++) {
      for (const name of names) {
        const {timeMs} = await this.call(ways[name], ways.chat);
        if (round >= WARM_UP_ROUNDS) times[name].push(timeMs);
      }
    }
    return times;
  }

  /** A closed loop of a few callers on the owner. */
  private async loop({owner, chat}: Ways): Promise<Loop> {
    const address = `${owner.address}:${owner.port}`;
    const before = await counters.readRouter(address);
    const endMs = this.clock.nowMs() + LOOP_MS;
    const times: number[] = [];
    let failures = 0;
    const work = async () => {
      while (this.clock.nowMs() < endMs) {
        const {result, timeMs} = await this.call(owner, chat);
        if (result.type === 'answered') times.push(timeMs);
        else failures += 1;
      }
    };
    await Promise.all([...Array(LOOP_CALLERS).keys()].map(work));
    const after = await counters.readRouter(address);
    const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
    const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
    return {times, failures, seconds, cpuSeconds};
  }

  private async call(
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
    const beganMs = this.clock.nowMs();
    const outcome = await standins.call(address, request, {
      nonce,
      agent: this.agent,
      timeoutMs: TIMEOUT_MS,
      connectTimeoutMs: TIMEOUT_MS,
    });
    const timeMs = this.clock.nowMs() - beganMs;
    if (outcome.type === 'raw') {
      return {result: standins.check(outcome.answer, nonce), timeMs};
    }
    return {result: {type: 'broken', reason: outcome.reason}, timeMs};
  }
}

interface Loop {
  readonly times: readonly number[];
  readonly failures: number;
  readonly seconds: number;
  readonly cpuSeconds: number;
}

function judge(times: Times, loop: Loop): experiments.Findings {
  const at = (name: keyof Times, percent: number) =>
    quantiles.percentile(times[name], percent);
  const added = (name: keyof Times, percent: number) => ({
    name: `added by ${name === 'owner' ? 'the owner' : 'owner and one hop'}, p${percent}`,
    unit: 'ms',
    value: at(name, percent) - at('engine', percent),
  });
  const count = loop.times.length;
  const figures: experiments.Figure[] = [
    {name: 'straight to the engine, p50', unit: 'ms', value: at('engine', 50)},
    {name: 'straight to the engine, p99', unit: 'ms', value: at('engine', 99)},
    added('owner', 50),
    added('owner', 99),
    added('other', 50),
    added('other', 99),
    {
      name: 'one router, closed loop',
      unit: 'requests/s',
      value: count / loop.seconds,
    },
    {
      name: 'one router, closed loop, p99',
      unit: 'ms',
      value: quantiles.percentile(loop.times, 99),
    },
    {
      name: 'one router, by its processor time',
      unit: 'requests/core-s',
      value: count / loop.cpuSeconds,
    },
  ];
  const notes = [
    `overhead: ${ROUNDS} requests by each way, one at a time; closed loop of ` +
      `${LOOP_CALLERS} callers, ${count} answered, ${loop.failures} not, ` +
      `router at ${((100 * loop.cpuSeconds) / loop.seconds).toFixed(0)}% of a core`,
  ];
  return {figures, plots: [], notes};
}
