/**
 * Prints the processor time of a request through one router, started with the
 * flags of the deploy file: for calls that may run once, for idempotent ones,
 * and for event streams. Calls arrive at a fixed rate, so that the router's work
 * is not batched as it is under full load.
 *
 * With `--cpu-prof DIR`, the router writes a profile to the directory; with
 * `--only NAME`, only the kinds whose names begin with it are measured.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

const HOST = 'chat.example';
const API_KEY = 'key-of-customer';
const ADDRESS = '127.0.0.1';
const ROUTER_ADDRESS = '127.0.0.10';
const ENDPOINTS = 8;
const CALLER_CONNECTIONS = 16;
const EVENTS = 26;
const EVENT_INTERVAL_MS = 15;
const EVENT_BYTES = 65;
const WARM_UP_REQUESTS = 100;
const CALLER_TIMEOUT_MS = 10_000;
const US_PER_TICK = 10_000;
const START_TIMEOUT_MS = 15_000;

/** Positions of user and system time in a process's statistics. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

interface Kind {
  readonly name: string;
  readonly path: string;
  readonly requests: number;
  readonly perSecond: number;
}

const KINDS: readonly Kind[] = [
  {name: 'once', path: '/book/x', requests: 600, perSecond: 100},
  {name: 'idempotent', path: '/read/x', requests: 600, perSecond: 100},
  {name: 'stream of 26 events', path: '/chat/x', requests: 300, perSecond: 40},
];

/** Flags of Node.js in the deploy file. */
function deployedFlags(): string[] {
  const text = fs.readFileSync('deploy/system.toml', 'utf8');
  const flags = /run = "node (.*) target\//.exec(text)?.[1];
  if (flags === undefined) throw new Error('the deploy file runs no router');
  return flags.split(' ');
}

/** Processor time in the process's own code and in the kernel, in us. */
interface ProcessorTime {
  readonly ownUs: number;
  readonly kernelUs: number;
}

/** Processor time that the process has used. */
function processorTime(pid: number): ProcessorTime {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return {
    ownUs: Number(fields[USER_TICKS_FIELD]) * US_PER_TICK,
    kernelUs: Number(fields[SYSTEM_TICKS_FIELD]) * US_PER_TICK,
  };
}

