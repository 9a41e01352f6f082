/**
 * The environment of a soak: real router processes, and stand-ins of the store
 * and of endpoints behind fault proxies.
 */
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as standins from '@oleanderrock/standins';
import * as proxies from './proxy.js';
import * as tables from './tables.js';

const LOOPBACK = '127.0.0.1';

/**
 * Last octet of the first router's address. Each router has a loopback address
 * of its own, so that all can use the same ports.
 */
const FIRST_ROUTER_OCTET = 30;

/** Time for a router to become ready, also on a loaded machine, in ms. */
export const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 40;

/** Pause before a router that exited unexpectedly is restarted, in ms. */
const RESTART_MS = 300;

/** Grace period of the routers, in s; a stop takes over a third of it. */
const GRACE_S = 4;

const ROUTER_PROGRAM = url.fileURLToPath(
  import.meta.resolve('@oleanderrock/router/dist/main.js'),
);

const PORT_NAMES = ['entry', 'ready', 'directory', 'peer', 'gossip'] as const;

type RouterPorts = Record<(typeof PORT_NAMES)[number], number>;

/** A router's address and its current process. */
export interface RouterSlot {
  readonly address: string;
  child: standins.ChildProcess;
}

/** An endpoint and the proxy through which routers reach it. */
export interface EndpointSlot {
  readonly endpoint: standins.HostedEndpoint;
  readonly proxy: proxies.FaultProxy;
  /** Time at which it was listed as draining; undefined before that. */
  drainStartMs?: number;
}

/** Time span of a fault or of an unexpected exit of a router. */
export interface Disturbance {
  readonly description: string;
  readonly fromMs: number;
  untilMs: number;
}

/** Starts and stops all processes and servers of a soak. */
export class SoakEnvironment {
  readonly routers: RouterSlot[] = [];
  /** All endpoints since the start, including those that left. */
  readonly endpoints: EndpointSlot[] = [];
  readonly disturbances: Disturbance[] = [];
  /** Published versions of the tables with the times of publication. */
  readonly versions: Array<{version: number; atMs: number}> = [];
  readonly ports: RouterPorts = {
    entry: 0,
    ready: 0,
    directory: 0,
    peer: 0,
    gossip: 0,
  };
  readonly store = new standins.TopicStore();
  private storePort = 0;
  /** One for each router, so that one alone can be cut off from the store. */
  readonly storeProxies: proxies.FaultProxy[] = [];
  /** Processes stopped by a fault, which are not restarted on exit. */
  readonly stoppedByFault = new Set<standins.ChildProcess>();
  private folder = '';
  isStopped = false;

  /** Current endpoints; a replacement takes the index of its predecessor. */
  readonly listedEndpoints: EndpointSlot[] = [];

  async start(routers: number, endpoints: number): Promise<void> {
    this.folder = await fs.mkdtemp(path.join(os.tmpdir(), 'soak-'));
    this.storePort = await this.store.start(LOOPBACK);
    const ports = await standins.freePorts(PORT_NAMES.length);
    for (const [index, name] of PORT_NAMES.entries()) {
      this.ports[name] = ports[index]!;
    }
    this.publishNextVersion();
    for (let index = 0; index < endpoints; index++) {
      this.listedEndpoints.push(await this.addEndpoint());
    }
    for (let index = 0; index < routers; index++) await this.addRouter(index);
    await this.waitUntilAllReady();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    const exits = this.routers.map(({child}) => {
      child.signal('SIGCONT');
      child.signal('SIGKILL');
      return child.exited;
    });
    await Promise.all(exits);
    await Promise.all(
      this.endpoints.map(async ({endpoint, proxy}) => {
        await proxy.stop();
        await endpoint.stop();
      }),
    );
    await Promise.all(this.storeProxies.map(proxy => proxy.stop()));
    await this.store.stop();
    await fs.rm(this.folder, {recursive: true, force: true});
  }

