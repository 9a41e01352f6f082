/**
 * Loads above the room of a pool, replayed in virtual time against today's
 * decisions and those that routers take: bursts, a customer's surge, an outage,
 * and an endpoint that has become slow.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as direct from '../index.js';
import * as simulatedPool from './simulatedpool.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const GOAL_MS = 300;
const TIMEOUT_MS = 2_000;

interface Result {
  readonly customer: string;
  readonly priority: number;
  readonly sentMs: number;
  readonly tookMs: number;
  readonly isServed: boolean;
}

interface Options {
  readonly areWired: boolean;
  readonly routers?: number;
  readonly endpoints?: number;
}

/** Callers, routers and endpoints; callers come back once if they are told to. */
class Replay {
  readonly results: Result[] = [];
  readonly clock = new virtualClock.VirtualClock();
  readonly endpoints: simulatedPool.SimulatedEndpoint[];
  readonly random = new core.SeededRandom(7);
  private readonly routers: simulatedPool.SimulatedRouter[];
  private count = 0;

  constructor({areWired, routers = 4, endpoints = 3}: Options) {
    this.endpoints = Array.from(
      {length: endpoints},
      (...[, index]) =>
        new simulatedPool.SimulatedEndpoint(this.clock, `e${index}`, 6, 6),
    );
    this.routers = Array.from({length: routers}, () => {
      const decisions = areWired
        ? simulatedPool.wiredDecisions(this.random)
        : simulatedPool.baselineDecisions();
      return new simulatedPool.SimulatedRouter(
        this.clock,
        this.endpoints,
        decisions,
        this.random,
      );
    });
  }

  /** Requests at an even mean rate from now on, for a while. */
  arrive(
    perSecond: number,
    forMs: number,
    fields: Partial<simulatedPool.SimulatedRequest> = {},
  ): void {
    const endMs = this.clock.nowMs() + forMs;
    const next = () => {
      if (this.clock.nowMs() >= endMs) return;
      void this.call({...this.newRequest(), ...fields});
      const meanMs = 1_000 / perSecond;
      this.clock.schedule(2 * meanMs * this.random.nextFloat(), next);
    };
    this.clock.schedule(0, next);
  }

  servedShare(filter: (result: Result) => boolean = () => true): number {
    const chosen = this.results.filter(filter);
    return chosen.filter(({isServed}) => isServed).length / chosen.length;
  }

  goodShare(filter: (result: Result) => boolean = () => true): number {
    const chosen = this.results.filter(filter);
    const good = chosen.filter(
      ({isServed, tookMs}) => isServed && tookMs <= GOAL_MS,
    );
    return good.length / chosen.length;
  }

  quantileMs(share: number): number {
    const times = this.results.map(({tookMs}) => tookMs).sort((a, b) => a - b);
    return times[Math.floor(times.length * share)]!;
  }

  private newRequest(): simulatedPool.SimulatedRequest {
    this.count += 1;
    return {
      id: `q${this.count}`,
      customer: `c${this.random.nextInt(5)}`,
      priority: 1,
      repeat: 'once',
      workMs: 30 + 60 * this.random.nextFloat(),
      goalMs: GOAL_MS,
      timeoutMs: TIMEOUT_MS,
    };
  }

  private async call(request: simulatedPool.SimulatedRequest): Promise<void> {
    const sentMs = this.clock.nowMs();
    let outcome = await this.send(request);
    const failure = outcome.type === 'failed' ? outcome.failure : undefined;
    if (failure?.retryAfterMs !== undefined) {
      const leftMs = request.timeoutMs - (this.clock.nowMs() - sentMs);
      await this.clock.sleep(Math.min(failure.retryAfterMs, leftMs / 3));
      const timeoutMs = request.timeoutMs - (this.clock.nowMs() - sentMs);
      outcome = await this.send({...request, timeoutMs});
    }
    const {customer, priority} = request;
    const tookMs = this.clock.nowMs() - sentMs;
    const isServed = outcome.type === 'answered' && outcome.status === 200;
    this.results.push({customer, priority, sentMs, tookMs, isServed});
  }

