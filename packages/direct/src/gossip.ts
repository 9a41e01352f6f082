/**
 * Digests between routers: one task sends them in rounds, whose size and pace
 * follow the size of the fleet; each that arrives is taken in at once. News that
 * cannot wait goes to every router.
 */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import * as catchUp from './catchup.js';
import * as decisions from './decisions.js';
import * as digests from './digest.js';
import * as endpointBook from './endpointbook.js';
import * as endpointIntake from './endpointintake.js';
import * as fleetBook from './fleetbook.js';
import * as lifecycle from './lifecycle.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as tablesBook from './tablesbook.js';

/** How many digests tell of a change at once, since a datagram may be lost. */
const URGENT_REPEATS = 2;

/** How long an urgent digest waits for further changes, in ms. */
const URGENT_DELAY_MS = 20;

/** Shortest time between two rounds that are not urgent, in ms. */
const MIN_ROUND_MS = 250;

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
    this.socket.on('message', (bytes, {address}) => this.take(bytes, address));
    const book = this.kernel.find(tablesBook.TABLES_BOOK);
    // All follow the tables themselves; this is for those that cannot.
    book.onChange(() => this.wake.abort());
    this.kernel.find(endpointBook.ENDPOINT_BOOK).onChange(() => this.hasten());
    this.tasks.spawn('gossip', signal => this.run(signal));
  }

  async stop(): Promise<void> {
    this.tellAll();
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
      if (this.urgent > 0) {
        this.urgent -= 1;
        this.tellAll();
        await clock.sleep(URGENT_DELAY_MS, signal);
        continue;
      }
      const toldMs = clock.nowMs();
      const paceMs = this.tellRound();
      await this.pause(paceMs);
      // Changes in quick succession share a round.
      const restMs = () => toldMs + MIN_ROUND_MS - clock.nowMs();
      while (this.urgent === 0 && !signal.aborted && restMs() > 0) {
        await this.pause(restMs());
      }
    }
  }

  private async pause(delayMs: number): Promise<void> {
    this.wake = new AbortController();
    await this.kernel.find(core.CLOCK).sleep(delayMs, this.wake.signal);
  }

  /** Tells those whose turn it is; returns the time until the next round. */
  private tellRound(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const digest = this.digest(nowMs);
    const {zone} = fleet.self();
    const routers = fleet.peers(nowMs).map(({router}) => router);
    const round = this.kernel.find(decisions.ROUNDS).next(
      routers.map(({name, zone: its}) => ({name, isNear: its === zone})),
      this.own.digestMs,
      hasNews(digest),
    );
    fleet.expect(round);
    const isTold = new Set(round.names);
    this.send(
      digest,
      routers.filter(({name}) => isTold.has(name)),
    );
    return round.paceMs;
  }

  private tellAll(): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const peers = this.kernel.find(fleetBook.FLEET_BOOK).peers(nowMs);
    this.send(
      this.digest(nowMs),
      peers.map(({router}) => router),
    );
  }

  /** Sends a digest; a router that knows no others yet tells the seeds. */
  private send(digest: digests.Digest, routers: readonly model.Router[]): void {
    const known = routers.map(({address}) => address);
    const targets = known.length > 0 ? known : this.own.seedAddresses;
    const bytes = digests.encode(digest);
    for (const address of targets) {
      if (address === this.own.address) continue;
      this.socket.send(bytes, this.own.gossipPort, address, error => {
        if (error) this.report(error);
      });
    }
  }

  private digest(nowMs: number): digests.Digest {
    const endpoints = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    return {
      router: this.kernel.find(fleetBook.FLEET_BOOK).self(),
      standing: {
        phase: this.kernel.find(lifecycle.LIFE).phase(),
        version: this.kernel.find(tablesBook.TABLES_BOOK).version(),
        endpointsOffset: endpoints.nextOffset(),
        upS: this.kernel.find(lifecycle.LIFE).upS(),
      },
      inFlight: this.kernel.find(decisions.LOAD).own(),
      outcomes: this.kernel.find(decisions.HEALTH).own(nowMs),
      changes: endpoints.recentChanges(nowMs),
      suspects: this.kernel.find(decisions.SUSPECTS).changes(nowMs),
      placed: this.kernel.find(decisions.HOMES).untold(),
    };
  }

  private take(bytes: Buffer, from: string): void {
    const endpoints = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    const digest = digests.decode(bytes, {
      from,
      named: hash => endpoints.named(hash),
    });
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
    for (const item of digest.changes) {
      endpointIntake.takeRecord(this.kernel, item, 'router');
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

/** Whether the digest tells what every router has to know soon. */
function hasNews({suspects, placed}: digests.Digest): boolean {
  return suspects.length > 0 || placed.length > 0;
}
