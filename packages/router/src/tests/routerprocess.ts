/**
 * Test support: one router as a process of its own with limits of its own,
 * beside a stand-in store and endpoint, and what the kernel says of the process.
 */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as url from 'node:url';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as directFleet from './directfleet.js';
import * as polling from './polling.js';

const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));
const ADDRESS = '127.0.0.20';
const STORE_ADDRESS = '127.0.0.1';

/** Flags of Node.js with which routers are run. */
const NODE_FLAGS = [
  '--max-old-space-size=122',
  '--max-semi-space-size=1',
  '--optimize-for-size',
  '--expose-gc',
  '--no-opt',
  '--no-sparkplug',
  '--single-threaded',
];

/** Largest body of the configuration, in bytes. */
export const MAX_BODY_BYTES = 4_194_304;

/** Limits of the process. */
export interface ProcessLimits {
  readonly heldMb: number;
  readonly maxFds: number;
}

const BYTES_PER_KB = 1_024;
const ORDINARY_TIMEOUT_MS = 2_000;
const PORT_COUNT = 5;

/** A router in a process of its own, with its store and its endpoint. */
export class RouterProcess {
  readonly store = new standins.TopicStore();
  readonly endpoint = new standins.HostedEndpoint('e1', 'pool', STORE_ADDRESS);
  ports = {entry: 0, ready: 0, directory: 0, peer: 0, gossip: 0};
  private child: childProcess.ChildProcess | undefined;
  private output = '';
  private callCount = 0;

  /** Starts all; resolves once an ordinary request was answered. */
  async start(
    limits: ProcessLimits,
    overrides: standins.HostedConfigFields = {},
  ): Promise<void> {
    const storePort = await this.store.start(STORE_ADDRESS);
    const config = directFleet.config(1, overrides);
    const tableLimits = config['limits'] as object;
    this.store.put('keyed.op', 'config', {
      ...config,
      limits: {...tableLimits, bodyBytes: MAX_BODY_BYTES},
    });
    await this.endpoint.start();
    this.store.put('keyed.servers', 'e1', this.endpoint.entry());
    const [entry = 0, ready = 0, directory = 0, peer = 0, gossip = 0] =
      await standins.freePorts(PORT_COUNT);
    this.ports = {entry, ready, directory, peer, gossip};
    this.spawn(limits, `${STORE_ADDRESS}:${storePort}`);
    await this.awaitService();
  }

  /** Ends all. */
  async stop(): Promise<void> {
    const {child} = this;
    if (child?.exitCode === null && child.signalCode === null) {
      const exited = events.EventEmitter.once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
    await this.endpoint.stop();
    await this.store.stop();
  }

  /** Address at which the router listens. */
  get address(): string {
    return ADDRESS;
  }

  get isAlive(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Standard output and error. */
  get log(): string {
    return this.output;
  }

  /** The end of the log, for messages. */
  get logEnd(): string {
    return this.output.slice(-4_000);
  }

  /** Resident memory in bytes: now, and the most since the last reset. */
  memory(): {nowBytes: number; peakBytes: number} {
    const status = fs.readFileSync(`/proc/${this.pid}/status`, 'utf8');
    const field = (name: string) =>
      Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1] ?? 0) *
      BYTES_PER_KB;
    return {nowBytes: field('VmRSS'), peakBytes: field('VmHWM')};
  }

  /** Makes the peak of the resident memory what is resident now. */
  resetPeak(): void {
    fs.writeFileSync(`/proc/${this.pid}/clear_refs`, '5');
  }

  /** Number of open descriptors. */
  descriptorCount(): number {
    return fs.readdirSync(`/proc/${this.pid}/fd`).length;
  }

  /** Resolves once ordinary requests at all listeners are answered. */
  async awaitService(): Promise<void> {
    await polling.until('an ordinary request is answered', async () => {
      if (!this.isAlive) throw new Error(`the process ended: ${this.logEnd}`);
      return this.isServing();
    });
  }

  /** Head of a request as a caller of the route sends it, without its end. */
  head(start: string, fields: readonly string[] = []): string {
    this.callCount += 1;
    const headers = standins.callerHeaders({
      host: directFleet.HOST,
      attemptId: `attempt-${this.callCount}`,
      apiKey: directFleet.API_KEY,
      deadlineMs: 30_000,
    });
    const lines = Object.entries(headers).map(pair => pair.join(': '));
    return [`${start} HTTP/1.1`, ...lines, ...fields].join('\r\n');
  }

  private get pid(): number {
    return this.child?.pid ?? 0;
  }

  private spawn(limits: ProcessLimits, storeAddress: string): void {
    const at = (port: number) => `${ADDRESS}:${port}`;
    const {entry, ready, directory, peer, gossip} = this.ports;
    const flags = {
      name: 'router-1',
      address: ADDRESS,
      zone: 'zone-a',
      'entry-listen': at(entry),
      'ready-listen': at(ready),
      'directory-listen': at(directory),
      'peer-listen': at(peer),
      'gossip-port': String(gossip),
      'store-address': storeAddress,
      'held-mb': String(limits.heldMb),
      'max-fds': String(limits.maxFds),
      'is-first-start': 'true',
    };
    const args = Object.entries(flags).flatMap(([name, value]) => [
      `--${name}`,
      value,
    ]);
    this.child = childProcess.spawn(
      'bash',
      [
        '-c',
        `ulimit -n ${limits.maxFds} && exec "$@"`,
        '-',
        process.execPath,
        ...NODE_FLAGS,
        PROGRAM,
        'direct',
        ...args,
      ],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    const keep = (text: Buffer) => {
      this.output += text.toString();
    };
    this.child.stdout?.on('data', keep);
    this.child.stderr?.on('data', keep);
  }

  private async isServing(): Promise<boolean> {
    this.callCount += 1;
    const headers = standins.callerHeaders({
      host: directFleet.HOST,
      attemptId: `attempt-${this.callCount}`,
      apiKey: directFleet.API_KEY,
      deadlineMs: ORDINARY_TIMEOUT_MS,
    });
    const {entry, ready, directory} = this.ports;
    const resolve = `/resolve?name=${directFleet.HOST}&region=r&zone=zone-a`;
    const answers = await Promise.all([
      this.call(entry, 'POST', '/read/a', headers),
      this.call(ready, 'GET', '/ready', {}),
      this.call(directory, 'GET', resolve, {}),
    ]);
    return answers.every(status => status === 200);
  }

  /** The status of the answer; undefined if there is none. */
  private call(
    port: number,
    method: string,
    path: string,
    headers: Record<string, string>,
  ): Promise<number | undefined> {
    return new Promise(resolve => {
      const request = http.request({
        host: ADDRESS,
        port,
        method,
        path,
        headers,
        agent: false,
        signal: AbortSignal.timeout(ORDINARY_TIMEOUT_MS),
      });
      core.responseEnds.follow(request);
      request.on('error', () => resolve(undefined));
      request.on('response', response => {
        response.on('error', () => undefined);
        response.on('data', () => undefined);
        response.on('close', () =>
          resolve(
            core.responseEnds.isWhole(response)
              ? response.statusCode
              : undefined,
          ),
        );
      });
      request.end(method === 'POST' ? 'ordinary' : undefined);
    });
  }
}
