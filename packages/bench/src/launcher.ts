/** Starts a deployment's processes and waits until it serves requests. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as url from 'node:url';
import * as deployments from './deployment.js';
import * as parallel from './parallel.js';
import * as publisher from './publisher.js';

const ROUTER_PROGRAM = new URL('../../router/dist/main.js', import.meta.url);
const MAX_CONCURRENT_STARTS = 8;
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;

/** How routers place requests on engines. */
export type Strategy = 'owner' | 'naive';

/** Options of a launch. */
export interface LaunchOptions {
  readonly deployment: deployments.Deployment;
  readonly strategy?: Strategy;
}

/** A running deployment with its fleet. */
export interface Testbed {
  readonly fleet: standins.Fleet;
  readonly deployment: deployments.Deployment;
  readonly strategy: Strategy;
}

/** Starts all processes, publishes the tables and waits for all routers. */
export async function launch(options: LaunchOptions): Promise<Testbed> {
  const {deployment, strategy = 'owner'} = options;
  const fleet = new standins.Fleet({
    routerProgram: url.fileURLToPath(ROUTER_PROGRAM),
  });
  const testbed = {fleet, deployment, strategy};
  try {
    await fleet.start();
    await startMembers(testbed);
    await publisher.publishTables(deployments.createRows(), adminAccess(fleet));
    await waitUntilReady(fleet);
  } catch (error) {
    await fleet.stop();
    throw error;
  }
  return testbed;
}

/** Kills all processes of a testbed, without draining. */
export async function killAll({fleet}: Testbed): Promise<void> {
  const instanceKinds = ['router', 'endpoint'] as const;
  const members = instanceKinds.flatMap(kind => fleet.instances(kind));
  await Promise.all(members.map(({name}) => fleet.kill(name)));
  await fleet.stop();
}

async function startMembers(testbed: Testbed): Promise<void> {
  const {deployment, fleet} = testbed;
  const engines = deployments.engineNames(deployment);
  const services = deployments.serviceNames(deployment);
  const routers = deployments.routerNames(deployment);
  const startTasks = [
    ...engines.map(name => () => addEngine(testbed, name)),
    ...services.map(
      name => () =>
        fleet.addService(deployments.memberOptions(deployment, name)),
    ),
    ...routers.map(name => () => addRouter(testbed, name)),
  ];
  await parallel.runAll(startTasks, MAX_CONCURRENT_STARTS);
}

/** Starts an engine of the deployment. */
export function addEngine(
  {deployment, fleet}: Testbed,
  name: string,
): Promise<standins.Member> {
  return fleet.addEngine(deployments.memberOptions(deployment, name));
}

/** Starts a router of the deployment. */
export function addRouter(
  {deployment, fleet, strategy}: Testbed,
  name: string,
): Promise<standins.Member> {
  const flags = ['--strategy', strategy];
  return fleet.addRouter({
    ...deployments.memberOptions(deployment, name),
    flags,
  });
}

/** Access to the administration interface of the first router. */
export function adminAccess(fleet: standins.Fleet): publisher.AdminAccess {
  const [router] = fleet.instances('router');
  if (!router) throw new Error('the fleet has no router');
  const address = `${router.address}:${router.admin_port}`;
  return {address, token: fleet.options.adminToken};
}

/** Resolves when every router is ready; throws on a timeout. */
export async function waitUntilReady(fleet: standins.Fleet): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  await Promise.all(
    fleet.entryAddresses().map(address => waitForRouter(address, deadlineMs)),
  );
}

async function waitForRouter(
  address: string,
  deadlineMs: number,
): Promise<void> {
  const clock = new core.SystemClock();
  while (!(await isReady(address))) {
    if (performance.now() > deadlineMs) {
      throw new Error(`router ${address} was not ready in time`);
    }
    await clock.sleep(READY_POLL_MS);
  }
}

/** Whether a router reports that it is ready and answers a status lookup. */
async function isReady(address: string): Promise<boolean> {
  try {
    const headers = {connection: 'close'};
    const readyResponse = await fetch(`http://${address}/ready`, {headers});
    if (!readyResponse.ok) return false;
    const path = `${deployments.PATHS.status}/start`;
    const lookupResponse = await fetch(`http://${address}${path}`, {headers});
    return lookupResponse.ok;
  } catch {
    return false;
  }
}
