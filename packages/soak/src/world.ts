/**
 * The world of a soak: real router processes, and stand-ins of the store and of
 * endpoints behind proxies.
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

/** Routers have addresses of their own, so that all use the same ports. */
const FIRST_ROUTER = 30;

/** How long a router may take to become ready, in ms: beside load, too. */
export const READY_TIMEOUT_MS = 15_000;
const LOOK_MS = 40;

/** Pause before a process that ended by itself is started again, in ms. */
const RESTART_MS = 300;

/** Grace time of the routers, in s; a stop takes a good third of it. */
const GRACE_S = 4;

const PROGRAM = url.fileURLToPath(
  import.meta.resolve('@oleanderrock/router/dist/main.js'),
);

const PORT_NAMES = ['entry', 'ready', 'directory', 'peer', 'gossip'] as const;

type Ports = Record<(typeof PORT_NAMES)[number], number>;

/** A router process and what was done to it. */
export interface RouterSlot {
  readonly address: string;
  child: standins.Child;
}

/** An endpoint with the proxy before it. */
export interface EndpointSlot {
  readonly endpoint: standins.HostedEndpoint;
  readonly proxy: proxies.FaultProxy;
  /** When it said that it leaves; undefined while it stays. */
  drainedMs?: number;
}

/** A time during which something was wrong. */
export interface Disturbance {
  readonly what: string;
  readonly fromMs: number;
  untilMs: number;
}

/** All parts. */
export class World {
  readonly routers: RouterSlot[] = [];
  /** All endpoints that ever were; those that left included. */
  readonly endpoints: EndpointSlot[] = [];
  readonly disturbances: Disturbance[] = [];
  /** Versions of the tables with the times at which the store took them. */
  readonly versions: Array<{version: number; atMs: number}> = [];
  readonly ports: Ports = {
    entry: 0,
    ready: 0,
    directory: 0,
    peer: 0,
    gossip: 0,
  };
  readonly store = new standins.TopicStore();
  private storePort = 0;
  /** One for each router, so that the store can be cut off from one alone. */
  readonly storeProxies: proxies.FaultProxy[] = [];
  /** Processes that a fault ends. */
  readonly ending = new Set<standins.Child>();
  private folder = '';
  isOver = false;

  /** The endpoint that stands at a place now. */
  readonly places: EndpointSlot[] = [];

  async start(routers: number, endpoints: number): Promise<void> {
    this.folder = await fs.mkdtemp(path.join(os.tmpdir(), 'soak-'));
    this.storePort = await this.store.start(LOOPBACK);
    const ports = await standins.freePorts(PORT_NAMES.length);
    for (const [at, name] of PORT_NAMES.entries()) {
      this.ports[name] = ports[at]!;
    }
    this.publish();
    for (let at = 0; at < endpoints; at++) {
      this.places.push(await this.addEndpoint());
    }
    for (let at = 0; at < routers; at++) await this.addRouter(at);
    await this.allReady();
  }

