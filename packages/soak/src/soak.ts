/** Runs one soak: an environment, traffic, scheduled faults and checks. */
import * as core from '@oleanderrock/core';
import * as faults from './faults.js';
import * as plan from './plan.js';
import * as guarantees from './guarantees.js';
import * as tables from './tables.js';
import * as traffic from './traffic.js';
import * as environments from './environment.js';

/** Pause between two probes of a router, in ms. */
const PROBE_MS = 250;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly routers: number;
  readonly endpoints: number;
  readonly callers: number;
}

/** Default duration and sizes of a soak. */
export const DEFAULT_OPTIONS: Omit<SoakOptions, 'seed'> = {
  lengthMs: 12_000,
  routers: 4,
  endpoints: 3,
  callers: 10,
};

/** Result of a soak. */
export interface Report {
  readonly seed: number;
  readonly steps: readonly plan.ScheduledFault[];
  readonly calls: number;
  readonly served: number;
  /** One line for each breach of a guarantee. */
  readonly breaches: readonly string[];
  /** The last log lines of each router, by address. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** Runs a soak; an error of the run itself is reported as a breach. */
export async function runSoak(options: SoakOptions): Promise<Report> {
  const random = new core.SeededRandom(options.seed);
  const environment = new environments.SoakEnvironment();
  const injector = new faults.FaultInjector(environment, random);
  const generator = new traffic.TrafficGenerator(environment, random);
  const steps = plan.generatePlan(options);
  const breaches: string[] = [];
  try {
    await environment.start(options.routers, options.endpoints);
    generator.start(options.callers);
    const {lengthMs} = options;
    await injectPlannedFaults({
      environment,
      generator,
      injector,
      steps,
      lengthMs,
    });
    breaches.push(...(await checkRecovery(environment, generator)));
    await generator.stop();
    breaches.push(
      ...guarantees.findBreaches({calls: generator.calls, environment}),
    );
  } catch (error) {
    breaches.push(core.errorMessage(error));
  } finally {
    await generator.stop();
    await environment.stop();
  }
  return {
    seed: options.seed,
    steps,
    calls: generator.calls.length,
    served: generator.calls.filter(({answer}) => answer?.status === 200).length,
    breaches,
    logs: new Map(
      environment.routers.map(slot => [slot.address, slot.child.outputLines]),
    ),
  };
}

interface InjectionOptions {
  readonly environment: environments.SoakEnvironment;
  readonly generator: traffic.TrafficGenerator;
  readonly injector: faults.FaultInjector;
  readonly steps: readonly plan.ScheduledFault[];
  readonly lengthMs: number;
}

/** Injects the faults at their scheduled times; they may overlap. */
async function injectPlannedFaults({
  environment,
  generator,
  injector,
  steps,
  lengthMs,
}: InjectionOptions): Promise<void> {
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  const activeFaults: Array<Promise<void>> = [];
  const probesEnd = new AbortController();
  const probes = probeNewestVersion(environment, generator, probesEnd.signal);
  for (const {atMs, fault} of steps) {
    await environments.sleep(Math.max(0, atMs - elapsedMs()));
    activeFaults.push(injector.inject(fault));
  }
  await environments.sleep(Math.max(0, lengthMs - elapsedMs()));
  await Promise.all(activeFaults);
  probesEnd.abort();
  await probes;
}

/** Requests the route of the newest version from every router until aborted. */
async function probeNewestVersion(
  environment: environments.SoakEnvironment,
  generator: traffic.TrafficGenerator,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await environments.sleep(PROBE_MS);
    const {version} = environment.versions.at(-1)!;
    const path = `${tables.versionPath(version)}probe`;
    await Promise.all(
      environment.routers.map(({address}) => generator.sendCall(address, path)),
    );
  }
}

/** Checks that all routers serve every kind of request after the last fault. */
async function checkRecovery(
  environment: environments.SoakEnvironment,
  generator: traffic.TrafficGenerator,
): Promise<string[]> {
  await environment.waitUntilAllReady();
  const failures: string[] = [];
  for (const {address} of environment.routers) {
    for (const kind of Object.keys(tables.REQUEST_KINDS)) {
      const served = await retryUntilServed(
        generator,
        address,
        `/${kind}/after`,
      );
      if (!served) failures.push(`${address} did not resume serving ${kind}`);
    }
  }
  return failures;
}

/** Tries of each kind of request in the recovery check. */
const MAX_TRIES = 40;

async function retryUntilServed(
  generator: traffic.TrafficGenerator,
  router: string,
  path: string,
): Promise<boolean> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const {answer} = await generator.sendCall(router, path);
    if (answer?.status === 200 && answer.isComplete) return true;
    await environments.sleep(PROBE_MS);
  }
  return false;
}
