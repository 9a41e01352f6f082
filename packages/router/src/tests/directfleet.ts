/**
 * Test support: a fleet of routers that send requests directly to endpoints,
 * with stand-ins for the store and the endpoints of the users' platform.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as direct from '@oleanderrock/direct';
import * as standins from '@oleanderrock/standins';
import * as wireDirect from '../wiredirect.js';
import * as polling from './polling.js';

/**
 * Loopback address of the store and the endpoints, and last byte of the first
 * router's address.
 */
const STORE_ADDRESS = '127.0.0.1';
const FIRST_ROUTER_BYTE = 10;

/** API key of the customer `acme`, which all calls use. */
export const API_KEY = 'key-of-acme';

/** How long callers wait for a response, in ms. */
const CALLER_TIMEOUT_MS = 3_000;

/** Host of all routes. */
export const HOST = 'chat.example';

/** A route as operators write it. */
export function route(
  pathPrefix: string,
  kind: standins.HostedRouteKind,
  overrides: standins.HostedConfigFields = {},
): standins.HostedConfigFields {
  return standins.hostedRoute(HOST, pathPrefix, kind, overrides);
}

/** A configuration as operators write it. */
export function config(
  version: number,
  overrides: standins.HostedConfigFields = {},
): standins.HostedConfigFields {
  const routes = [
    route('/read/', 'idempotent'),
    route('/book/', 'non_idempotent'),
    route('/chat/', 'streaming'),
    route('/once/', 'streaming', {resumable: false, maxAttempts: 1}),
  ];
  const customer = {name: 'acme', key: API_KEY};
  return {...standins.hostedConfig(version, routes, customer), ...overrides};
}

/** The response that a caller received. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response is complete. */
  readonly isComplete: boolean;
}

/** Options of a call. */
export interface CallOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

let callCount = 0;

/** Number of ports that a router listens on. */
const PORT_COUNT = 5;

/** A fleet with its store and endpoints. */
export class DirectFleet {
  readonly store = new standins.TopicStore();
  readonly endpoints: standins.HostedEndpoint[] = [];
  readonly kernels: core.Kernel[] = [];
  private ports = {entry: 0, ready: 0, directory: 0, peer: 0, gossip: 0};
  private storePort = 0;

  /**
   * Starts the store, endpoints and routers; resolves when all are ready.
   * `overrides` are fields of the configuration, and `flags` those of the routers
   * beyond the defaults.
   */
  async start(
    endpoints = 2,
    routers = 1,
    overrides: standins.HostedConfigFields = {},
    flags: Record<string, string> = {},
  ): Promise<void> {
    this.storePort = await this.store.start(STORE_ADDRESS);
    const [entry = 0, ready = 0, directory = 0, peer = 0, gossip = 0] =
      await standins.freePorts(PORT_COUNT);
    this.ports = {entry, ready, directory, peer, gossip};
    this.store.put('keyed.op', 'config', config(1, overrides));
    for (let count = 0; count < endpoints; count++) await this.addEndpoint();
    for (let count = 0; count < routers; count++) {
      await this.addRouter(flags);
    }
    await polling.until('all routers are ready', () => this.areAllReady());
  }

  async stop(): Promise<void> {
    await Promise.all(this.kernels.map(kernel => kernel.stop()));
    await Promise.all(this.endpoints.map(endpoint => endpoint.stop()));
    await this.store.stop();
  }

  async addEndpoint(
    pool = 'pool',
    version = 'v1',
  ): Promise<standins.HostedEndpoint> {
    const id = `e${this.endpoints.length + 1}`;
    const endpoint = new standins.HostedEndpoint(id, pool, STORE_ADDRESS);
    endpoint.version = version;
    await endpoint.start();
    this.endpoints.push(endpoint);
    this.store.put('keyed.servers', id, endpoint.entry());
    return endpoint;
  }

  /** Lets all endpoints behave so, unless they are told otherwise. */
  setBehaviour(behaviour: standins.Behaviour): void {
    for (const endpoint of this.endpoints) {
      endpoint.defaultBehaviour = behaviour;
    }
  }

  /** Starts a router; `overrides` are flags beyond the defaults. */
  async addRouter(
    overrides: Record<string, string> = {},
  ): Promise<core.Kernel> {
    const routerSettings = this.settings(this.kernels.length, overrides);
    const kernel = wireDirect.wireDirect(routerSettings);
    this.kernels.push(kernel);
    await kernel.start();
    return kernel;
  }

  /** Port at which all routers take requests of callers. */
  get entryPort(): number {
    return this.ports.entry;
  }

  /** Port at which all routers receive datagrams. */
  get gossipPort(): number {
    return this.ports.gossip;
  }

  /** Address of the router with this index. */
  address(router: number): string {
    return `127.0.0.${FIRST_ROUTER_BYTE + router}`;
  }

  phase(router: number): decide.RouterPhase {
    return this.kernels[router]!.find(direct.RUN_STATE).phase();
  }

  version(router: number): number {
    return this.kernels[router]!.find(direct.ACTIVE_TABLES).version();
  }

  /** Requests that ran at any endpoint. */
  runs(): standins.RecordedRun[] {
    return this.endpoints.flatMap(endpoint => endpoint.runs);
  }

