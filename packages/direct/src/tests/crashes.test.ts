/**
 * Requests with a part that crashes endpoints, over virtual time: how many reach
 * endpoints, and whether sound requests beside them are still served.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';

const {expect} = chai;

/** Time after which rules on crashes hold, in ms. */
const CONTACT_MS = 3_000;

/** Crashes after which few more requests with the part may come. */
const CRASH_LIMIT = 5;

const MAX_SENDS = 2;
const RESTART_MS = 3_000;

/** Time until a refused connection tells a router of a crash, in ms. */
const DETECTION_MS = 2;

const FIRST_PART = 'pfirst';
const DEADLY_PART = 'pdeadly';

interface Engine {
  readonly id: string;
  bornMs: number;
  isUp: boolean;
}

interface Load {
  readonly soundPerSecond: number;
  readonly deadlyPerSecond: number;
  readonly sessions: number;
}

/** Plays requests against the crash trackers of a simulated fleet. */
class CrashingEngines {
  readonly crashTimesMs: number[] = [];
  readonly deadlySendTimesMs: number[] = [];
  /** Sound requests by time: whether they began at the first attempt. */
  readonly soundResults: Array<{atMs: number; hasBegun: boolean}> = [];
  private readonly random: core.Random;
  private readonly engines: Engine[];
  private requestCount = 0;
  private isEnded = false;

  constructor(
    private readonly fleet: simulatedFleet.SimulatedFleet,
    engineCount: number,
    private readonly load: Load,
    seed: number,
  ) {
    this.random = new core.SeededRandom(seed);
    this.engines = [...Array(engineCount).keys()].map(index => {
      return {id: `e${index}`, bornMs: 1, isUp: true};
    });
  }

  start(): void {
    this.arriveNext(this.load.soundPerSecond, () => this.sendSound());
    this.arriveNext(this.load.deadlyPerSecond, () => this.sendDeadly());
  }

  end(): void {
    this.isEnded = true;
  }

  crash(engine: Engine): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    this.crashTimesMs.push(this.nowMs());
    const {id, bornMs} = engine;
    for (const {kernel} of this.fleet.running()) {
      this.fleet.clock.schedule(DETECTION_MS * this.random.nextFloat(), () => {
        const tracker = kernel.find(direct.CRASH_TRACKER);
        tracker.recordCrash({id, bornMs}, this.nowMs());
      });
    }
    this.fleet.clock.schedule(RESTART_MS, () => {
      engine.bornMs = this.nowMs();
      engine.isUp = true;
    });
  }

  crashMany(count: number): void {
    for (const engine of this.engines.slice(0, count)) this.crash(engine);
  }

  private arriveNext(perSecond: number, send: () => void): void {
    if (this.isEnded || perSecond === 0) return;
    const delayMs = (2_000 * this.random.nextFloat()) / perSecond;
    this.fleet.clock.schedule(delayMs, () => {
      send();
      this.arriveNext(perSecond, send);
    });
  }

  private sendSound(): void {
    const session = `ps${this.random.nextInt(this.load.sessions)}`;
    const result = {atMs: this.nowMs(), hasBegun: false};
    this.soundResults.push(result);
    this.send([FIRST_PART, session], false, () => (result.hasBegun = true));
  }

  private sendDeadly(): void {
    const session = `pd${this.random.nextInt(this.load.sessions)}`;
    this.send([FIRST_PART, DEADLY_PART, session], true, () => undefined);
  }

  private send(parts: string[], isDeadly: boolean, onBegun: () => void): void {
    const ready = this.fleet.running().filter(each => this.fleet.isReady(each));
    const router = ready[this.random.nextInt(ready.length)]!;
    this.requestCount += 1;
    const id = `q${this.requestCount}`;
    this.sendOnce(router, id, [`w${id}`, ...parts], isDeadly, onBegun, 1);
  }

  private sendOnce(
    router: simulatedFleet.SimulatedRouter,
    id: string,
    keys: string[],
    isDeadly: boolean,
    onBegun: () => void,
    sendCount: number,
  ): void {
    const tracker = router.kernel.find(direct.CRASH_TRACKER);
    if (tracker.admit(id, keys, this.nowMs()).type === 'refused') return;
    const up = this.engines.filter(({isUp}) => isUp);
    const engine = up[this.random.nextInt(Math.max(1, up.length))];
    if (!engine) return;
    if (isDeadly) this.deadlySendTimesMs.push(this.nowMs());
    const {bornMs} = engine;
    const request = tracker.recordStart(id, keys, engine.id);
    const prefillMs = 20 + 230 * this.random.nextFloat();
    this.fleet.clock.schedule(prefillMs, () => {
      const isAlive = engine.isUp && engine.bornMs === bornMs;
      if (isAlive && !isDeadly) {
        tracker.recordBegun(request, this.nowMs());
        tracker.recordEnd(request);
        onBegun();
        return;
      }
      if (isAlive) this.crash(engine);
      this.fleet.clock.schedule(2 * DETECTION_MS, () => {
        tracker.recordEnd(request);
        if (sendCount === MAX_SENDS || !router.isRunning) return;
        this.sendOnce(router, id, keys, isDeadly, onBegun, sendCount + 1);
      });
    });
  }

  private nowMs(): number {
    return this.fleet.clock.nowMs();
  }
}