  async stop(): Promise<void> {
    this.isOver = true;
    const ended = this.routers.map(({child}) => {
      child.signal('SIGCONT');
      child.signal('SIGKILL');
      return child.exited;
    });
    await Promise.all(ended);
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

  /** Resolves when every router is ready; throws where one is not in time. */
  async allReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const slot of this.routers) {
      const leftMs = untilMs - performance.now();
      if (await this.untilReady(slot, leftMs)) continue;
      const {lines} = slot.child;
      throw new Error(`never ready: ${slot.address}\n${lines.join('\n')}`);
    }
  }

  /** Whether anything was wrong in the span. */
  isDisturbed(fromMs: number, untilMs: number): boolean {
    return this.disturbances.some(
      item => item.fromMs < untilMs && item.untilMs > fromMs,
    );
  }

  /** Puts a new version of the tables in the store. */
  publish(): void {
    const version = 1 + this.versions.length;
    this.store.publish(tables.config(version));
    this.versions.push({version, atMs: performance.now()});
  }

  /** Starts an endpoint and lists it. */
  async addEndpoint(): Promise<EndpointSlot> {
    const id = `e${this.endpoints.length + 1}`;
    const endpoint = new standins.HostedEndpoint(id, tables.POOL, LOOPBACK);
    endpoint.choose = run => tables.serve(run);
    await endpoint.start();
    const proxy = new proxies.FaultProxy(() => endpoint.port);
    await proxy.start();
    const slot: EndpointSlot = {endpoint, proxy};
    this.endpoints.push(slot);
    this.list(slot, 'ready');
    return slot;
  }

  /** Writes an endpoint's entry; it is reached through its proxy. */
  list({endpoint, proxy}: EndpointSlot, state: 'ready' | 'draining') {
    const address = `${LOOPBACK}:${proxy.port}`;
    const entry = {...endpoint.entry(state), address};
    this.store.list(endpoint.id, entry);
  }

  private async addRouter(at: number): Promise<void> {
    const address = `127.0.0.${FIRST_ROUTER + at}`;
    const proxy = new proxies.FaultProxy(() => this.storePort);
    await proxy.start();
    this.storeProxies.push(proxy);
    await this.writeSettings(address, 400);
    const slot = {address, child: this.spawn(address)};
    this.routers.push(slot);
    this.keepUp(slot);
  }

  /** Starts a router that ended by itself again, as the platform does. */
  private keepUp(slot: RouterSlot): void {
    const {child} = slot;
    void child.exited.then(async () => {
      if (this.isOver || this.ending.has(child)) return;
      const atMs = performance.now();
      const what = `${slot.address} ended by itself`;
      this.disturbances.push({what, fromMs: atMs, untilMs: atMs});
      await sleep(RESTART_MS);
      if (!this.isOver && slot.child === child) this.revive(slot);
    });
  }

  /** Starts the router again. */
  revive(slot: RouterSlot): void {
    slot.child = this.spawn(slot.address);
    this.keepUp(slot);
  }

  private spawn(address: string): standins.Child {
    const file = this.settingsFile(address);
    return new standins.Child(address, PROGRAM, ['direct'], {
      OLEANDERROCK_CONFIG: file,
    });
  }

  private settingsFile(address: string): string {
    return path.join(this.folder, `${address}.env`);
  }

  /** Writes the settings file of a router. */
  async writeSettings(address: string, digestMs: number) {
    const {entry, ready, directory, peer, gossip} = this.ports;
    const last = Number(address.split('.')[3]);
    const store = this.storeProxies[last - FIRST_ROUTER]!;
    const lines = [
      `NAME=router-${last}`,
      `ADDRESS=${address}`,
      `ZONE=${last % 2 === 0 ? 'zone-a' : 'zone-b'}`,
      `ENTRY_LISTEN=${address}:${entry}`,
      `READY_LISTEN=${address}:${ready}`,
      `DIRECTORY_LISTEN=${address}:${directory}`,
      `PEER_LISTEN=${address}:${peer}`,
      `GOSSIP_PORT=${gossip}`,
      `SEEDS=127.0.0.${FIRST_ROUTER}:${peer}`,
      `STORE_ADDRESS=${LOOPBACK}:${store.port}`,
      `RETRY_SLACK=200`,
      `GRACE_S=${GRACE_S}`,
      `ADDRESS_KEEP_S=1`,
      `DIGEST_MS=${digestMs}`,
    ];
    const text = lines.map(line => `OLEANDER_${line}\n`).join('');
    await fs.writeFile(this.settingsFile(address), text);
  }

  /** Whether the router became ready in time. */
  async untilReady({address}: RouterSlot, timeoutMs: number): Promise<boolean> {
    const untilMs = performance.now() + timeoutMs;
    while (!this.isOver && performance.now() < untilMs) {
      if (await this.isReady(address)) return true;
      await sleep(LOOK_MS);
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

/** Resolves after a time. */
export function sleep(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}
