/** Starts a deployment's processes and waits until it serves requests. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as url from 'node:url';
import * as deployments from './deployment.js';
import * as parallel from './parallel.js';
import * as publishing from './publish.js';

const ROUTER = new URL('../../router/dist/main.js', import.meta.url);
const STARTS_AT_A_TIME = 8;
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;

/** How routers spread requests. */
export type Strategy = 'owner' | 'naive';

/** Options of a launch. */
export interface LaunchOptions {
  readonly deployment: deployments.Deployment;
  readonly strategy?: Strategy;
}

/** A deployment that runs. */
export interface Running {
  readonly fleet: standins.Fleet;
  readonly deployment: deployments.Deployment;
  readonly strategy: Strategy;
}

/** Starts everything, publishes the tables and waits for all routers. */
export async function launch(options: LaunchOptions): Promise<Running> {
  const {deployment, strategy = 'owner'} = options;
  const fleet = new standins.Fleet({
    routerProgram: url.fileURLToPath(ROUTER),
  });
  const running = {fleet, deployment, strategy};
  try {
    await fleet.start();
    await startAll(running);
    await publishing.publish(deployments.rows(), adminAccess(fleet));
    await untilReady(fleet);
  } catch (error) {
    await fleet.stop();
    throw error;
  }
  return running;
}

/** Ends a fleet at once, without a drain. */
export async function end({fleet}: Running): Promise<void> {
  const kinds = ['router', 'endpoint'] as const;
  const members = kinds.flatMap(kind => fleet.instances(kind));
  await Promise.all(members.map(({name}) => fleet.kill(name)));
  await fleet.stop();
}

async function startAll(running: Running): Promise<void> {
  const {deployment, fleet} = running;
  const engines = deployments.engineNames(deployment);
  const services = deployments.serviceNames(deployment);
  const routers = deployments.routerNames(deployment);
  const starts = [
    ...engines.map(name => () => addEngine(running, name)),
    ...services.map(
      name => () =>
        fleet.addService(deployments.memberOptions(deployment, name)),
    ),
    ...routers.map(name => () => addRouter(running, name)),
  ];
  await parallel.run(starts, STARTS_AT_A_TIME);
}

/** Starts an engine of the deployment. */
export function addEngine(
  {deployment, fleet}: Running,
  name: string,
): Promise<standins.Member> {
  return fleet.addEngine(deployments.memberOptions(deployment, name));
}

/** Starts a router of the deployment. */
export function addRouter(
  {deployment, fleet, strategy}: Running,
  name: string,
): Promise<standins.Member> {
  const flags = ['--strategy', strategy];
  return fleet.addRouter({
    ...deployments.memberOptions(deployment, name),
    flags,
  });
}

/** Access to the first router's port for operators. */
export function adminAccess(fleet: standins.Fleet): publishing.AdminAccess {
  const [router] = fleet.instances('router');
  if (!router) throw new Error('the fleet has no router');
  const address = `${router.address}:${router.admin_port}`;
  return {address, token: fleet.options.adminToken};
}

/** Resolves when every router is ready and knows a route. */
export async function untilReady(fleet: standins.Fleet): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  await Promise.all(
    fleet.addresses().map(address => untilRouterReady(address, deadlineMs)),
  );
}

async function untilRouterReady(
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

/** A router is ready when it takes requests and a lookup is answered. */
async function isReady(address: string): Promise<boolean> {
  try {
    const headers = {connection: 'close'};
    const ready = await fetch(`http://${address}/ready`, {headers});
    if (!ready.ok) return false;
    const path = `${deployments.PATHS.status}/start`;
    const lookup = await fetch(`http://${address}${path}`, {headers});
    return lookup.ok;
  } catch {
    return false;
  }
}
