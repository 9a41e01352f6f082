/** Support: a fleet that sends straight to endpoints, on the users' platform. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as standins from '@oleanderrock/standins';
import * as wireDirect from '../wiredirect.js';
import * as until from './until.js';

/** Loopback addresses of the parts; routers count up from the third. */
const STORE_ADDRESS = '127.0.0.1';
const FIRST_ROUTER_BYTE = 10;

/** Key of the customer `acme`. */
export const KEY = 'key-of-acme';

/** How long callers wait. */
const CALLER_TIMEOUT_MS = 3_000;

/** Host of all routes. */
export const HOST = 'chat.example';

/** A route as operators write it. */
export function route(
  pathPrefix: string,
  kind: standins.HostedKind,
  more: standins.HostedFields = {},
): standins.HostedFields {
  return standins.hostedRoute(HOST, pathPrefix, kind, more);
}

/** A configuration as operators write it. */
export function config(
  version: number,
  more: standins.HostedFields = {},
): standins.HostedFields {
  const routes = [
    route('/read/', 'idempotent'),
    route('/book/', 'non_idempotent'),
    route('/chat/', 'streaming'),
    route('/once/', 'streaming', {resumable: false, maxAttempts: 1}),
  ];
  const customer = {name: 'acme', key: KEY};
  return {...standins.hostedConfig(version, routes, customer), ...more};
}

/** What a caller got. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as whole. */
  readonly isWhole: boolean;
}

/** Options of a call. */
export interface CallOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

let callCount = 0;

/** Listeners of a router. */
const PORT_COUNT = 5;

/** A fleet with its store and endpoints. */
export class DirectFleet {
  readonly store = new standins.TopicStore();
  readonly endpoints: standins.HostedEndpoint[] = [];
  readonly kernels: core.Kernel[] = [];
  private ports = {entry: 0, getReadiness: 0, directory: 0, peer: 0, gossip: 0};
  private storePort = 0;

  /** Starts the store, endpoints and routers; resolves when all are ready. */
  async start(endpoints = 2, routers = 1): Promise<void> {
    this.storePort = await this.store.start(STORE_ADDRESS);
    const [entry = 0, ready = 0, directory = 0, peer = 0, gossip = 0] =
      await standins.freePorts(PORT_COUNT);
    this.ports = {entry, getReadiness: ready, directory, peer, gossip};
    this.store.put('keyed.op', 'config', config(1));
    for (let count = 0; count < endpoints; count++) await this.addEndpoint();
    for (let count = 0; count < routers; count++) await this.addRouter();
    await until.until('all routers are ready', () => this.areAllReady());
  }

  async stop(): Promise<void> {
    await Promise.all(this.kernels.map(kernel => kernel.stop()));
    await Promise.all(this.endpoints.map(endpoint => endpoint.stop()));
    await this.store.stop();
  }

  async addEndpoint(pool = 'pool'): Promise<standins.HostedEndpoint> {
    const id = `e${this.endpoints.length + 1}`;
    const made = new standins.HostedEndpoint(id, pool, STORE_ADDRESS);
    await made.start();
    this.endpoints.push(made);
    this.store.put('keyed.servers', id, made.entry());
    return made;
  }

  /** Starts a router; `more` are flags beside the usual ones. */
  async addRouter(more: Record<string, string> = {}): Promise<core.Kernel> {
    const own = this.settings(this.kernels.length, more);
    const kernel = wireDirect.wireDirect(own);
    this.kernels.push(kernel);
    await kernel.start();
    return kernel;
  }

  /** Address of the router by its number. */
  address(router: number): string {
    return `127.0.0.${FIRST_ROUTER_BYTE + router}`;
  }

  phase(router: number): direct.RouterPhase {
    return this.kernels[router]!.find(direct.LIFE).phase();
  }

  version(router: number): number {
    return this.kernels[router]!.find(direct.ACTIVE_TABLES).version();
  }

  /** Requests that ran, over all endpoints. */
  runs(): standins.SeenRun[] {
    return this.endpoints.flatMap(endpoint => endpoint.runs);
  }

