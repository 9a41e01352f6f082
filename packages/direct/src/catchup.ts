/**
 * Catching up from other routers: where a digest shows that another router is
 * ahead and the store does not tell this one, the state is fetched from there.
 * A router that starts while the store is away asks the seeds.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as endpointBook from './endpointbook.js';
import type * as fleetBook from './fleetbook.js';
import * as followers from './followers.js';
import * as jsonFetch from './jsonfetch.js';
import * as lifecycle from './lifecycle.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as states from './state.js';
import * as tablesBook from './tablesbook.js';

/** Path at which routers hand out their state. */
export const STATE_PATH = '/state';

/**
 * How long the store has to bring a version that another router has, in ms,
 * before this router asks there: where the feed is lost, and where it is not. A
 * large configuration takes a small instance's link some 300 ms.
 */
const LOST_FIRST_MS = 150;
const STORE_FIRST_MS = 800;

/** Pause between looks for a router that is ahead, in ms. */
const LOOK_MS = 100;

/** Pause between fetches of endpoints while the store is away, in ms. */
const ENDPOINTS_PACE_MS = 1_000;

/** Pause between rounds over the seeds at the start, in ms. */
const SEEDS_PACE_MS = 700;

/** Catching up. */
export interface CatchUp {
  /** A router told where it stands. */
  heard(router: model.Router, standing: fleetBook.Standing): void;
}

/** The contract under which catching up is registered. */
export const CATCH_UP = core.contract<CatchUp>('catch-up', ['heard']);

interface Ahead {
  readonly address: string;
  readonly version: number;
  readonly endpointsOffset: number;
  readonly sinceMs: number;
  /** Version here when it began to be behind. */
  readonly ownVersion: number;
}

/** Fetches state over HTTP. */
export class StateCatchUp extends core.TaskService implements CatchUp {
  private ahead: Ahead | undefined;
  private fetchedMs = 0;

  constructor(
    kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    super(kernel, 'catch_up');
  }

  heard({address}: model.Router, standing: fleetBook.Standing): void {
    const {version, endpointsOffset} = standing;
    const isAhead =
      version > this.tables.version() || this.lacksEndpoints(endpointsOffset);
    if (!isAhead) return;
    const known = this.ahead?.version ?? tablesBook.NO_VERSION;
    if (known > version) return;
    const ownVersion = this.tables.version();
    // Whoever gets on by itself is not behind for long.
    const isStuck = this.ahead?.ownVersion === ownVersion;
    const sinceMs = (isStuck && this.ahead?.sinceMs) || this.nowMs();
    this.ahead = {address, version, endpointsOffset, sinceMs, ownVersion};
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStarting = this.phase() === 'starting';
      await this.clock.sleep(isStarting ? SEEDS_PACE_MS : LOOK_MS, signal);
      if (signal.aborted) return;
      if (this.phase() === 'starting') await this.askSeeds(signal);
      await this.look(signal);
    }
  }

  /** Fetches from the router ahead, where the store had its time to tell. */
  private async look(signal: AbortSignal): Promise<void> {
    const {ahead} = this;
    if (!ahead) return;
    const isBehind = ahead.version > this.tables.version();
    if (!isBehind && !this.lacksEndpoints(ahead.endpointsOffset)) {
      this.ahead = undefined;
      return;
    }
    const nowMs = this.nowMs();
    if (nowMs - ahead.sinceMs < this.storeFirstMs()) return;
    if (!isBehind && nowMs - this.fetchedMs < ENDPOINTS_PACE_MS) return;
    this.fetchedMs = nowMs;
    this.ahead = undefined;
    await this.fetch(ahead.address, signal);
  }

  private storeFirstMs(): number {
    const isKnown = this.kernel.find(followers.FOLLOWERS).areTablesKnown();
    return isKnown ? STORE_FIRST_MS : LOST_FIRST_MS;
  }

  private async askSeeds(signal: AbortSignal): Promise<void> {
    for (const address of this.own.seedAddresses) {
      if (signal.aborted || this.phase() !== 'starting') return;
      if (address !== this.own.address) await this.fetch(address, signal);
    }
  }

  private async fetch(address: string, signal: AbortSignal): Promise<void> {
    const port = this.own.peerPort;
    const request = {address, port, path: STATE_PATH, signal};
    const fetched = await jsonFetch.fetchJson(request);
    if (fetched.type === 'failed') {
      this.report(address, fetched.detail);
      return;
    }
    const state = v.safeParse(states.stateSchema, fetched.value);
    if (state.success) states.absorb(this.kernel, state.output, address);
    else this.report(address, 'the state cannot be read');
  }

  private report(address: string, detail: string): void {
    const log = this.kernel.find(core.LOGGER);
    log.info('catch_up_failed', {address, detail});
  }

  /** Only a router that cannot read the endpoints' feed itself lacks them. */
  private lacksEndpoints(endpointsOffset: number): boolean {
    if (this.kernel.find(followers.FOLLOWERS).isStoreKnown()) return false;
    const book = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    return endpointsOffset > book.nextOffset();
  }

  private phase(): fleetBook.Phase {
    return this.kernel.find(lifecycle.LIFE).phase();
  }

  private get tables(): tablesBook.TablesBook {
    return this.kernel.find(tablesBook.TABLES_BOOK);
  }

  private get clock(): core.Clock {
    return this.kernel.find(core.CLOCK);
  }

  private nowMs(): number {
    return this.clock.nowMs();
  }
}