  /** Resolves when every router is ready; throws on a timeout. */
  async waitUntilAllReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const slot of this.routers) {
      const remainingMs = untilMs - performance.now();
      if (await this.waitUntilReady(slot, remainingMs)) continue;
      const {outputLines: lines} = slot.child;
      throw new Error(
        `router ${slot.address} was not ready in time\n${lines.join('\n')}`,
      );
    }
  }

  /** Whether a disturbance overlaps the time span. */
  isDisturbed(fromMs: number, untilMs: number): boolean {
    return this.disturbances.some(
      item => item.fromMs < untilMs && item.untilMs > fromMs,
    );
  }

  /** Publishes a new version of the tables in the store. */
  publishNextVersion(): void {
    const version = 1 + this.versions.length;
    this.store.putConfig(tables.createConfig(version));
    this.versions.push({version, atMs: performance.now()});
  }

  /** Starts an endpoint with its proxy and adds it to the endpoint list. */
  async addEndpoint(): Promise<EndpointSlot> {
    const id = `e${this.endpoints.length + 1}`;
    const endpoint = new standins.HostedEndpoint(id, tables.POOL, LOOPBACK);
    endpoint.version = tables.versionOf(this.endpoints.length);
    endpoint.chooseBehaviour = run =>
      tables.answerNormally(run, endpoint.version);
    await endpoint.start();
    const proxy = new proxies.FaultProxy(() => endpoint.port);
    await proxy.start();
    const slot: EndpointSlot = {endpoint, proxy};
    this.endpoints.push(slot);
    this.writeListEntry(slot, 'ready');
    return slot;
  }

  /** Writes an endpoint's list entry, with the address of its proxy. */
  writeListEntry({endpoint, proxy}: EndpointSlot, state: 'ready' | 'draining') {
    const address = `${LOOPBACK}:${proxy.port}`;
    const entry = {...endpoint.entry(state), address};
    this.store.putEndpoint(endpoint.id, entry);
  }

  private async addRouter(index: number): Promise<void> {
    const address = `127.0.0.${FIRST_ROUTER_OCTET + index}`;
    const proxy = new proxies.FaultProxy(() => this.storePort);
    await proxy.start();
    this.storeProxies.push(proxy);
    await this.writeSettings(address, 400);
    const slot = {address, child: this.spawnRouter(address)};
    this.routers.push(slot);
    this.restartOnExit(slot);
  }

  /** Restarts a router that exits unexpectedly, as the platform does. */
  private restartOnExit(slot: RouterSlot): void {
    const {child} = slot;
    void child.exited.then(async () => {
      if (this.isStopped || this.stoppedByFault.has(child)) return;
      const atMs = performance.now();
      const description = `${slot.address} exited unexpectedly`;
      this.disturbances.push({description, fromMs: atMs, untilMs: atMs});
      await sleep(RESTART_MS);
      if (!this.isStopped && slot.child === child) this.restart(slot);
    });
  }

  /** Starts a new process for the router. */
  restart(slot: RouterSlot): void {
    slot.child = this.spawnRouter(slot.address);
    this.restartOnExit(slot);
  }

  private spawnRouter(address: string): standins.ChildProcess {
    const file = this.settingsFile(address);
    return new standins.ChildProcess(address, ROUTER_PROGRAM, ['direct'], {
      OLEANDERROCK_CONFIG: file,
    });
  }

  private settingsFile(address: string): string {
    return path.join(this.folder, `${address}.env`);
  }

  /** Writes the settings file of a router. */
  async writeSettings(address: string, digestMs: number) {
    const {entry, ready, directory, peer, gossip} = this.ports;
    const octet = Number(address.split('.')[3]);
    const store = this.storeProxies[octet - FIRST_ROUTER_OCTET]!;
    const lines = [
      `NAME=router-${octet}`,
      `ADDRESS=${address}`,
      `ZONE=${octet % 2 === 0 ? 'zone-a' : 'zone-b'}`,
      `ENTRY_LISTEN=${address}:${entry}`,
      `READY_LISTEN=${address}:${ready}`,
      `DIRECTORY_LISTEN=${address}:${directory}`,
      `PEER_LISTEN=${address}:${peer}`,
      `GOSSIP_PORT=${gossip}`,
      `SEEDS=127.0.0.${FIRST_ROUTER_OCTET}:${peer}`,
      `STORE_ADDRESS=${LOOPBACK}:${store.port}`,
      `RETRY_SLACK=200`,
      `GRACE_S=${GRACE_S}`,
      `ADDRESS_KEEP_S=1`,
      `DIGEST_MS=${digestMs}`,
    ];
    const text = lines.map(line => `OLEANDER_${line}\n`).join('');
    await fs.writeFile(this.settingsFile(address), text);
  }

  /** Polls until the router is ready; false if it is not ready in time. */
  async waitUntilReady(
    {address}: RouterSlot,
    timeoutMs: number,
  ): Promise<boolean> {
    const untilMs = performance.now() + timeoutMs;
    while (!this.isStopped && performance.now() < untilMs) {
      if (await this.isReady(address)) return true;
      await sleep(READY_POLL_MS);
    }
    return false;
  }

  private isReady(address: string): Promise<boolean> {
    return new Promise(resolve => {
      const request = http.get(
        {
          host: address,
          port: this.ports.ready,
          path: '/ready',
          timeout: 500,
          agent: false,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }
}

/** Resolves after the given time. */
export function sleep(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}
