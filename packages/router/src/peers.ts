/**
 * Peers: one task for each other router sends it digests, and one task takes
 * in those that arrive. A digest goes out once a period, and sooner when
 * something changed that the peer needs to know, within a byte budget.
 */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as control from './control.js';
import * as digest from './digest.js';
import * as drain from './drain.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as peerServer from './peerserver.js';
import * as places from './places.js';
import * as pools from './pools.js';
import * as rooms from './rooms.js';
import type * as settings from './settings.js';
import * as suspects from './suspects.js';
import * as usage from './usage.js';

const TICK_MS = 100;
/** Least time between two digests to one peer. */
const MIN_GAP_MS = 100;
const MAX_DATAGRAMS = 4_096;
const MAX_NOTES = 16;
const MS_PER_SECOND = 1_000;
/** Size of a digest without notes, and of one customer's use in it. */
const DIGEST_BYTES = 90;
const USE_BYTES = 24;

/** Exchange of digests. */
export interface Peers {
  /** Sends digests at once to those whom a change concerns. */
  announce(reason: 'load' | 'state'): void;
}

/** The contract under which the peers are registered. */
export const PEERS = core.contract<Peers>('peers', ['announce']);

/** The contract under which the choice of neighbours is registered. */
export const NEIGHBOURS = core.contract<decide.Neighbours>('neighbours', [
  'select',
]);