  /** Sends a request to a router as a caller does. */
  call(
    path: string,
    options: CallOptions = {},
    router = 0,
  ): Promise<ReceivedResponse> {
    const {method = 'POST', body = '', headers = {}, signal} = options;
    callCount += 1;
    const allHeaders = {
      ...standins.callerHeaders({
        host: HOST,
        attemptId: `attempt-${callCount}`,
        apiKey: API_KEY,
        deadlineMs: CALLER_TIMEOUT_MS,
      }),
      ...headers,
    };
    return this.send(this.ports.entry, router, {
      method,
      path,
      headers: allHeaders,
      body,
      signal,
    });
  }

  /** Sends a request with these headers only, in this order. */
  callWithHeaders(
    path: string,
    headers: Record<string, string>,
  ): Promise<ReceivedResponse> {
    return this.send(this.ports.entry, 0, {method: 'POST', path, headers});
  }

  /** Sends a request in chunks, with trailers behind them. */
  callWithTrailers(
    path: string,
    {headers, trailers}: Record<'headers' | 'trailers', Record<string, string>>,
  ): Promise<ReceivedResponse> {
    callCount += 1;
    const callerHeaders = standins.callerHeaders({
      host: HOST,
      attemptId: `attempt-${callCount}`,
      apiKey: API_KEY,
      deadlineMs: CALLER_TIMEOUT_MS,
    });
    const chunked = {'transfer-encoding': 'chunked'};
    return this.send(this.ports.entry, 0, {
      method: 'POST',
      path,
      headers: {...callerHeaders, ...headers, ...chunked},
      trailers,
      body: 'x',
    });
  }

  /** Sends a request and closes the connection at once. */
  callAndDisconnect(path: string): void {
    callCount += 1;
    const headers = standins.callerHeaders({
      host: HOST,
      attemptId: `attempt-${callCount}`,
      apiKey: API_KEY,
      deadlineMs: CALLER_TIMEOUT_MS,
    });
    const headerLines = Object.entries(headers).map(pair => pair.join(': '));
    const socket = net.connect(this.ports.entry, this.address(0));
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      socket.end(`GET ${path} HTTP/1.1\r\n${headerLines.join('\r\n')}\r\n\r\n`);
      socket.destroy();
    });
  }

  /** Requests the router addresses; returns them sorted, without ports. */
  async resolveAddresses(zone: string, router = 0): Promise<string[]> {
    const path = `/resolve?name=${HOST}&region=r&zone=${zone}`;
    const response = await this.send(this.ports.directory, router, {path});
    const {addrs = []} = JSON.parse(response.body) as {addrs?: string[]};
    return addrs.map(address => address.split(':')[0]!).sort();
  }

  /**
   * Requests the readiness check, or another path of its listener, such as the
   * metrics.
   */
  async getReadiness(
    router = 0,
    path = '/ready',
    headers: Record<string, string> = {},
  ): Promise<ReceivedResponse> {
    return this.send(this.ports.ready, router, {path, headers});
  }

  private areAllReady(): boolean {
    const routerCount = this.kernels.length;
    return this.kernels.every(kernel => {
      const readyPeers = kernel
        .find(direct.FLEET_REGISTRY)
        .livePeers()
        .filter(({note}) => note.phase === 'ready');
      const isReady = kernel.find(direct.RUN_STATE).phase() === 'ready';
      return isReady && readyPeers.length === routerCount - 1;
    });
  }

  private settings(
    router: number,
    overrides: Record<string, string>,
  ): direct.settings.Settings {
    const address = this.address(router);
    const listenAddress = (port: number) => `${address}:${port}`;
    const loaded = core.loadSettings(direct.settings.SETTINGS, {
      flags: {
        name: `router-${router}`,
        address,
        zone: router % 2 === 0 ? 'zone-a' : 'zone-b',
        entryListen: listenAddress(this.ports.entry),
        readyListen: listenAddress(this.ports.ready),
        directoryListen: listenAddress(this.ports.directory),
        peerListen: listenAddress(this.ports.peer),
        gossipPort: String(this.ports.gossip),
        seeds: `${this.address(0)}:${this.ports.peer}`,
        storeAddress: `${STORE_ADDRESS}:${this.storePort}`,
        endpointsPaceMs: '100',
        digestMs: '100',
        logLevel: 'error',
        ...overrides,
      },
      environment: {},
    });
    if (!loaded.ok) throw new Error(loaded.problems.join('; '));
    return direct.settings.toSettings(loaded.values);
  }

  private send(
    port: number,
    router: number,
    options: http.RequestOptions & {
      body?: string;
      trailers?: Record<string, string>;
    },
  ): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
      const request = http.request({
        ...options,
        host: this.address(router),
        port,
        agent: false,
      });
      request.maxHeadersCount = 0;
      core.responseEnds.follow(request);
      // After the head has arrived, an error only means that the response is
      // incomplete.
      let isBroken = false;
      request.once('error', reject);
      request.on('response', response => {
        request.off('error', reject);
        request.on('error', () => (isBroken = true));
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: core.responseEnds.isWhole(response) && !isBroken,
          }),
        );
      });
      if (options.trailers) request.addTrailers(options.trailers);
      request.end(options.body);
    });
  }
}

/** Events `first` to `count` as the stand-in endpoint writes them. */
export function events(count: number, first = 1): string {
  const texts: string[] = [];
  for (let eventId = first; eventId <= count; eventId++) {
    texts.push(`id: ${eventId}\ndata: event ${eventId}\n\n`);
  }
  return texts.join('');
}
