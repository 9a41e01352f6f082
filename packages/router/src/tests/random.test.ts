/**
 * Guards against at-most-once calls that run twice, and against false `ran: no`
 * answers, under random faults: routers are killed, restarted and frozen, the
 * log fails or loses replies, and calls are sent again through other routers.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as fleetCalls from './fleetcalls.js';
import * as polling from './polling.js';

const ROUTERS = ['r0', 'r1', 'r2', 'r3', 'r4', 'r5'];
const SERVICES = ['a', 'b', 'c'];
const KEYS = 540;
const CALLERS = 24;
const MAX_SENDS = 4;
const DUPLICATE_SHARE = 0.15;
const FAULT_INTERVAL_MS = 250;
const OUTAGE_MS = 300;
const FLAGS = [
  ['--claim-timeout-ms', '800'],
  ['--claim-validity-ms', '800'],
].flat();
const SEEDS = (process.env['ONCE_SEEDS'] ?? '1').split(',').map(Number);

type Fault = () => Promise<void>;

/** One randomized run of a fleet; the seed selects faults and routers. */
class RandomTrial {
  readonly fleet = fleetCalls.createFleet();
  readonly results: standins.CallResult[] = [];
  readonly faultCounts = new Map<string, number>();
  private readonly random: core.Random;
  private readonly failing = new Set<string>();
  private isEnded = false;

  constructor(seed: number) {
    this.random = new core.SeededRandom(seed);
  }

  async start(): Promise<void> {
    await this.fleet.start();
    const route = {wait_ms: 300, first_byte_timeout_ms: 1_500};
    await fleetCalls.addOrdersRoute(this.fleet, SERVICES, route);
    const services = SERVICES.map(name => this.fleet.addService({name}));
    const routers = ROUTERS.map(name => this.startRouter(name));
    await Promise.all([...services, ...routers]);
  }

  /** Sends a call for each key while faults are injected; returns the keys. */
  async run(): Promise<string[]> {
    const keys = Array.from({length: KEYS}, () => core.createId());
    const remaining = [...keys];
    const faults = this.injectFaults();
    const callers = Array.from({length: CALLERS}, () =>
      this.sendKeys(remaining),
    );
    await Promise.all(callers);
    this.isEnded = true;
    await faults;
    return keys;
  }

  private async startRouter(name: string): Promise<void> {
    const router = await this.fleet.addRouter({name, flags: FLAGS});
    await polling.until('the router is ready', () =>
      fleetCalls.isReady(router),
    );
  }

  /** One caller: takes keys from the shared list and sends a call for each. */
  private async sendKeys(remaining: string[]): Promise<void> {
    for (;;) {
      const key = remaining.pop();
      if (key === undefined) return;
      const isDuplicated = this.random.nextFloat() < DUPLICATE_SHARE;
      const copyCount = isDuplicated ? 2 : 1;
      const sends = Array.from({length: copyCount}, () =>
        this.sendUntilAnswered(key),
      );
      await Promise.all(sends);
    }
  }

  private async sendUntilAnswered(key: string): Promise<void> {
    for (let count = 0; count < MAX_SENDS; count++) {
      const name = this.pick(ROUTERS);
      const router = this.fleet.member(name);
      const result = await fleetCalls.call(router, {idempotencyKey: key});
      this.results.push(result);
      if (result.type === 'answered') return;
    }
  }

  private async injectFaults(): Promise<void> {
    const faults: Array<[string, Fault]> = [
      ['kill', () => this.killRouter()],
      ['freeze', () => this.freezeRouter()],
      ['outage', () => this.interruptLog()],
      ['lost replies', () => this.loseReplies()],
    ];
    const running: Array<Promise<void>> = [];
    while (!this.isEnded) {
      const [name, fault] = this.pick(faults);
      this.faultCounts.set(name, (this.faultCounts.get(name) ?? 0) + 1);
      running.push(fault());
      await pause(FAULT_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  private async killRouter(): Promise<void> {
    const name = this.pickRouterToFail();
    if (name === undefined) return;
    await this.fleet.kill(name);
    await pause(FAULT_INTERVAL_MS);
    await this.startRouter(name);
    this.failing.delete(name);
  }

  private async freezeRouter(): Promise<void> {
    const name = this.pickRouterToFail();
    if (name === undefined) return;
    this.fleet.freeze(name);
    await pause(200 + this.random.nextInt(1_500));
    this.fleet.resume(name);
    this.failing.delete(name);
  }

  private async interruptLog(): Promise<void> {
    await this.fleet.setPlatformFaults({log_down: true});
    await pause(OUTAGE_MS);
    await this.fleet.setPlatformFaults({log_down: false});
  }

  private async loseReplies(): Promise<void> {
    const fault = {lose_append_replies: 1 + this.random.nextInt(4)};
    await this.fleet.setPlatformFaults(fault);
  }

  /** Picks a router to fail, or none, so that at least three keep running. */
  private pickRouterToFail(): string | undefined {
    const name = this.pick(ROUTERS);
    if (this.failing.size >= 3 || this.failing.has(name)) return undefined;
    this.failing.add(name);
    return name;
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.random.nextInt(items.length)] as T;
  }
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

function countOccurrences(names: Iterable<string>): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

for (const seed of SEEDS) {
  describe(`at most once under random faults, seed ${seed}`, function () {
    this.timeout(60_000);
    const trial = new RandomTrial(seed);

    before(() => trial.start());

    after(() => trial.fleet.stop());

    it(`runs each of ${KEYS} keys at most once, with no false ran: no`, async () => {
      const keys = await trial.run();
      const counts = await fleetCalls.countRuns(trial.fleet, SERVICES);
      const runs = keys.map(key => counts.byKey.get(key) ?? 0);
      const kinds = countOccurrences(trial.results.map(fleetCalls.kindOf));
      const faults = Object.fromEntries(trial.faultCounts);
      const summary = {
        seed,
        ...countOccurrences(runs.map(run => `ran_${run}`)),
        ...kinds,
      };
      process.stdout.write(
        `      ${core.formatFields({...summary, ...faults})}\n`,
      );
      chai.expect(Math.max(...runs)).to.equal(1);
      const falseReports = fleetCalls.findFalseNotRun(trial.results, counts);
      chai.expect(falseReports).to.deep.equal([]);
    });
  });
}