/** One router as a process, its store and its endpoints. */
class Testbed {
  private readonly store = new standins.TopicStore();
  private readonly endpoints: standins.HostedEndpoint[] = [];
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxSockets: CALLER_CONNECTIONS,
  });
  private router: childProcess.ChildProcess | undefined;
  private entryPort = 0;
  private readyPort = 0;
  private callCount = 0;

  async start(extraFlags: readonly string[]): Promise<void> {
    const storePort = await this.store.start(ADDRESS);
    const route = (path: string, kind: standins.HostedRouteKind) =>
      standins.hostedRoute(HOST, path, kind);
    const routes = [
      route('/book/', 'non_idempotent'),
      route('/read/', 'idempotent'),
      route('/chat/', 'streaming'),
    ];
    const customer = {name: 'customer', key: API_KEY};
    const config = standins.hostedConfig(1, routes, customer);
    this.store.putConfig(config);
    for (let index = 0; index < ENDPOINTS; index++) await this.addEndpoint();
    const ports = await standins.freePorts(5);
    const [entry = 0, ready = 0, directory = 0, peer = 0, gossip = 0] = ports;
    this.entryPort = entry;
    this.readyPort = ready;
    const listen = (port: number) => `${ROUTER_ADDRESS}:${port}`;
    this.router = childProcess.spawn(
      process.execPath,
      [...deployedFlags(), ...extraFlags, 'target/oleanderrock.js', 'direct'],
      {
        stdio: ['ignore', 'ignore', 'inherit'],
        env: {
          OLEANDER_NAME: 'router-0',
          OLEANDER_ADDRESS: ROUTER_ADDRESS,
          OLEANDER_ZONE: 'zone-a',
          OLEANDER_ENTRY_LISTEN: listen(entry),
          OLEANDER_READY_LISTEN: listen(ready),
          OLEANDER_DIRECTORY_LISTEN: listen(directory),
          OLEANDER_PEER_LISTEN: listen(peer),
          OLEANDER_GOSSIP_PORT: String(gossip),
          OLEANDER_STORE_ADDRESS: `${ADDRESS}:${storePort}`,
        },
      },
    );
    await this.awaitReady();
  }

  async stop(): Promise<void> {
    this.agent.destroy();
    const exited = new Promise(resolve => this.router?.once('exit', resolve));
    this.router?.kill('SIGTERM');
    await exited;
    await Promise.all(this.endpoints.map(endpoint => endpoint.stop()));
    await this.store.stop();
  }

  /** Mean processor time of a request at the kind's rate. */
  async measure(kind: Kind): Promise<ProcessorTime & {failed: number}> {
    await this.sendAll(kind, WARM_UP_REQUESTS);
    const before = processorTime(this.router!.pid!);
    const failed = await this.sendAll(kind, kind.requests);
    const after = processorTime(this.router!.pid!);
    return {
      ownUs: (after.ownUs - before.ownUs) / kind.requests,
      kernelUs: (after.kernelUs - before.kernelUs) / kind.requests,
      failed,
    };
  }

  /** Share of a core that the router takes without requests. */
  async measureRest(durationMs: number): Promise<number> {
    const before = processorTime(this.router!.pid!);
    await new core.SystemClock().sleep(durationMs);
    const after = processorTime(this.router!.pid!);
    const ownUs = after.ownUs - before.ownUs;
    return (ownUs + after.kernelUs - before.kernelUs) / (durationMs * 1_000);
  }

  private async addEndpoint(): Promise<void> {
    const id = `e${this.endpoints.length + 1}`;
    const endpoint = new standins.HostedEndpoint(id, 'pool', ADDRESS);
    const label = 'x'.repeat(EVENT_BYTES - 'id: 1\ndata:  1\n\n'.length);
    const intervalMs = EVENT_INTERVAL_MS;
    endpoint.extraHeaders = standins.SAMPLE_ENDPOINT_HEADERS;
    endpoint.chooseBehaviour = ({path}) =>
      path.startsWith('/chat/')
        ? {type: 'stream', events: EVENTS, intervalMs, label}
        : {type: 'answer', body: 'x'.repeat(800)};
    await endpoint.start();
    this.endpoints.push(endpoint);
    this.store.putEndpoint(id, endpoint.entry());
  }

  private async sendAll(kind: Kind, count: number): Promise<number> {
    const clock = new core.SystemClock();
    const startMs = clock.nowMs();
    const calls: Array<Promise<number>> = [];
    for (let index = 0; index < count; index++) {
      const dueMs = startMs + (index * 1_000) / kind.perSecond;
      const delayMs = dueMs - clock.nowMs();
      if (delayMs > 0) await clock.sleep(delayMs);
      calls.push(this.send(this.entryPort, kind.path));
    }
    const statuses = await Promise.all(calls);
    return statuses.filter(status => status !== 200).length;
  }

  private async awaitReady(): Promise<void> {
    const clock = new core.SystemClock();
    const endMs = clock.nowMs() + START_TIMEOUT_MS;
    while (clock.nowMs() < endMs) {
      if ((await this.send(this.readyPort, '/ready')) === 200) return;
      await clock.sleep(100);
    }
    throw new Error('the router is not ready');
  }

  /** Resolves with the status of a complete response; 0 if there is none. */
  private send(port: number, path: string): Promise<number> {
    this.callCount += 1;
    const attemptId = `attempt-${this.callCount}`;
    const head = standins.callerHeaders({
      host: HOST,
      attemptId,
      apiKey: API_KEY,
      deadlineMs: CALLER_TIMEOUT_MS,
    });
    const headers = {...head, ...standins.SAMPLE_CALLER_HEADERS};
    const {agent} = this;
    return new Promise(resolve => {
      const request = http.request({
        host: ROUTER_ADDRESS,
        port,
        path,
        method: port === this.readyPort ? 'GET' : 'POST',
        headers,
        agent,
      });
      core.responseEnds.follow(request);
      request.once('error', () => resolve(0));
      request.once('response', response => {
        response.resume();
        response.once('close', () =>
          resolve(
            core.responseEnds.isWhole(response)
              ? (response.statusCode ?? 0)
              : 0,
          ),
        );
      });
      request.end('x'.repeat(800));
    });
  }
}

async function main(): Promise<number> {
  const {values} = util.parseArgs({
    options: {'cpu-prof': {type: 'string'}, only: {type: 'string'}},
  });
  const {'cpu-prof': directory, only = ''} = values;
  const profileFlags =
    directory === undefined
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${directory}`];
  const testbed = new Testbed();
  try {
    await testbed.start(profileFlags);
    for (const kind of KINDS.filter(({name}) => name.startsWith(only))) {
      const {ownUs, kernelUs, failed} = await testbed.measure(kind);
      const times = `${ownUs.toFixed(0)} us + ${kernelUs.toFixed(0)} us kernel`;
      console.log(`${kind.name}: ${times}, ${failed} failed`);
    }
    const restShare = await testbed.measureRest(3_000);
    console.log(`at rest: ${(100 * restShare).toFixed(2)}% of a core`);
    return 0;
  } finally {
    await testbed.stop();
  }
}

process.exitCode = await main();