/** Digests over UDP. */
export class DigestPeers implements Peers, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly arrivals = new core.Mailbox<Buffer>(MAX_DATAGRAMS);
  private readonly talking = new Map<string, AbortController>();
  private readonly wakers = new Map<string, AbortController>();
  private readonly routers = new digest.NameIndex();
  private readonly endpoints = new digest.NameIndex();
  private readonly order = new digest.OrderGuard();
  private readonly budget: decide.ByteBudget;
  private socket: dgram.Socket | undefined;
  private incarnation = Math.floor(Date.now() / 1_000);
  private sequence = 0;
  private neighbours: ReadonlySet<string> = new Set();
  private mates: ReadonlySet<string> = new Set();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.budget = new decide.ByteBudget({
      bytesPerSecond: own.controlBytesPerSecond,
      burstBytes: own.controlBytesPerSecond,
    });
  }

  async start(): Promise<void> {
    this.socket = dgram.createSocket('udp4');
    const port = this.kernel.find(peerServer.PEER_SERVER).port();
    await bind(this.socket, this.own.host, port);
    this.socket.on('message', datagram => this.arrivals.put(datagram));
    this.socket.on('error', () => undefined);
    this.tasks.spawn('digests in', () => this.receive());
    this.tasks.spawn('peers', signal => this.supervise(signal));
  }

  async stop(): Promise<void> {
    this.arrivals.close();
    for (const controller of this.talking.values()) controller.abort();
    await this.tasks.stop();
    this.socket?.close();
  }

  announce(reason: 'load' | 'state'): void {
    const concerned = reason === 'load' ? this.mates : this.neighbours;
    for (const name of concerned) this.wakers.get(name)?.abort();
  }

  /** Starts and ends the peers' tasks as the list changes. */
  private async supervise(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.chooseNeighbours();
      const known = this.kernel.find(fleet.FLEET);
      const listed = new Set(known.peers().map(peer => peer.name));
      for (const name of listed) this.startTalk(name);
      for (const [name, controller] of this.talking) {
        if (!listed.has(name)) controller.abort();
      }
      await this.clock.sleep(TICK_MS, signal);
    }
  }

  private startTalk(name: string): void {
    if (this.talking.has(name)) return;
    const controller = new AbortController();
    this.talking.set(name, controller);
    this.tasks.spawn(`peer ${name}`, async () => {
      await this.talk(name, controller.signal);
      this.talking.delete(name);
    });
  }

  /** The task of one peer: sends it digests for as long as it is listed. */
  private async talk(name: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waker = new AbortController();
      this.wakers.set(name, waker);
      const any = AbortSignal.any([signal, waker.signal]);
      await this.clock.sleep(this.own.digestPeriodMs, any);
      if (signal.aborted) break;
      if (this.neighbours.has(name)) this.send(name, waker.signal.aborted);
      await this.clock.sleep(MIN_GAP_MS, signal);
    }
    this.wakers.delete(name);
  }

  private send(name: string, isEarly: boolean): void {
    const peer = this.kernel.find(fleet.FLEET).find(name);
    if (!peer) return;
    const datagram = digest.encode(this.describe(), this.own.peerToken);
    const bytes = datagram.length + digest.DATAGRAM_HEADER_BYTES;
    // Early digests leave half of the budget to the periodic ones.
    const reserve = isEarly ? this.own.controlBytesPerSecond / 2 : 0;
    if (!this.budget.spend(bytes, this.clock.nowMs(), reserve)) {
      this.kernel.find(meters.METERS).digestSkipped();
      return;
    }
    this.socket?.send(datagram, peer.peer_port, peer.address);
    this.kernel.find(control.CONTROL_METER).add('digest', 'sent', bytes);
  }

  private describe(): digest.Digest {
    const known = this.kernel.find(fleet.FLEET);
    const nowMs = this.clock.nowMs();
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    const notes = this.kernel.find(suspects.SUSPECT_NOTES).notes(nowMs);
    return {
      routerHash: core.hash32(known.self()),
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      nextOffset: this.kernel.find(configuration.CONFIGURATION).nextOffset(),
      isDraining: this.kernel.find(drain.DRAIN).isDraining(),
      counts: this.counts(nowMs),
      down: membership.notes(nowMs).map(note => ({
        routerHash: core.hash32(note.router),
        incarnation: note.incarnation,
      })),
      suspects: notes.slice(0, MAX_NOTES),
      uses: this.uses(),
    };
  }

  /**
   * As many customers' use as fits in this digest's share of the budget; the
   * next digest goes on with the others.
   */
  private uses(): readonly decide.MinuteUse[] {
    const all = this.kernel.find(usage.USAGE).minute();
    const periods = MS_PER_SECOND / this.own.digestPeriodMs;
    const digests = Math.max(1, this.neighbours.size) * periods;
    const shareBytes = this.own.controlBytesPerSecond / digests;
    const room = Math.floor((shareBytes - DIGEST_BYTES) / USE_BYTES);
    const count = Math.min(all.length, Math.max(1, room));
    const from = (this.sequence * count) % Math.max(1, all.length);
    return [...all.slice(from), ...all.slice(0, from)].slice(0, count);
  }

  /** Own counts: of owned endpoints, and of others with requests left. */
  private counts(nowMs: number): digest.EndpointCount[] {
    const known = this.kernel.find(fleet.FLEET);
    const loads = this.kernel.find(pools.LOADS);
    const ejection = this.kernel.find(fleet.EJECTION);
    return known
      .endpoints()
      .map(item => item.name)
      .map(name => ({
        name,
        inFlight: loads.own(name),
        isOwned: known.owners(name)[0] === known.self(),
      }))
      .filter(item => item.isOwned || item.inFlight > 0)
      .map(item => ({
        endpointHash: core.hash32(item.name),
        inFlight: item.inFlight,
        isUsable:
          !known.isLeaving(item.name) && !ejection.isEjected(item.name, nowMs),
      }));
  }

  /** The task that takes in the digests of all peers. */
  private async receive(): Promise<void> {
    for (;;) {
      const datagram = await this.arrivals.take();
      if (!datagram) return;
      const bytes = datagram.length + digest.DATAGRAM_HEADER_BYTES;
      this.kernel.find(control.CONTROL_METER).add('digest', 'received', bytes);
      const message = digest.decode(datagram, this.own.peerToken);
      if (message && this.order.accepts(message)) this.adopt(message);
    }
  }

  private adopt(message: digest.Digest): void {
    const router = this.routers.find(message.routerHash);
    if (router === undefined) return;
    const nowMs = this.clock.nowMs();
    const known = this.kernel.find(fleet.FLEET);
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    membership.heard(router, message.incarnation, nowMs);
    known.setDraining(router, message.isDraining);
    this.kernel
      .find(configuration.CONFIGURATION)
      .heard(router, message.nextOffset);
    this.adoptCounts(router, message, nowMs);
    this.adoptDown(message, nowMs);
    const book = this.kernel.find(suspects.SUSPECTS);
    for (const note of message.suspects) book.learn(note, nowMs);
    this.kernel.find(usage.USAGE).learn(router, message.uses);
    this.kernel.find(rooms.ROOMS).wake();
  }

  private adoptCounts(
    router: string,
    message: digest.Digest,
    nowMs: number,
  ): void {
    const known = this.kernel.find(fleet.FLEET);
    const source = this.kernel.find(pools.POOLS);
    const room = this.kernel.find(places.PLACES);
    const counts: decide.RemoteCount[] = [];
    for (const item of message.counts) {
      const endpoint = this.endpoints.find(item.endpointHash);
      if (endpoint === undefined) continue;
      counts.push({endpoint, router, inFlight: item.inFlight});
      if (known.owners(endpoint)[0] !== router) continue;
      source.setRemoteUsable(endpoint, item.isUsable);
      room.noteCounts(endpoint);
    }
    this.kernel.find(pools.LOADS).learn(router, counts, nowMs);
  }

  private adoptDown(message: digest.Digest, nowMs: number): void {
    const known = this.kernel.find(fleet.FLEET);
    const membership = this.kernel.find(fleet.MEMBERSHIP);
    for (const {routerHash, incarnation} of message.down) {
      const router = this.routers.find(routerHash);
      if (router === undefined) continue;
      if (router === known.self()) this.refute(incarnation);
      else if (membership.learn({router, incarnation}, nowMs)) {
        this.announce('state');
      }
    }
  }

  /** Another router calls this one gone: answers with a later run. */
  private refute(incarnation: number): void {
    if (incarnation < this.incarnation) return;
    this.incarnation = incarnation + 1;
    this.announce('state');
  }

  private chooseNeighbours(): void {
    const known = this.kernel.find(fleet.FLEET);
    const names = known.peers().map(peer => peer.name);
    this.routers.update([...names, known.self()]);
    const endpoints = known.endpoints().map(item => item.name);
    this.endpoints.update(endpoints);
    this.mates = new Set(this.poolMates());
    const {receivers, watched} = this.kernel
      .find(NEIGHBOURS)
      .select(known.self(), names, [...this.mates]);
    this.neighbours = new Set(receivers);
    const nowMs = this.clock.nowMs();
    this.kernel.find(fleet.MEMBERSHIP).watch(watched, nowMs);
  }

  /** Routers that own endpoints of the pools in which this one owns some. */
  private poolMates(): string[] {
    const known = this.kernel.find(fleet.FLEET);
    const {pools: rows} = this.kernel
      .find(configuration.CONFIGURATION)
      .tables();
    const mates = new Set<string>();
    for (const {row} of Object.values(rows)) {
      const owners = known
        .members(row)
        .map(item => known.owners(item.name)[0])
        .filter(owner => owner !== undefined);
      if (!owners.includes(known.self())) continue;
      for (const owner of owners) mates.add(owner);
    }
    mates.delete(known.self());
    return [...mates];
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
