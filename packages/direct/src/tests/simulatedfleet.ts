/**
 * Test support: a fleet of routers over virtual time. Membership, gossip and the
 * followers of the store's feeds are those of the product; the network, the
 * store and the clock are simulated.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import type * as settings from '../settings.js';
import * as simulatedDecisions from './simulateddecisions.js';
import * as simulatedSource from './simulatedsource.js';
import * as simulatedTopic from './simulatedtopic.js';
import * as simulatedTransfers from './simulatedtransfers.js';
import * as virtualClock from './virtualclock.js';

const READY_ENDPOINT_PORT = 8_444;

/** Options of a simulated fleet. */
export interface SimulatedFleetOptions {
  readonly routers: number;
  readonly endpoints: number;
  readonly zones?: number;
  /** Share of datagrams that are lost. */
  readonly loss?: number;
  readonly seed?: number;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart?: boolean;
  /** What transfers cost; by default each fetch of state takes 4 ms. */
  readonly costs?: simulatedTransfers.TransferCosts;
  /** Creates what keeps a router's evacuations. */
  readonly createEvacuations?: () => decide.Evacuations;
  /** Creates what keeps the cold endpoints that a router knows. */
  readonly createColdEndpoints?: () => decide.ColdEndpoints;
  /** Tables of the first version; by default there are no routes. */
  readonly tables?: direct.Tables;
}

/** A router of the simulated fleet, with counters of its control traffic. */
export interface SimulatedRouter {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly kernel: core.Kernel;
  isRunning: boolean;
  /** Whether its datagrams are dropped in both directions. */
  isCut: boolean;
  /** Whether the store refuses its calls. */
  isTurnedAway: boolean;
  sentBytes: number;
  receivedBytes: number;
  sentDatagrams: number;
  storeCalls: number;
  readonly deliver: Map<direct.DatagramTopic, direct.DatagramListener>;
  readonly transfers: simulatedTransfers.TransferCounters;
  readonly encoded: WeakSet<object>;
  updates: simulatedSource.SourceRouter['updates'];
  readonly resources: simulatedTransfers.TransferResources;
}

/** Bytes of IP and UDP headers in each datagram. */
const HEADER_BYTES = 28;

/** Delays of the network and of the store, in ms. */
const NEAR_DELAY_MS = 0.2;
const FAR_DELAY_MS = 1.5;
const STORE_DELAY_MS = 5;

const UNAVAILABLE = {
  ok: false,
  error: {type: 'unavailable', detail: 'turned away'},
} as const;

