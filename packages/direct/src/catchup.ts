/**
 * Catches up from other routers: if a digest shows that a router has newer
 * state and the store does not deliver it in time, the state is fetched from
 * that router. A router that starts while the store is unavailable fetches it
 * from the seeds.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as endpointRegistry from './endpointregistry.js';
import type * as fleetRegistry from './fleetregistry.js';
import * as feedFollowers from './feedfollowers.js';
import * as jsonFetch from './jsonfetch.js';
import * as runState from './runstate.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as routerState from './routerstate.js';
import * as activeTables from './activetables.js';

/** Path at which routers serve their state. */
export const STATE_PATH = '/state';

/**
 * How long to wait for the store to deliver a version that another router has,
 * before fetching it from that router, in ms: the first while the tables' feed
 * is lost, the second otherwise. A large configuration takes some 300 ms over a
 * small instance's link.
 */
const FEED_LOST_FETCH_DELAY_MS = 150;
const FETCH_DELAY_MS = 800;

/** Interval between checks for a router with newer state, in ms. */
const POLL_INTERVAL_MS = 100;

/** Shortest interval between fetches of endpoint records alone, in ms. */
const ENDPOINTS_FETCH_INTERVAL_MS = 1_000;

/** Interval between fetches from all seeds at the start, in ms. */
const SEEDS_POLL_INTERVAL_MS = 700;

/** Fetches newer state from other routers. */
export interface CatchUp {
  /** Handles the status in another router's digest. */
  onDigest(router: model.Router, status: fleetRegistry.RouterStatus): void;
}

/** The contract under which the catch-up is registered. */
export const CATCH_UP = core.contract<CatchUp>('catch-up', ['onDigest']);

/** Another router with newer state. */
interface PeerAhead {
  readonly address: string;
  readonly version: number;
  readonly endpointsOffset: number;
  /** Monotonic time at which the wait for the store began, in ms. */
  readonly sinceMs: number;
  /** Version of this router's tables when the wait began. */
  readonly localVersion: number;
}

/** Fetches state over HTTP. */
export class StateCatchUp extends core.TaskService implements CatchUp {
  private peerAhead: PeerAhead | undefined;
  private lastFetchMs = 0;

  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    super(kernel, 'catch_up');
  }

  onDigest({address}: model.Router, status: fleetRegistry.RouterStatus): void {
    const {version, endpointsOffset} = status;
    const isAhead =
      version > this.tables.version() ||
      this.lacksEndpointRecords(endpointsOffset);
    if (!isAhead) return;
    const awaitedVersion = this.peerAhead?.version ?? activeTables.NO_VERSION;
    if (awaitedVersion > version) return;
    const localVersion = this.tables.version();
    // The wait starts anew whenever this router's version advances, since it
    // then still receives updates itself.
    const isStuck = this.peerAhead?.localVersion === localVersion;
    const sinceMs = (isStuck && this.peerAhead?.sinceMs) || this.nowMs();
    this.peerAhead = {address, version, endpointsOffset, sinceMs, localVersion};
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStarting = this.phase() === 'starting';
      await this.clock.sleep(
        isStarting ? SEEDS_POLL_INTERVAL_MS : POLL_INTERVAL_MS,
        signal,
      );
      if (signal.aborted) return;
      if (this.phase() === 'starting') await this.fetchFromSeeds(signal);
      await this.fetchIfBehind(signal);
    }
  }

  /**
   * Fetches from the router with newer state, unless the store delivers the
   * state within the fetch delay.
   */
  private async fetchIfBehind(signal: AbortSignal): Promise<void> {
    const {peerAhead} = this;
    if (!peerAhead) return;
    const isBehind = peerAhead.version > this.tables.version();
    if (!isBehind && !this.lacksEndpointRecords(peerAhead.endpointsOffset)) {
      this.peerAhead = undefined;
      return;
    }
    const nowMs = this.nowMs();
    if (nowMs - peerAhead.sinceMs < this.fetchDelayMs()) return;
    if (!isBehind && nowMs - this.lastFetchMs < ENDPOINTS_FETCH_INTERVAL_MS) {
      return;
    }
    this.lastFetchMs = nowMs;
    this.peerAhead = undefined;
    await this.fetch(peerAhead.address, signal);
  }

  private fetchDelayMs(): number {
    const isFeedCurrent = this.kernel
      .find(feedFollowers.FEED_FOLLOWERS)
      .isTablesFeedCurrent();
    return isFeedCurrent ? FETCH_DELAY_MS : FEED_LOST_FETCH_DELAY_MS;
  }

  private async fetchFromSeeds(signal: AbortSignal): Promise<void> {
    for (const address of this.routerSettings.seedAddresses) {
      if (signal.aborted || this.phase() !== 'starting') return;
      if (address !== this.routerSettings.address) {
        await this.fetch(address, signal);
      }
    }
  }

  private async fetch(address: string, signal: AbortSignal): Promise<void> {
    const port = this.routerSettings.peerPort;
    const request = {address, port, path: STATE_PATH, signal};
    const result = await jsonFetch.fetchJson(request);
    if (result.type === 'failed') {
      this.logFailure(address, result.detail);
      return;
    }
    const state = v.safeParse(routerState.stateSchema, result.value);
    if (state.success) routerState.merge(this.kernel, state.output, address);
    else this.logFailure(address, 'the state has an unexpected format');
  }

  private logFailure(address: string, detail: string): void {
    const log = this.kernel.find(core.LOGGER);
    log.info('catch_up_failed', {address, detail});
  }

  /**
   * Whether another router has endpoint records that this one lacks; false
   * while this router can read the endpoints' feed itself.
   */
  private lacksEndpointRecords(endpointsOffset: number): boolean {
    if (
      this.kernel.find(feedFollowers.FEED_FOLLOWERS).isEndpointsFeedCurrent()
    ) {
      return false;
    }
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    return endpointsOffset > endpoints.nextOffset();
  }

  private phase(): fleetRegistry.RouterPhase {
    return this.kernel.find(runState.RUN_STATE).phase();
  }

  private get tables(): activeTables.ActiveTables {
    return this.kernel.find(activeTables.ACTIVE_TABLES);
  }

  private get clock(): core.Clock {
    return this.kernel.find(core.CLOCK);
  }

  private nowMs(): number {
    return this.clock.nowMs();
  }
}