async function startFleet(
  options: simulatedFleet.SimulatedFleetOptions,
): Promise<simulatedFleet.SimulatedFleet> {
  const fleet = new simulatedFleet.SimulatedFleet(options);
  await fleet.start();
  const areReady = () => fleet.running().every(each => fleet.isReady(each));
  await fleet.clock.until(areReady, 12_000);
  await fleet.clock.advance(2_000);
  return fleet;
}

describe('a part of prompts that crashes endpoints', () => {
  for (const {routers, endpoints, sound, deadly, seed} of [
    {routers: 19, endpoints: 12, sound: 20, deadly: 1, seed: 1},
    {routers: 19, endpoints: 12, sound: 20, deadly: 4, seed: 2},
    {routers: 195, endpoints: 88, sound: 80, deadly: 4, seed: 3},
    {routers: 195, endpoints: 88, sound: 80, deadly: 1, seed: 4},
  ]) {
    it(`reaches few endpoints of ${routers} routers at ${deadly}/s, and refuses no sound request, at 5% loss and with a restart`, async function () {
      this.timeout(120_000);
      const options = {routers, endpoints, zones: 4, loss: 0.05, seed};
      const fleet = await startFleet(options);
      const load = {
        soundPerSecond: sound,
        deadlyPerSecond: deadly,
        sessions: 71,
      };
      const engines = new CrashingEngines(fleet, endpoints, load, seed);
      engines.start();
      await fleet.clock.advance(9_000);
      const restarted = fleet.running()[3]!;
      fleet.kill(restarted);
      await fleet.clock.advance(1_000);
      fleet.restart(restarted);
      await fleet.clock.advance(13_000);
      engines.end();
      const fifthMs = engines.crashTimesMs[CRASH_LIMIT - 1] ?? Infinity;
      const late = engines.deadlySendTimesMs.filter(
        atMs => atMs > fifthMs + CONTACT_MS,
      );
      expect(late, 'sends later than allowed').to.have.length.at.most(3);
      const measured = engines.soundResults.filter(
        ({atMs}) => atMs > fifthMs + 2 * CONTACT_MS,
      );
      const served = measured.filter(({hasBegun}) => hasBegun);
      expect(measured.length, 'sound requests').to.be.above(50);
      expect(served.length / measured.length).to.be.above(0.9);
      await fleet.stop();
    });
  }

  it('is not suspected where a quarter of the endpoints crash at one moment', async function () {
    this.timeout(120_000);
    const fleet = await startFleet({routers: 19, endpoints: 12, loss: 0.05});
    const load = {soundPerSecond: 60, deadlyPerSecond: 0, sessions: 71};
    const engines = new CrashingEngines(fleet, 12, load, 5);
    engines.start();
    for (let count = 0; count < 4; count++) {
      await fleet.clock.advance(2_000);
      engines.crashMany(3);
    }
    await fleet.clock.advance(3_000);
    engines.end();
    const nowMs = fleet.clock.nowMs();
    for (const {kernel} of fleet.running()) {
      const tracker = kernel.find(direct.CRASH_TRACKER);
      for (let session = 0; session < load.sessions; session++) {
        const keys = ['wnew', FIRST_PART, `ps${session}`];
        expect(tracker.admit('q', keys, nowMs).type).to.equal('free');
      }
    }
    await fleet.stop();
  });
});
