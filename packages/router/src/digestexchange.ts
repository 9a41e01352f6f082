/**
 * Exchange of digests: one task for each other router sends it digests, and
 * one task applies those that arrive. A digest is sent once a period, and
 * earlier when a change concerns the peer, within a byte budget.
 */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as controlMeter from './controlmeter.js';
import * as digest from './digest.js';
import * as drain from './drain.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as peerServer from './peerserver.js';
import * as endpointSlots from './endpointslots.js';
import * as pools from './pools.js';
import * as admissionQueues from './admissionqueues.js';
import type * as settings from './settings.js';
import * as suspects from './suspects.js';
import * as usage from './usage.js';

/** How often neighbours and send tasks are updated. */
const SUPERVISE_PERIOD_MS = 100;
/** Minimum time between two digests to one peer. */
const MIN_INTERVAL_MS = 100;
const MAX_QUEUED_DATAGRAMS = 4_096;
const MAX_SUSPECT_NOTES = 16;
const MS_PER_SECOND = 1_000;
/** Approximate size of a digest without notes and usage. */
const BASE_DIGEST_BYTES = 90;
/** Approximate size of one customer's usage in a digest. */
const CUSTOMER_USAGE_BYTES = 24;

/** Exchange of digests. */
export interface DigestExchange {
  /** Sends a digest early to the peers that a change concerns. */
  announce(reason: 'load' | 'state'): void;
}

/** The contract under which the exchange of digests is registered. */
export const DIGEST_EXCHANGE = core.contract<DigestExchange>(
  'digest-exchange',
  ['announce'],
);

/** The contract under which the choice of neighbours is registered. */
export const NEIGHBOURS = core.contract<decide.Neighbours>('neighbours', [
  'select',
]);

