/**
 * The demo: starts a deployment as separate processes, lets callers hold
 * chats, issue certificates and look up status, and prints what came of it.
 */
import * as core from '@oleanderrock/core';
import * as fs from 'node:fs/promises';
import * as util from 'node:util';
import * as demochecks from './demochecks.js';
import * as deployments from './deployment.js';
import * as launching from './launch.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

interface DemoFlags {
  /** Leaves the fleet up until interrupted. */
  readonly stay: boolean;
  /** Where the addresses are written. */
  readonly ports?: string;
}

function readFlags(): DemoFlags {
  const {values} = util.parseArgs({
    options: {
      stay: {type: 'boolean', default: false},
      ports: {type: 'string'},
    },
  });
  return values;
}

async function writePorts(
  path: string,
  {fleet}: launching.Running,
): Promise<void> {
  const endpoints = fleet.instances('endpoint');
  const ports = {
    routers: fleet.instances('router').map(router => ({
      name: router.name,
      entry: `${router.address}:${router.port}`,
      peer: `${router.address}:${router.peer_port}`,
      admin: `${router.address}:${router.admin_port}`,
    })),
    platform: fleet.platformUrl,
    endpoints: endpoints.map(({name, address, port}) => ({
      name,
      address: `${address}:${port}`,
    })),
    admin_token: fleet.options.adminToken,
  };
  await fs.writeFile(path, `${JSON.stringify(ports, null, 2)}\n`);
}

async function show(running: launching.Running): Promise<number> {
  const findings = await demochecks.run(running);
  for (const line of findings.lines) console.log(line);
  for (const failure of findings.failures) console.log(`failed: ${failure}`);
  if (findings.failures.length > 0) return EXIT_FAILED;
  console.log('demo ok');
  return 0;
}

/** Keeps the fleet up; its own handlers end it on a signal. */
function stay(): Promise<never> {
  return new Promise(() => setInterval(() => undefined, 60_000));
}

async function demo(flags: DemoFlags): Promise<number> {
  const deployment = deployments.ERDWERK;
  const beganMs = performance.now();
  const running = await launching.launch({deployment});
  const tookMs = performance.now() - beganMs;
  try {
    const {routers, engines, services} = deployment;
    console.log(
      `fleet: ${routers} routers, ${engines} engines, ${services} services ` +
        `in ${deployment.failureDomains} failure domains, ` +
        `up after ${(tookMs / 1_000).toFixed(1)} s`,
    );
    if (flags.ports) await writePorts(flags.ports, running);
    if (!flags.stay) return await show(running);
    console.log('the fleet stays up until interrupted');
    return await stay();
  } finally {
    await running.fleet.stop();
  }
}

function parse(): DemoFlags | undefined {
  try {
    return readFlags();
  } catch (error) {
    const [line] = core.errorMessage(error).split('\n');
    console.error(`demo: ${line}`);
    return undefined;
  }
}

async function main(): Promise<number> {
  const flags = parse();
  if (!flags) return EXIT_USAGE;
  try {
    return await demo(flags);
  } catch (error) {
    console.log(`failed: ${core.errorMessage(error)}`);
    return EXIT_FAILED;
  }
}

process.exitCode = await main();