/** A fleet of routers with its network and store. */
export class SimulatedFleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly routers: SimulatedRouter[] = [];
  readonly operator =
    new simulatedTopic.SimulatedTopic<direct.OperatorRecord>();
  readonly endpoints = new simulatedTopic.SimulatedTopic<direct.Endpoint>();
  readonly listed = new simulatedTopic.SimulatedTopic<direct.Router>();
  readonly versions = new simulatedTopic.SimulatedTopic<direct.PoolVersions>();
  isStoreDown = false;
  /** Whether calls to the store stay without an answer. */
  isStoreSilent = false;
  /** Number of fetches of state by all routers. */
  stateFetches = 0;
  private readonly random: core.Random;
  private readonly transfers: simulatedTransfers.Transfers | undefined;
  private readonly byAddress = new Map<string, SimulatedRouter>();

  constructor(private readonly options: SimulatedFleetOptions) {
    this.random = new core.SeededRandom(options.seed ?? 1);
    const {costs, tables} = options;
    this.transfers =
      costs && new simulatedTransfers.Transfers(this.clock, costs);
    if (tables) this.putConfig(tables);
    else this.putTables(1);
    for (let index = 0; index < options.endpoints; index++) {
      this.endpoints.put(`e${index}`, this.endpoint(`e${index}`));
    }
    for (let index = 0; index < options.routers; index++) {
      this.addRouter(`r${index}`);
    }
  }

  /** Starts all routers within 300 ms. */
  async start(): Promise<void> {
    for (const router of this.routers) {
      this.clock.schedule(this.random.nextInt(300), () => {
        void this.startRouter(router);
      });
    }
    await this.clock.advance(300);
  }

  async stop(): Promise<void> {
    const stops = this.running().map(({kernel}) => kernel.stop());
    await this.clock.advance(12_000);
    await Promise.all(stops);
  }

  running(): readonly SimulatedRouter[] {
    return this.routers.filter(({isRunning}) => isRunning);
  }

  /** Running routers that are not cut off. */
  connected(): readonly SimulatedRouter[] {
    return this.running().filter(({isCut}) => !isCut);
  }

  /** Ends a router without notice. */
  kill(router: SimulatedRouter): void {
    router.isRunning = false;
    router.deliver.clear();
    void router.kernel.stop();
  }

  /** Starts another run of a router that was killed; returns its new kernel. */
  restart(router: SimulatedRouter): SimulatedRouter {
    const {name, address} = router;
    this.routers.splice(this.routers.indexOf(router), 1);
    const successor = this.addRouter(name, address);
    void this.startRouter(successor);
    return successor;
  }

  putTables(version: number): void {
    const limits = {maxBodyBytes: 1, idleMs: 1};
    this.putConfig({version, routes: [], pools: [], limits});
  }

  putConfig(tables: direct.Tables): void {
    this.operator.put('config', {type: 'tables', tables});
  }

  /** Orders the evacuation of a zone, or withdraws it. */
  putEvacuation(
    zone: string,
    is: 'ordered' | 'withdrawn' | 'unreadable',
  ): void {
    this.operator.put(`evacuate/${zone}`, {type: 'evacuation', zone, is});
  }

  endpoint(id: string, isDraining = false): direct.Endpoint {
    return {
      id,
      pool: 'pool',
      address: '10.9.0.1',
      port: READY_ENDPOINT_PORT,
      zone: 'z0',
      isDraining,
      bornMs: 1,
    };
  }

  version({kernel}: SimulatedRouter): number {
    return kernel.find(direct.ACTIVE_TABLES).version();
  }

  readyIds({kernel}: SimulatedRouter): ReadonlySet<string> {
    const endpoints = kernel
      .find(direct.ENDPOINT_REGISTRY)
      .readyEndpoints('pool');
    return new Set(endpoints.map(({id}) => id));
  }

  /** Names of the live routers that the router knows. */
  knownRouters({kernel}: SimulatedRouter): ReadonlySet<string> {
    const members = kernel.find(direct.MEMBERSHIP).live();
    return new Set(members.map(({router}) => router.name));
  }

  isReady({kernel}: SimulatedRouter): boolean {
    return kernel.find(direct.RUN_STATE).phase() === 'ready';
  }

  resetCounters(): void {
    for (const router of this.routers) {
      router.sentBytes = 0;
      router.receivedBytes = 0;
      router.sentDatagrams = 0;
      router.storeCalls = 0;
    }
  }

  private addRouter(name: string, address?: string): SimulatedRouter {
    const index = Number(name.slice(1));
    const {zones = 4} = this.options;
    const router: SimulatedRouter = {
      name,
      address: address ?? `10.0.${Math.floor(index / 200)}.${index % 200}`,
      zone: `z${index % zones}`,
      kernel: new core.Kernel(),
      isRunning: false,
      isCut: false,
      isTurnedAway: false,
      sentBytes: 0,
      receivedBytes: 0,
      sentDatagrams: 0,
      storeCalls: 0,
      deliver: new Map(),
      transfers: simulatedTransfers.createCounters(),
      encoded: new WeakSet(),
      updates: undefined,
      resources: simulatedTransfers.createResources(this.clock),
    };
    this.routers.push(router);
    this.byAddress.set(router.address, router);
    return router;
  }

  private async startRouter(router: SimulatedRouter): Promise<void> {
    this.register(router);
    router.isRunning = true;
    await router.kernel.start();
  }

  private register(router: SimulatedRouter): void {
    const {kernel, name, address, zone} = router;
    const self = {name, address, zone};
    const {seed = 1, isFirstStart = false} = this.options;
    const {createEvacuations, createColdEndpoints} = this.options;
    const random = new core.SeededRandom(seed * 1_000 + Number(name.slice(1)));
    const routerSettings = {
      address,
      digestMs: 400,
      endpointsPaceMs: 700,
      isFirstStart,
      seedAddresses: this.routers.slice(0, 3).map(each => each.address),
    } as unknown as settings.Settings;
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, this.clock);
    kernel.register(core.RANDOM, random);
    kernel.register(
      direct.MEMBERSHIP,
      new decide.PingMembership({
        self,
        firstEpoch: Math.floor(this.clock.wallClockMs() / 1_000),
        hash: core.hash32,
      }),
    );
    simulatedDecisions.registerDecisions(kernel, {
      name,
      random,
      createEvacuations,
      createColdEndpoints,
    });
    kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
    kernel.register(
      direct.ENDPOINT_REGISTRY,
      new direct.InMemoryEndpointRegistry(kernel),
    );
    kernel.register(
      direct.FLEET_REGISTRY,
      new direct.InMemoryFleetRegistry(kernel, self),
    );
    kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
    kernel.register(direct.CONNECTION_POOL, new direct.AgentConnectionPool());
    kernel.register(direct.FEEDS, this.feedsFor(router));
    kernel.register(
      direct.FEED_FOLLOWERS,
      new direct.StoreFeedFollowers(kernel, routerSettings),
    );
    kernel.register(
      direct.STATE_SOURCE,
      new simulatedSource.SimulatedStateSource(router, {
        clock: this.clock,
        transfers: this.transfers,
        find: peerAddress => this.byAddress.get(peerAddress),
        onStateFetch: () => {
          this.stateFetches += 1;
        },
      }),
    );
    kernel.register(direct.CATCH_UP, new direct.FleetCatchUp(kernel));
    kernel.register(direct.DATAGRAMS, this.datagramsFor(router));
    kernel.register(
      direct.GOSSIP,
      new direct.DigestGossip(kernel, routerSettings),
    );
    kernel.register(direct.SEND_PERMITS, new direct.HomeSendPermits(kernel));
    kernel.register(
      direct.CRASH_KEY_HOMES,
      new direct.RendezvousCrashKeyHomes(kernel),
    );
  }

  private datagramsFor(router: SimulatedRouter): direct.Datagrams {
    return {
      onReceive: (topic, listener) => {
        router.deliver.set(topic, listener);
      },
      send: (topic, bytes, address) => {
        router.sentBytes += bytes.length + HEADER_BYTES;
        router.sentDatagrams += 1;
        const receiver = this.byAddress.get(address);
        const isLost =
          !router.isRunning ||
          router.isCut ||
          this.random.nextFloat() < (this.options.loss ?? 0);
        if (!receiver || isLost) return;
        const delayMs = this.delayMs(router, receiver);
        this.clock.schedule(delayMs, () => {
          const current = this.byAddress.get(address);
          if (!current?.isRunning || current.isCut) return;
          current.receivedBytes += bytes.length + HEADER_BYTES;
          current.deliver.get(topic)?.(bytes, router.address);
        });
      },
    };
  }

  private feedsFor(router: SimulatedRouter): direct.Feeds {
    return {
      operator: this.feedFor(router, this.operator),
      endpoints: this.feedFor(router, this.endpoints),
      routers: this.feedFor(router, this.listed),
      versions: this.feedFor(router, this.versions),
      recordVersions: async record => {
        if (!(await this.callStore(router))) return false;
        this.versions.put(record.pool, record);
        return true;
      },
      announce: async record => {
        if (!(await this.callStore(router))) return false;
        this.listed.put(record.name, record);
        return true;
      },
      withdraw: async record => {
        if (!(await this.callStore(router))) return false;
        this.listed.put(record.name, undefined);
        return true;
      },
    };
  }

  private feedFor<T>(
    router: SimulatedRouter,
    topic: simulatedTopic.SimulatedTopic<T>,
  ): direct.Feed<T> {
    return {
      readLatest: async ({responseTimeoutMs}) => {
        if (this.isStoreSilent) await this.clock.sleep(responseTimeoutMs);
        if (!(await this.callStore(router))) return UNAVAILABLE;
        const page = {records: topic.latest(), nextOffset: topic.rows.length};
        await this.receive(router, page.records);
        return {ok: true, page};
      },
      readFrom: async ({fromOffset, waitMs, signal}) => {
        if (!(await this.callStore(router))) return UNAVAILABLE;
        if (topic.rows.length <= fromOffset && waitMs > 0) {
          await Promise.race([
            topic.waitForMore(),
            this.clock.sleep(waitMs, signal),
          ]);
        }
        const records = this.transfers
          ? this.transfers.limitRead(topic.rows.slice(fromOffset))
          : topic.rows.slice(fromOffset);
        const page = {records, nextOffset: fromOffset + records.length};
        await this.receive(router, records);
        return {ok: true, page};
      },
    };
  }

  private async receive<T>(
    router: SimulatedRouter,
    records: ReadonlyArray<simulatedTopic.Row<T>>,
  ): Promise<void> {
    const values = records.map(({value}) => value);
    await this.transfers?.receiveFromStore(router, values);
  }

  /** Returns whether the store serves the call. */
  private async callStore(router: SimulatedRouter): Promise<boolean> {
    router.storeCalls += 1;
    await this.clock.sleep(STORE_DELAY_MS);
    return !this.isStoreDown && !this.isStoreSilent && !router.isTurnedAway;
  }

  private delayMs(from: SimulatedRouter, to: SimulatedRouter): number {
    const delayMs = from.zone === to.zone ? NEAR_DELAY_MS : FAR_DELAY_MS;
    return delayMs * (1 + this.random.nextFloat());
  }
}