  /** Calls a router as a caller does. */
  call(
    path: string,
    options: CallOptions = {},
    router = 0,
  ): Promise<ReceivedResponse> {
    const {method = 'POST', body = '', headers = {}, signal} = options;
    callCount += 1;
    const all = {
      ...standins.callerHeaders({
        host: HOST,
        id: `attempt-${callCount}`,
        key: KEY,
        waitMs: CALLER_TIMEOUT_MS,
      }),
      ...headers,
    };
    return this.send(this.ports.entry, router, {
      method,
      path,
      headers: all,
      body,
      signal,
    });
  }

  /** Sends a request and leaves at once. */
  callAndDisconnect(path: string): void {
    callCount += 1;
    const head = standins.callerHeaders({
      host: HOST,
      id: `attempt-${callCount}`,
      key: KEY,
      waitMs: CALLER_TIMEOUT_MS,
    });
    const lines = Object.entries(head).map(pair => pair.join(': '));
    const socket = net.connect(this.ports.entry, this.address(0));
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      socket.end(`GET ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
      socket.destroy();
    });
  }

  /** Asks for the addresses to use. */
  async resolveAddresses(zone: string, router = 0): Promise<string[]> {
    const path = `/resolve?name=${HOST}&region=r&zone=${zone}`;
    const got = await this.send(this.ports.directory, router, {path});
    const {addrs = []} = JSON.parse(got.body) as {addrs?: string[]};
    return addrs.map(address => address.split(':')[0]!).sort();
  }

  /** The status of the readiness check, or of the metrics. */
  async ready(router = 0, path = '/ready'): Promise<ReceivedResponse> {
    return this.send(this.ports.getReadiness, router, {path});
  }

  private areAllReady(): boolean {
    const count = this.kernels.length;
    return this.kernels.every(kernel => {
      const nowMs = kernel.find(core.CLOCK).nowMs();
      const heard = kernel.find(direct.FLEET_REGISTRY).livePeers(nowMs).length;
      const isReady = kernel.find(direct.LIFE).phase() === 'ready';
      return isReady && heard === count - 1;
    });
  }

  private settings(
    router: number,
    more: Record<string, string>,
  ): direct.settings.Settings {
    const address = this.address(router);
    const listen = (port: number) => `${address}:${port}`;
    const loaded = core.loadSettings(direct.settings.SETTINGS, {
      flags: {
        name: `router-${router}`,
        address,
        zone: router % 2 === 0 ? 'zone-a' : 'zone-b',
        entryListen: listen(this.ports.entry),
        readyListen: listen(this.ports.getReadiness),
        directoryListen: listen(this.ports.directory),
        peerListen: listen(this.ports.peer),
        gossipPort: String(this.ports.gossip),
        seeds: `${this.address(0)}:${this.ports.peer}`,
        storeAddress: `${STORE_ADDRESS}:${this.storePort}`,
        endpointsPaceMs: '100',
        digestMs: '100',
        logLevel: 'error',
        ...more,
      },
      environment: {},
    });
    if (!loaded.ok) throw new Error(loaded.problems.join('; '));
    return direct.settings.toSettings(loaded.values);
  }

  private send(
    port: number,
    router: number,
    options: http.RequestOptions & {body?: string},
  ): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
      const request = http.request({
        ...options,
        host: this.address(router),
        port,
        agent: false,
      });
      // After the head, an error only means that the answer is not whole.
      request.once('error', reject);
      request.on('response', response => {
        request.off('error', reject);
        request.on('error', () => undefined);
        const pieces: Buffer[] = [];
        response.on('data', (piece: Buffer) => pieces.push(piece));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(pieces).toString(),
            isWhole: response.complete,
          }),
        );
      });
      request.end(options.body);
    });
  }
}

/** Events `1` to `count` as the stand-in writes them. */
export function events(count: number, from = 1): string {
  const all: string[] = [];
  for (let number = from; number <= count; number++) {
    all.push(`id: ${number}\ndata: event ${number}\n\n`);
  }
  return all.join('');
}
