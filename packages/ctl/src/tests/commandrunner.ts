/** Runs commands of `oleanderctl` against a fleet and captures their output. */
import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as program from '../program.js';

/** Interval between two checks of a condition, in ms. */
const POLL_INTERVAL_MS = 20;
const ROUTER_PROGRAM = new URL(
  './main.js',
  import.meta.resolve('@oleanderrock/router'),
);

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Address at which nothing listens. */
export const UNREACHABLE_ADDRESS = '127.0.0.1:1';

/** Polls until `condition` is true; the timeout of the test limits the wait. */
export async function waitUntil(
  condition: () => Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await timers.setTimeout(POLL_INTERVAL_MS);
}

/** A fleet with one service, and a runner of commands against it. */
export class CommandRunner {
  readonly fleet = new standins.Fleet({
    routerProgram: url.fileURLToPath(ROUTER_PROGRAM),
  });

  /** Starts the routers and a service `s1`; waits until all of them use it. */
  async start(routers: readonly string[]): Promise<void> {
    await this.fleet.start();
    await Promise.all([
      ...routers.map(name => this.fleet.addRouter({name})),
      this.fleet.addService({name: 's1'}),
    ]);
    const routerCount = `${routers.length} of ${routers.length}`;
    for (const router of routers) {
      await waitUntil(async () => {
        const address = this.address(router);
        const {stdout} = await this.run('status', '--address', address);
        const isOwned = /^s1 +home/m.test(stdout);
        return stdout.includes(`in force on ${routerCount}`) && isOwned;
      });
    }
  }

  /** Total size of the append requests that the log has received, in bytes. */
  async appendedBytes(): Promise<number> {
    const stats = await this.fleet.platformStats();
    return (stats as {bytes_in: number}).bytes_in;
  }

  /** The administration address of a router. */
  address(router: string): string {
    const {address, admin_port: port} = this.fleet.member(router).instance;
    return `${address}:${port}`;
  }

  /** Runs a command; by default with the address and token of the first router. */
  run(...args: string[]): Promise<CommandResult> {
    return this.runWith('', ...args);
  }

  /** Runs a command with `input` as standard input. */
  async runWith(input: string, ...args: string[]): Promise<CommandResult> {
    const [firstRouter] = this.fleet.instances('router');
    const defaultFlags = {
      '--address': this.address(firstRouter?.name ?? ''),
      '--token': this.fleet.options.adminToken,
      '--operator': 'ada',
    };
    const missingFlags = Object.entries(defaultFlags).filter(
      ([flag]) => !args.includes(flag),
    );
    return runProgram(input, [...args, ...missingFlags.flat()]);
  }
}

/** Creates a stream that collects what is written to it. */
function createSink(): {readonly sink: stream.Writable; text(): string} {
  const chunks: Buffer[] = [];
  const sink = new stream.Writable({
    write(chunk: Buffer, encoding, done) {
      chunks.push(chunk);
      done();
    },
  });
  return {sink, text: () => Buffer.concat(chunks).toString('utf8')};
}

/** Runs the program in this process; `input` is its standard input. */
export async function runProgram(
  input: string,
  args: string[],
): Promise<CommandResult> {
  const [stdout, stderr] = [createSink(), createSink()];
  const exitCode = await core.runCli(
    program.createCli(),
    program.PROGRAM_NAME,
    args,
    {
      env: {},
      stdin: stream.Readable.from([input]),
      stdout: stdout.sink,
      stderr: stderr.sink,
    },
  );
  return {exitCode, stdout: stdout.text(), stderr: stderr.text()};
}
