/**
 * Digests between routers: one task sends them to every peer at a pace that the
 * size of the fleet slows down; each that arrives is taken in at once.
 */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import * as catchUp from './catchup.js';
import * as decisions from './decisions.js';
import * as digests from './digest.js';
import * as endpointBook from './endpointbook.js';
import * as fleetBook from './fleetbook.js';
import * as lifecycle from './lifecycle.js';
import type * as settings from './settings.js';
import * as tablesBook from './tablesbook.js';

/** Datagrams a second that a router sends at most, for the control budget. */
const MAX_SENT_PER_SECOND = 60;

/** How many digests tell of a change at once, since a datagram may be lost. */
const URGENT_REPEATS = 2;

/** How long an urgent digest waits for further changes, in ms. */
const URGENT_DELAY_MS = 20;

/** Teller of this router's state. */
export interface Gossip {
  /** Tells of a change soon, instead of at the next pace. */
  hasten(): void;
}

/** The contract under which the teller is registered. */
export const GOSSIP = core.contract<Gossip>('gossip', ['hasten']);

/** Gossip over UDP. */
export class UdpGossip implements Gossip, core.Lifecycle {
  private readonly socket = dgram.createSocket('udp4');
  private readonly tasks: core.TaskGroup;
  private wake = new AbortController();
  private urgent = 0;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.own.gossipPort, this.own.address, resolve);
    });
    this.socket.on('error', error => this.report(error));
    this.socket.on('message', bytes => this.take(bytes));
    const book = this.kernel.find(tablesBook.TABLES_BOOK);
    book.onChange(() => this.hasten());
    this.kernel.find(endpointBook.ENDPOINT_BOOK).onLeave(() => this.hasten());
    this.tasks.spawn('gossip', signal => this.run(signal));
  }

  async stop(): Promise<void> {
    this.send();
    await this.tasks.stop();
    this.socket.close();
  }

  hasten(): void {
    this.urgent = URGENT_REPEATS;
    this.wake.abort();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    signal.addEventListener('abort', () => this.wake.abort());
    while (!signal.aborted) {
      const sent = this.send();
      if (this.urgent > 0) {
        this.urgent -= 1;
        await clock.sleep(URGENT_DELAY_MS, signal);
        continue;
      }
      this.wake = new AbortController();
      await clock.sleep(this.paceMs(sent), this.wake.signal);
    }
  }

  private paceMs(peers: number): number {
    return Math.max(this.own.digestMs, (peers * 1_000) / MAX_SENT_PER_SECOND);
  }

  /** Sends one digest to each peer; returns their number. */
  private send(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const peers = fleet.peers(nowMs).map(({router}) => router.address);
    const targets = peers.length > 0 ? peers : this.own.seedAddresses;
    const bytes = digests.encode(this.digest(nowMs));
    for (const address of targets) {
      if (address === this.own.address) continue;
      this.socket.send(bytes, this.own.gossipPort, address, error => {
        if (error) this.report(error);
      });
    }
    return targets.length;
  }

  private digest(nowMs: number): digests.Digest {
    const endpoints = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    return {
      router: this.kernel.find(fleetBook.FLEET_BOOK).self(),
      standing: {
        phase: this.kernel.find(lifecycle.LIFE).phase(),
        version: this.kernel.find(tablesBook.TABLES_BOOK).version(),
        endpointsOffset: endpoints.nextOffset(),
      },
      inFlight: this.kernel.find(decisions.LOAD).own(),
      outcomes: this.kernel.find(decisions.HEALTH).own(nowMs),
      leavers: endpoints.leavers(nowMs),
      suspects: this.kernel.find(decisions.SUSPECTS).changes(nowMs),
      placed: this.kernel.find(decisions.HOMES).untold(),
    };
  }

  private take(bytes: Buffer): void {
    const digest = digests.decode(bytes);
    if (!digest) {
      this.kernel.find(core.LOGGER).warn('digest_unreadable', {
        bytes: bytes.length,
      });
      return;
    }
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const {router, standing} = digest;
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    // A newcomer does not know the fleet yet, so it is told at once.
    if (fleet.hear(router, standing, nowMs)) this.wake.abort();
    const load = this.kernel.find(decisions.LOAD);
    load.learn(router.name, digest.inFlight, nowMs);
    const health = this.kernel.find(decisions.HEALTH);
    health.learn(router.name, digest.outcomes, nowMs);
    const endpoints = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    for (const [id, offset] of digest.leavers) {
      endpoints.learnLeaver(id, offset, nowMs);
    }
    const suspects = this.kernel.find(decisions.SUSPECTS);
    for (const note of digest.suspects) suspects.learn(note, nowMs);
    const homes = this.kernel.find(decisions.HOMES);
    for (const placed of digest.placed) homes.learn(placed, nowMs);
    this.kernel.find(catchUp.CATCH_UP).heard(router, standing);
  }

  private report(error: Error): void {
    this.kernel.find(core.LOGGER).warn('gossip_failed', {
      detail: error.message,
    });
  }
}