  private send(
    request: simulatedPool.SimulatedRequest,
  ): Promise<direct.RequestOutcome> {
    const router = this.routers[this.random.nextInt(this.routers.length)]!;
    return router.serve(request);
  }
}

/** Runs the same load with today's decisions and with those of routers. */
async function compare(
  play: (replay: Replay) => Promise<void>,
  options: Omit<Options, 'areWired'> = {},
): Promise<readonly [today: Replay, wired: Replay]> {
  const today = new Replay({areWired: false, ...options});
  const wired = new Replay({areWired: true, ...options});
  await play(today);
  await play(wired);
  return [today, wired];
}

describe('a burst above the room of a pool', () => {
  it('is served to a larger share when requests wait', async () => {
    const [today, wired] = await compare(async replay => {
      for (let burst = 0; burst < 5; burst++) {
        replay.arrive(150, 2_000);
        replay.arrive(350, 600);
        await replay.clock.advance(2_000);
      }
      await replay.clock.advance(5_000);
    });
    const [lostToday, lostNow] = [today, wired].map(
      replay => 1 - replay.servedShare(),
    );
    expect(lostToday, 'the load is above the room').to.be.above(0.05);
    expect(lostNow).to.be.below(lostToday! / 2);
  });

  it('leaves the urgent requests served', async () => {
    const [today, wired] = await compare(async replay => {
      replay.arrive(100, 6_000, {priority: 0});
      replay.arrive(450, 6_000, {priority: 2});
      await replay.clock.advance(12_000);
    });
    const isUrgent = ({priority}: Result) => priority === 0;
    const text = `today ${today.servedShare(isUrgent)}`;
    expect(wired.servedShare(isUrgent), text).to.be.above(
      today.servedShare(isUrgent),
    );
    const others = wired.servedShare(result => !isUrgent(result));
    expect(others, 'none starves').to.be.above(0.2);
  });
});

describe("one customer's surge", () => {
  it('leaves the others served', async () => {
    const [today, wired] = await compare(async replay => {
      replay.arrive(120, 6_000);
      replay.arrive(500, 6_000, {customer: 'hot'});
      await replay.clock.advance(12_000);
    });
    const isOther = ({customer}: Result) => customer !== 'hot';
    const text = `today ${today.servedShare(isOther)}`;
    expect(wired.servedShare(isOther), text).to.be.above(
      today.servedShare(isOther) + 0.05,
    );
  });
});

describe('an outage of a pool', () => {
  it('leaves nothing behind: 95% are in their goal 500 ms later', async () => {
    const replay = new Replay({areWired: true});
    replay.arrive(150, 10_000);
    await replay.clock.advance(3_000);
    for (const endpoint of replay.endpoints) endpoint.isRefusing = true;
    await replay.clock.advance(2_000);
    for (const endpoint of replay.endpoints) endpoint.isRefusing = false;
    await replay.clock.advance(12_000);
    const isAfter = ({sentMs}: Result) => sentMs > 5_500;
    expect(replay.goodShare(isAfter)).to.be.above(0.95);
  });
});

describe('an endpoint that has become slow', () => {
  const ROUTERS = 2;

  it('is overtaken by second sends, which stay few', async () => {
    const [today, wired] = await compare(
      async replay => {
        const fields = {repeat: 'idempotent' as const};
        replay.arrive(60, 20_000, fields);
        await replay.clock.advance(8_000);
        replay.endpoints[0]!.slowness = 10;
        await replay.clock.advance(16_000);
      },
      {endpoints: 12, routers: ROUTERS},
    );
    const text = `p99 today ${today.quantileMs(0.99)}, now ${wired.quantileMs(0.99)}`;
    expect(wired.quantileMs(0.99), text).to.be.below(
      today.quantileMs(0.99) * 0.75,
    );
    const runs = wired.endpoints.reduce((sum, {runCount}) => sum + runCount, 0);
    const requests = wired.results.length;
    const maxAtOnce = 3 * ROUTERS;
    expect(runs - requests).to.be.most(requests * 0.05 + maxAtOnce);
  });
});
