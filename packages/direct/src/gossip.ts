/**
 * Exchanges digests between routers. One task sends them in rounds whose size
 * and interval depend on the size of the fleet; received digests are applied at
 * once. Urgent changes are sent to every router.
 */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import * as catchUp from './catchup.js';
import * as decisions from './decisions.js';
import * as digestCodec from './digest.js';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointRecords from './endpointrecords.js';
import * as fleetRegistry from './fleetregistry.js';
import * as runState from './runstate.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as activeTables from './activetables.js';

/**
 * Number of digests in which an urgent change is sent to all routers, since a
 * datagram may be lost.
 */
const URGENT_DIGEST_COUNT = 2;

/**
 * Interval between urgent digests, in ms; further changes within it are sent
 * together.
 */
const URGENT_INTERVAL_MS = 20;

/** Shortest interval between two rounds that are not urgent, in ms. */
const MIN_ROUND_INTERVAL_MS = 250;

/** Sends digests of this router's state. */
export interface Gossip {
  /**
   * Wakes the sending task to send digests to all routers at once instead of
   * with the next round.
   */
  sendSoon(): void;
}

/** The contract under which the gossip is registered. */
export const GOSSIP = core.contract<Gossip>('gossip', ['sendSoon']);

/** Sends and receives digests over UDP. */
export class UdpGossip implements Gossip, core.Lifecycle {
  private readonly socket = dgram.createSocket('udp4');
  private readonly tasks: core.TaskGroup;
  private wakeController = new AbortController();
  private urgentRoundsLeft = 0;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(
        this.routerSettings.gossipPort,
        this.routerSettings.address,
        resolve,
      );
    });
    this.socket.on('error', error => this.logError(error));
    this.socket.on('message', (bytes, {address}) =>
      this.receive(bytes, address),
    );
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES);
    // Routers usually read new tables from the store; digests announce the
    // version to those that cannot reach it.
    tables.onChange(() => this.wakeController.abort());
    this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .onChange(() => this.sendSoon());
    this.tasks.spawn('gossip', signal => this.run(signal));
  }

  async stop(): Promise<void> {
    this.sendToAll();
    await this.tasks.stop();
    this.socket.close();
  }

  sendSoon(): void {
    this.urgentRoundsLeft = URGENT_DIGEST_COUNT;
    this.wakeController.abort();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    signal.addEventListener('abort', () => this.wakeController.abort());
    while (!signal.aborted) {
      if (this.urgentRoundsLeft > 0) {
        this.urgentRoundsLeft -= 1;
        this.sendToAll();
        await clock.sleep(URGENT_INTERVAL_MS, signal);
        continue;
      }
      const sentMs = clock.nowMs();
      const intervalMs = this.sendRound();
      await this.pause(intervalMs);
      // Changes in quick succession are sent in one round.
      const untilNextRoundMs = () =>
        sentMs + MIN_ROUND_INTERVAL_MS - clock.nowMs();
      while (
        this.urgentRoundsLeft === 0 &&
        !signal.aborted &&
        untilNextRoundMs() > 0
      ) {
        await this.pause(untilNextRoundMs());
      }
    }
  }

  private async pause(delayMs: number): Promise<void> {
    this.wakeController = new AbortController();
    await this.kernel
      .find(core.CLOCK)
      .sleep(delayMs, this.wakeController.signal);
  }

  /**
   * Sends a digest to the routers of this round; returns the time until the
   * next round, in ms.
   */
  private sendRound(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const digest = this.buildDigest(nowMs);
    const {zone} = fleet.self();
    const routers = fleet.peers(nowMs).map(({router}) => router);
    const round = this.kernel.find(decisions.DIGEST_ROUNDS).nextRound(
      routers.map(({name, zone: peerZone}) => ({
        name,
        isNear: peerZone === zone,
      })),
      this.routerSettings.digestMs,
      isForAllPeers(digest),
    );
    fleet.setDigestIntervals(round);
    const targetNames = new Set(round.names);
    this.send(
      digest,
      routers.filter(({name}) => targetNames.has(name)),
    );
    return round.intervalMs;
  }

  private sendToAll(): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const peers = this.kernel.find(fleetRegistry.FLEET_REGISTRY).peers(nowMs);
    this.send(
      this.buildDigest(nowMs),
      peers.map(({router}) => router),
    );
  }

  /** Sends a digest to the routers, or to the seeds if there are none. */
  private send(
    digest: digestCodec.Digest,
    routers: readonly model.Router[],
  ): void {
    const peerAddresses = routers.map(({address}) => address);
    const targets =
      peerAddresses.length > 0
        ? peerAddresses
        : this.routerSettings.seedAddresses;
    const bytes = digestCodec.encode(digest);
    for (const address of targets) {
      if (address === this.routerSettings.address) continue;
      this.socket.send(
        bytes,
        this.routerSettings.gossipPort,
        address,
        error => {
          if (error) this.logError(error);
        },
      );
    }
  }

  private buildDigest(nowMs: number): digestCodec.Digest {
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    return {
      router: this.kernel.find(fleetRegistry.FLEET_REGISTRY).self(),
      status: {
        phase: this.kernel.find(runState.RUN_STATE).phase(),
        version: this.kernel.find(activeTables.ACTIVE_TABLES).version(),
        endpointsOffset: endpoints.nextOffset(),
        uptimeS: this.kernel.find(runState.RUN_STATE).uptimeS(),
      },
      inFlight: this.kernel.find(decisions.FLEET_LOAD).localCounts(),
      outcomes: this.kernel.find(decisions.ENDPOINT_HEALTH).localCounts(nowMs),
      endpointChanges: endpoints.recentChanges(nowMs),
      suspects: this.kernel.find(decisions.SUSPECTS).takeChanges(nowMs),
      placements: this.kernel.find(decisions.PREFIX_HOMES).takeUnsent(),
    };
  }

  private receive(bytes: Buffer, senderAddress: string): void {
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    const digest = digestCodec.decode(bytes, {
      senderAddress,
      findIdByHash: hash => endpoints.findIdByHash(hash),
    });
    if (!digest) {
      this.kernel.find(core.LOGGER).warn('digest_unreadable', {
        bytes: bytes.length,
      });
      return;
    }
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const {router, status} = digest;
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    // A new router has no list of the fleet yet, so a digest is sent at once.
    if (fleet.recordDigest(router, status, nowMs)) this.wakeController.abort();
    const fleetLoad = this.kernel.find(decisions.FLEET_LOAD);
    fleetLoad.applyRemote(router.name, digest.inFlight, nowMs);
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    health.applyRemote(router.name, digest.outcomes, nowMs);
    for (const record of digest.endpointChanges) {
      endpointRecords.applyRecord(this.kernel, record, 'router');
    }
    const suspects = this.kernel.find(decisions.SUSPECTS);
    for (const note of digest.suspects) suspects.applyRemote(note, nowMs);
    const homes = this.kernel.find(decisions.PREFIX_HOMES);
    for (const placement of digest.placements) {
      homes.applyRemote(placement, nowMs);
    }
    this.kernel.find(catchUp.CATCH_UP).onDigest(router, status);
  }

  private logError(error: Error): void {
    this.kernel.find(core.LOGGER).warn('gossip_failed', {
      detail: error.message,
    });
  }
}

/**
 * Whether the digest has content for all routers: suspect requests or new
 * placements.
 */
function isForAllPeers({suspects, placements}: digestCodec.Digest): boolean {
  return suspects.length > 0 || placements.length > 0;
}