/** Exchange of digests over UDP. */
export class UdpDigestExchange implements DigestExchange, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly receivedDatagrams = new core.Mailbox<Buffer>(
    MAX_QUEUED_DATAGRAMS,
  );
  private readonly sendTasks = new Map<string, AbortController>();
  private readonly sendTriggers = new Map<string, AbortController>();
  private readonly routerNames = new digest.NameIndex();
  private readonly endpointNames = new digest.NameIndex();
  private readonly sequences = new digest.SequenceFilter();
  private readonly budget: decide.ByteBudget;
  private socket: dgram.Socket | undefined;
  private incarnation = Math.floor(Date.now() / 1_000);
  private sequence = 0;
  private neighbours: ReadonlySet<string> = new Set();
  private poolPeers: ReadonlySet<string> = new Set();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.budget = new decide.ByteBudget({
      bytesPerSecond: routerSettings.controlBytesPerSecond,
      burstBytes: routerSettings.controlBytesPerSecond,
    });
  }

  async start(): Promise<void> {
    this.socket = dgram.createSocket('udp4');
    const port = this.kernel.find(peerServer.PEER_SERVER).port();
    await bind(this.socket, this.routerSettings.host, port);
    this.socket.on('message', datagram => this.receivedDatagrams.put(datagram));
    this.socket.on('error', () => undefined);
    this.tasks.spawn('digest receiver', () => this.receiveDigests());
    this.tasks.spawn('digest senders', signal => this.supervise(signal));
  }

  async stop(): Promise<void> {
    this.receivedDatagrams.close();
    for (const controller of this.sendTasks.values()) controller.abort();
    await this.tasks.stop();
    this.socket?.close();
  }

  announce(reason: 'load' | 'state'): void {
    const receivers = reason === 'load' ? this.poolPeers : this.neighbours;
    for (const name of receivers) this.sendTriggers.get(name)?.abort();
  }

  /** Task that runs one send task for each listed router. */
  private async supervise(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateNeighbours();
      const fleetView = this.kernel.find(fleet.FLEET);
      const listedNames = new Set(fleetView.peers().map(peer => peer.name));
      for (const name of listedNames) this.startSendTask(name);
      for (const [name, controller] of this.sendTasks) {
        if (!listedNames.has(name)) controller.abort();
      }
      await this.clock.sleep(SUPERVISE_PERIOD_MS, signal);
    }
  }

  private startSendTask(name: string): void {
    if (this.sendTasks.has(name)) return;
    const controller = new AbortController();
    this.sendTasks.set(name, controller);
    this.tasks.spawn(`digest sender ${name}`, async () => {
      await this.sendPeriodically(name, controller.signal);
      this.sendTasks.delete(name);
    });
  }

  /** Task that sends digests to one peer while it is listed. */
  private async sendPeriodically(
    name: string,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const trigger = new AbortController();
      this.sendTriggers.set(name, trigger);
      const wakeSignal = AbortSignal.any([signal, trigger.signal]);
      await this.clock.sleep(this.routerSettings.digestPeriodMs, wakeSignal);
      if (signal.aborted) break;
      if (this.neighbours.has(name)) this.send(name, trigger.signal.aborted);
      await this.clock.sleep(MIN_INTERVAL_MS, signal);
    }
    this.sendTriggers.delete(name);
  }

  private send(name: string, isEarly: boolean): void {
    const peer = this.kernel.find(fleet.FLEET).find(name);
    if (!peer) return;
    const datagram = digest.encode(
      this.buildDigest(),
      this.routerSettings.peerToken,
    );
    const bytes = datagram.length + digest.DATAGRAM_HEADER_BYTES;
    // Early digests leave half of the budget for the periodic ones.
    const reservedBytes = isEarly
      ? this.routerSettings.controlBytesPerSecond / 2
      : 0;
    if (!this.budget.trySpend(bytes, this.clock.nowMs(), reservedBytes)) {
      this.kernel.find(meters.METERS).countSkippedDigest();
      return;
    }
    this.socket?.send(datagram, peer.peer_port, peer.address);
    this.kernel.find(controlMeter.CONTROL_METER).add('digest', 'sent', bytes);
  }

  private buildDigest(): digest.Digest {
    const fleetView = this.kernel.find(fleet.FLEET);
    const nowMs = this.clock.nowMs();
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    const notes = this.kernel.find(suspects.SUSPECT_NOTES).notes(nowMs);
    return {
      routerHash: core.hash32(fleetView.self()),
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      nextOffset: this.kernel.find(configuration.CONFIGURATION).nextOffset(),
      isDraining: this.kernel.find(drain.DRAIN).isDraining(),
      counts: this.endpointCounts(nowMs),
      down: membership.recentNotes(nowMs).map(note => ({
        routerHash: core.hash32(note.router),
        incarnation: note.incarnation,
      })),
      suspects: notes.slice(0, MAX_SUSPECT_NOTES),
      usage: this.customerUsage(),
    };
  }

  /**
   * Usage of as many customers as fit into this digest's share of the budget;
   * the next digest continues with the others.
   */
  private customerUsage(): readonly decide.MinuteUse[] {
    const usages = this.kernel.find(usage.USAGE).currentMinute();
    const periodsPerSecond = MS_PER_SECOND / this.routerSettings.digestPeriodMs;
    const digestsPerSecond =
      Math.max(1, this.neighbours.size) * periodsPerSecond;
    const shareBytes =
      this.routerSettings.controlBytesPerSecond / digestsPerSecond;
    const capacity = Math.floor(
      (shareBytes - BASE_DIGEST_BYTES) / CUSTOMER_USAGE_BYTES,
    );
    const count = Math.min(usages.length, Math.max(1, capacity));
    const from = (this.sequence * count) % Math.max(1, usages.length);
    return [...usages.slice(from), ...usages.slice(0, from)].slice(0, count);
  }

  /**
   * This router's requests in flight at the endpoints that it owns, and at
   * others that still run its requests.
   */
  private endpointCounts(nowMs: number): digest.EndpointCount[] {
    const fleetView = this.kernel.find(fleet.FLEET);
    const loads = this.kernel.find(pools.LOADS);
    const ejection = this.kernel.find(fleet.EJECTION);
    return fleetView
      .endpoints()
      .map(item => item.name)
      .map(name => ({
        name,
        inFlight: loads.localInFlight(name),
        isOwned: fleetView.owners(name)[0] === fleetView.self(),
      }))
      .filter(item => item.isOwned || item.inFlight > 0)
      .map(item => ({
        endpointHash: core.hash32(item.name),
        inFlight: item.inFlight,
        isUsable:
          !fleetView.isLeaving(item.name) &&
          !ejection.isEjected(item.name, nowMs),
      }));
  }

  /** Task that applies the digests of all peers. */
  private async receiveDigests(): Promise<void> {
    for (;;) {
      const datagram = await this.receivedDatagrams.take();
      if (!datagram) return;
      const bytes = datagram.length + digest.DATAGRAM_HEADER_BYTES;
      this.kernel
        .find(controlMeter.CONTROL_METER)
        .add('digest', 'received', bytes);
      const message = digest.decode(datagram, this.routerSettings.peerToken);
      if (message && this.sequences.accept(message)) this.applyDigest(message);
    }
  }

  private applyDigest(message: digest.Digest): void {
    const router = this.routerNames.find(message.routerHash);
    if (router === undefined) return;
    const nowMs = this.clock.nowMs();
    const fleetView = this.kernel.find(fleet.FLEET);
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    membership.recordDigest(router, message.incarnation, nowMs);
    fleetView.setDraining(router, message.isDraining);
    this.kernel
      .find(configuration.CONFIGURATION)
      .recordPeerOffset(router, message.nextOffset);
    this.applyCounts(router, message, nowMs);
    this.applyDownNotes(message, nowMs);
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    for (const note of message.suspects) {
      suspectTracker.applyRemote(note, nowMs);
    }
    this.kernel.find(usage.USAGE).applyPeerUsage(router, message.usage);
    this.kernel.find(admissionQueues.ADMISSION_QUEUES).grantWaiting();
  }

  private applyCounts(
    router: string,
    message: digest.Digest,
    nowMs: number,
  ): void {
    const fleetView = this.kernel.find(fleet.FLEET);
    const poolViews = this.kernel.find(pools.POOLS);
    const slots = this.kernel.find(endpointSlots.SLOTS);
    const counts: decide.RemoteCount[] = [];
    for (const item of message.counts) {
      const endpoint = this.endpointNames.find(item.endpointHash);
      if (endpoint === undefined) continue;
      counts.push({endpoint, router, inFlight: item.inFlight});
      if (fleetView.owners(endpoint)[0] !== router) continue;
      poolViews.setRemoteUsable(endpoint, item.isUsable);
      slots.resetEstimate(endpoint);
    }
    this.kernel.find(pools.LOADS).applyRemote(router, counts, nowMs);
  }

  private applyDownNotes(message: digest.Digest, nowMs: number): void {
    const fleetView = this.kernel.find(fleet.FLEET);
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    for (const {routerHash, incarnation} of message.down) {
      const router = this.routerNames.find(routerHash);
      if (router === undefined) continue;
      if (router === fleetView.self()) this.refute(incarnation);
      else if (membership.applyRemote({router, incarnation}, nowMs)) {
        this.announce('state');
      }
    }
  }

  /**
   * Refutes another router's note that this one is down, by announcing a later
   * incarnation.
   */
  private refute(incarnation: number): void {
    if (incarnation < this.incarnation) return;
    this.incarnation = incarnation + 1;
    this.announce('state');
  }

  /** Updates names, neighbours and watched routers from the instance list. */
  private updateNeighbours(): void {
    const fleetView = this.kernel.find(fleet.FLEET);
    const names = fleetView.peers().map(peer => peer.name);
    this.routerNames.update([...names, fleetView.self()]);
    const endpoints = fleetView.endpoints().map(item => item.name);
    this.endpointNames.update(endpoints);
    this.poolPeers = new Set(this.findPoolPeers());
    const {receivers, watched} = this.kernel
      .find(NEIGHBOURS)
      .select(fleetView.self(), names, [...this.poolPeers]);
    this.neighbours = new Set(receivers);
    const nowMs = this.clock.nowMs();
    this.kernel.find(fleet.MEMBERSHIP).watch(watched, nowMs);
  }

  /** Routers that own endpoints of the pools in which this one owns any. */
  private findPoolPeers(): string[] {
    const fleetView = this.kernel.find(fleet.FLEET);
    const {pools: rows} = this.kernel
      .find(configuration.CONFIGURATION)
      .tables();
    const peerNames = new Set<string>();
    for (const {row} of Object.values(rows)) {
      const owners = fleetView
        .members(row)
        .map(item => fleetView.owners(item.name)[0])
        .filter(owner => owner !== undefined);
      if (!owners.includes(fleetView.self())) continue;
      for (const owner of owners) peerNames.add(owner);
    }
    peerNames.delete(fleetView.self());
    return [...peerNames];
  }

  private get clock(): core.Clock {
    return this.kernel.find(core.CLOCK);
  }
}

function bind(socket: dgram.Socket, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('error', error =>
      reject(new Error(`cannot bind UDP ${host}:${port}: ${error.message}`)),
    );
    socket.bind(port, host, resolve);
  });
}
