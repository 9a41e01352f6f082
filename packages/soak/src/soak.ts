/** One soak: a world, its traffic, the faults of a seed, and the checks. */
import * as core from '@oleanderrock/core';
import * as faults from './faults.js';
import * as plan from './plan.js';
import * as promises from './promises.js';
import * as tables from './tables.js';
import * as traffic from './traffic.js';
import * as worlds from './world.js';

/** Pause between two questions for the newest version, in ms. */
const PROBE_MS = 250;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly routers: number;
  readonly endpoints: number;
  readonly callers: number;
}

/** Sizes of a usual soak. */
export const USUAL: Omit<SoakOptions, 'seed'> = {
  lengthMs: 12_000,
  routers: 4,
  endpoints: 3,
  callers: 10,
};

/** What a soak found. */
export interface Report {
  readonly seed: number;
  readonly steps: readonly plan.Step[];
  readonly calls: number;
  readonly served: number;
  /** A line for each promise that was broken. */
  readonly breaches: readonly string[];
  /** The last lines of each router. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** Runs a soak. */
export async function soak(options: SoakOptions): Promise<Report> {
  const random = new core.SeededRandom(options.seed);
  const world = new worlds.World();
  const doer = new faults.Faults(world, random);
  const load = new traffic.Traffic(world, random);
  const steps = plan.plan(options);
  const breaches: string[] = [];
  try {
    await world.start(options.routers, options.endpoints);
    load.start(options.callers);
    const {lengthMs} = options;
    await play({world, load, doer, steps, lengthMs});
    breaches.push(...(await recover(world, load)));
    await load.stop();
    breaches.push(...promises.check({calls: load.calls, world}));
  } catch (error) {
    breaches.push(core.errorMessage(error));
  } finally {
    await load.stop();
    await world.stop();
  }
  return {
    seed: options.seed,
    steps,
    calls: load.calls.length,
    served: load.calls.filter(({answer}) => answer?.status === 200).length,
    breaches,
    logs: new Map(world.routers.map(slot => [slot.address, slot.child.lines])),
  };
}

interface PlayOptions {
  readonly world: worlds.World;
  readonly load: traffic.Traffic;
  readonly doer: faults.Faults;
  readonly steps: readonly plan.Step[];
  readonly lengthMs: number;
}

/** Does the faults at their times; they overlap. */
async function play({
  world,
  load,
  doer,
  steps,
  lengthMs,
}: PlayOptions): Promise<void> {
  const beganMs = performance.now();
  const sinceMs = () => performance.now() - beganMs;
  const running: Array<Promise<void>> = [];
  const over = new AbortController();
  const probes = probe(world, load, over.signal);
  for (const {atMs, fault} of steps) {
    await worlds.sleep(Math.max(0, atMs - sinceMs()));
    running.push(doer.apply(fault));
  }
  await worlds.sleep(Math.max(0, lengthMs - sinceMs()));
  await Promise.all(running);
  over.abort();
  await probes;
}

/** Asks every router for the newest version's route. */
async function probe(
  world: worlds.World,
  load: traffic.Traffic,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await worlds.sleep(PROBE_MS);
    const {version} = world.versions.at(-1)!;
    const path = `${tables.versionPath(version)}probe`;
    await Promise.all(
      world.routers.map(({address}) => load.call(address, path)),
    );
  }
}

/** After the last fault, all routers serve every kind of request again. */
async function recover(
  world: worlds.World,
  load: traffic.Traffic,
): Promise<string[]> {
  await world.allReady();
  const lacking: string[] = [];
  for (const {address} of world.routers) {
    for (const kind of Object.keys(tables.KINDS)) {
      const served = await persist(load, address, `/${kind}/after`);
      if (!served) lacking.push(`${address} does not serve ${kind} again`);
    }
  }
  return lacking;
}

/** Tries of a kind of request after the faults. */
const TRIES = 40;

async function persist(
  load: traffic.Traffic,
  router: string,
  path: string,
): Promise<boolean> {
  for (let tried = 0; tried < TRIES; tried++) {
    const {answer} = await load.call(router, path);
    if (answer?.status === 200 && answer.isWhole) return true;
    await worlds.sleep(PROBE_MS);
  }
  return false;
}
