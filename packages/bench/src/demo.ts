/**
 * Entry point of the demo: starts a deployment as separate processes, plays a
 * trace of chats, drafts, certificates and status lookups, and prints checks of
 * the outcome.
 */
import * as core from '@oleanderrock/core';
import * as fs from 'node:fs/promises';
import * as util from 'node:util';
import * as demochecks from './demochecks.js';
import * as deployments from './deployment.js';
import * as launcher from './launcher.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

interface DemoFlags {
  /** Keeps the fleet up until interrupted, instead of running the checks. */
  readonly stay: boolean;
  /** Path of a file to write the addresses to. */
  readonly ports?: string;
}

function parseFlags(): DemoFlags {
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
  {fleet}: launcher.Testbed,
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

async function printChecks(testbed: launcher.Testbed): Promise<number> {
  const result = await demochecks.runChecks(testbed);
  for (const line of result.lines) console.log(line);
  for (const failure of result.failures) console.log(`failed: ${failure}`);
  if (result.failures.length > 0) return EXIT_FAILED;
  console.log('demo ok');
  return 0;
}

/** Never resolves; the fleet's signal handlers end the process. */
function waitForever(): Promise<never> {
  return new Promise(() => setInterval(() => undefined, 60_000));
}

async function runDemo(flags: DemoFlags): Promise<number> {
  const deployment = deployments.ERDWERK;
  const startMs = performance.now();
  const testbed = await launcher.launch({deployment});
  const tookMs = performance.now() - startMs;
  try {
    const {routers, engines, services} = deployment;
    console.log(
      `fleet: ${routers} routers, ${engines} engines, ${services} services ` +
        `in ${deployment.failureDomains} failure domains, ` +
        `up after ${(tookMs / 1_000).toFixed(1)} s`,
    );
    if (flags.ports) await writePorts(flags.ports, testbed);
    if (!flags.stay) return await printChecks(testbed);
    console.log('the fleet stays up until interrupted');
    return await waitForever();
  } finally {
    await testbed.fleet.stop();
  }
}

function readFlags(): DemoFlags | undefined {
  try {
    return parseFlags();
  } catch (error) {
    const [line] = core.errorMessage(error).split('\n');
    console.error(`demo: ${line}`);
    return undefined;
  }
}

async function main(): Promise<number> {
  const flags = readFlags();
  if (!flags) return EXIT_USAGE;
  try {
    return await runDemo(flags);
  } catch (error) {
    console.log(`failed: ${core.errorMessage(error)}`);
    return EXIT_FAILED;
  }
}

process.exitCode = await main();
