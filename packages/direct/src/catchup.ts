/**
 * Catches up from other routers: if digests show that routers have newer
 * tables, these are fetched from one of them, and from the next if that fails.
 * If there are lasting differences in the endpoints or members that another
 * router knows, its state is fetched. A router that reads the store itself
 * first waits for the store to deliver the tables.
 */
import * as core from '@oleanderrock/core';
import * as activeTables from './activetables.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as feedFollowers from './feedfollowers.js';
import * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';
import * as routerState from './routerstate.js';
import * as runState from './runstate.js';
import * as stateSource from './statesource.js';
import * as tablesDifference from './tablesdifference.js';
import * as tablesUpdate from './tablesupdate.js';

/**
 * How long a router that reads the store waits for it to deliver a version that
 * another router has, in ms. A large configuration takes some 300 ms over a
 * small instance's link.
 */
const READER_FETCH_DELAY_MS = 800;

/**
 * Interval between checks of whether a router with newer or other state has to
 * be fetched from, in ms: while there is one, and while there is none, when a
 * digest ends the wait.
 */
const POLL_INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 60_000;

/**
 * How long the endpoints or members must differ from those of other routers,
 * while they do not change here, before the state is fetched, in ms. News
 * usually arrives sooner.
 */
const LASTING_DIFFERENCE_MS = 1_200;

/** Shortest interval between fetches because of such differences, in ms. */
const DIFFERENCE_FETCH_INTERVAL_MS = 2_000;

/**
 * Uptime up to which differences are fetched without waiting for news, in s: a
 * new router lacks most members, and more come while the fleet starts.
 */
const STARTING_UPTIME_S = 15;
const STARTING_FETCH_INTERVAL_MS = 1_000;

/** Fetches newer state from other routers. */
export interface CatchUp {
  /** Handles the status in another router's digest. */
  onDigest(router: model.Router, status: fleetRegistry.RouterStatus): void;
}

/** The contract under which the catch-up is registered. */
export const CATCH_UP = core.contract<CatchUp>('catch-up', ['onDigest']);

/**
 * Shortest interval between fetches of newer tables, in ms: of versions that
 * follow each other closely, most routers need only some.
 */
const TABLES_FETCH_INTERVAL_MS = 150;

/** Maximum number of routers with newer tables that are remembered. */
const MAX_PEERS_AHEAD = 8;

/** Another router with newer tables. */
interface PeerAhead {
  readonly router: model.Router;
  readonly version: number;
}

/** A wait for the store to deliver newer tables. */
interface Wait {
  readonly sinceMs: number;
  /** Version of this router's tables when the wait began. */
  readonly localVersion: number;
}

/** What this router knows of one kind, and since when it is unchanged. */
class LastingDifference {
  private localFingerprint: number | undefined;
  private sinceMs = 0;
  private isDifferent = false;

  /** Compares this router's fingerprint with that of another router. */
  compare(local: number, remote: number, nowMs: number): void {
    if (this.localFingerprint !== local) {
      this.localFingerprint = local;
      this.sinceMs = nowMs;
    }
    this.isDifferent = local !== remote;
  }

  /** Time for which this router's knowledge differs unchanged, in ms. */
  durationMs(nowMs: number): number | undefined {
    return this.isDifferent ? nowMs - this.sinceMs : undefined;
  }
}

/** Fetches state from the registered source. */
export class StateCatchUp extends core.TaskService implements CatchUp {
  /** By address; the router heard last comes last. */
  private readonly peersAhead = new Map<string, PeerAhead>();
  private wait: Wait | undefined;
  private readonly endpointsDifference = new LastingDifference();
  private readonly membersDifference = new LastingDifference();
  private differingAddress: string | undefined;
  private lastTablesFetchMs = Number.NEGATIVE_INFINITY;
  private lastDifferenceFetchMs = Number.NEGATIVE_INFINITY;
  private wakeController = new AbortController();

  constructor(kernel: core.Kernel) {
    super(kernel, 'catch_up');
  }

  onDigest(router: model.Router, status: fleetRegistry.RouterStatus): void {
    const wasIdle = this.isIdle();
    this.compareVersions(router, status.version);
    this.compareFingerprints(router.address, status);
    if (wasIdle && !this.isIdle()) this.wakeController.abort();
  }

  protected async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wakeController.abort());
    while (!signal.aborted) {
      if (this.isIdle()) await this.pause(IDLE_INTERVAL_MS, signal);
      if (!this.mustFetchAtOnce()) await this.pause(POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
      await this.fetchIfBehind(signal);
      await this.fetchIfDifferent(signal);
    }
  }

  /** Waits for the delay, or until a digest has to be acted on. */
  private async pause(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    this.wakeController = new AbortController();
    await this.clock.sleep(delayMs, this.wakeController.signal);
  }

  /** Whether no router is known to have newer or other state. */
  private isIdle(): boolean {
    return this.peersAhead.size === 0 && this.differingAddress === undefined;
  }

  private mustFetchAtOnce(): boolean {
    const sinceFetchMs = this.nowMs() - this.lastTablesFetchMs;
    return (
      this.peersAhead.size > 0 &&
      this.fetchDelayMs() === 0 &&
      sinceFetchMs >= TABLES_FETCH_INTERVAL_MS
    );
  }

  private compareVersions(router: model.Router, version: number): void {
    const localVersion = this.tables.version();
    if (version <= localVersion) return;
    this.peersAhead.delete(router.address);
    this.peersAhead.set(router.address, {router, version});
    if (this.peersAhead.size > MAX_PEERS_AHEAD) {
      const [oldest] = this.peersAhead.keys();
      this.peersAhead.delete(oldest!);
    }
    // The wait starts anew whenever this router's version advances, since it
    // then still receives updates itself.
    if (this.wait?.localVersion !== localVersion) {
      this.wait = {sinceMs: this.nowMs(), localVersion};
    }
    if (this.mustFetchAtOnce()) this.wakeController.abort();
  }

  private compareFingerprints(
    address: string,
    {endpointsFingerprint, membersFingerprint}: fleetRegistry.RouterStatus,
  ): void {
    const endpoints = this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .fingerprint();
    const members = this.kernel.find(decisions.MEMBERSHIP).fingerprint();
    const nowMs = this.nowMs();
    this.endpointsDifference.compare(endpoints, endpointsFingerprint, nowMs);
    this.membersDifference.compare(members, membersFingerprint, nowMs);
    const isEqual =
      endpoints === endpointsFingerprint && members === membersFingerprint;
    this.differingAddress = isEqual ? undefined : address;
  }

  /**
   * Fetches newer tables, unless the store delivers them within the fetch delay.
   * A router that does not serve them is left out until its next digest.
   */
  private async fetchIfBehind(signal: AbortSignal): Promise<void> {
    const {wait} = this;
    const nowMs = this.nowMs();
    if (!wait || nowMs - wait.sinceMs < this.fetchDelayMs()) return;
    if (nowMs - this.lastTablesFetchMs < TABLES_FETCH_INTERVAL_MS) return;
    for (;;) {
      const peer = this.choosePeerAhead();
      if (!peer || signal.aborted) return;
      const {address} = peer.router;
      this.peersAhead.delete(address);
      const hadTables = this.tables.current() !== undefined;
      const result = await this.fetchTables(address, signal);
      if (signal.aborted) return;
      if (result.type === 'failed') {
        this.logFailure(address, result.detail);
        continue;
      }
      this.lastTablesFetchMs = nowMs;
      // A router that has just started lacks everything else as well.
      if (!hadTables) await this.fetchState(address, signal);
      return;
    }
  }

  /**
   * Fetches an update and puts it in force; the whole tables if it does not lead
   * to the tables of the other router.
   */
  private async fetchTables(
    address: string,
    signal: AbortSignal,
  ): Promise<stateSource.Fetched<tablesUpdate.TablesUpdate>> {
    const update = await this.fetchUpdate(address, signal);
    if (update.type === 'failed' || signal.aborted) return update;
    const isApplied =
      !update.value.isSummaryNeeded &&
      tablesUpdate.apply(this.kernel, update.value, address);
    if (isApplied) return update;
    this.kernel.find(core.LOGGER).warn('tables_update_mismatch', {
      address,
      version: this.tables.version(),
    });
    const request = {version: activeTables.NO_VERSION};
    const whole = await this.source.fetchTables(address, request, signal);
    if (whole.type === 'fetched' && !signal.aborted) {
      tablesUpdate.apply(this.kernel, whole.value, address);
    }
    return whole;
  }

  /** Fetches an update; sends a summary if the other router needs it. */
  private async fetchUpdate(
    address: string,
    signal: AbortSignal,
  ): Promise<stateSource.Fetched<tablesUpdate.TablesUpdate>> {
    const request = {version: this.tables.version()};
    const update = await this.source.fetchTables(address, request, signal);
    if (update.type === 'failed' || !update.value.isSummaryNeeded) {
      return update;
    }
    const current = this.tables.current();
    const summary = current && tablesDifference.summarize(current);
    if (!summary || signal.aborted) return update;
    const {version} = current;
    return this.source.fetchTables(address, {version, summary}, signal);
  }

  /**
   * One of the routers with the newest version, in this failure domain if there
   * is one; a random one, so that a router that was heard by many is not asked
   * by all of them.
   */
  private choosePeerAhead(): PeerAhead | undefined {
    const localVersion = this.tables.version();
    for (const [address, {version}] of this.peersAhead) {
      if (version <= localVersion) this.peersAhead.delete(address);
    }
    const peers = [...this.peersAhead.values()];
    const newest = Math.max(...peers.map(({version}) => version));
    const newestPeers = peers.filter(({version}) => version === newest);
    const {zone} = this.kernel.find(fleetRegistry.FLEET_REGISTRY).self();
    const nearPeers = newestPeers.filter(({router}) => router.zone === zone);
    const candidates = nearPeers.length > 0 ? nearPeers : newestPeers;
    const random = this.kernel.find(core.RANDOM);
    return candidates[random.nextInt(Math.max(1, candidates.length))];
  }

  private async fetchIfDifferent(signal: AbortSignal): Promise<void> {
    const {differingAddress} = this;
    if (differingAddress === undefined) return;
    const nowMs = this.nowMs();
    const uptimeS = this.kernel.find(runState.RUN_STATE).uptimeS();
    const isStarting = uptimeS < STARTING_UPTIME_S;
    const durationMs = Math.max(
      this.endpointsDifference.durationMs(nowMs) ?? 0,
      this.membersDifference.durationMs(nowMs) ?? 0,
    );
    if (!isStarting && durationMs < LASTING_DIFFERENCE_MS) return;
    const minIntervalMs = isStarting
      ? STARTING_FETCH_INTERVAL_MS
      : DIFFERENCE_FETCH_INTERVAL_MS;
    if (nowMs - this.lastDifferenceFetchMs < minIntervalMs) return;
    this.lastDifferenceFetchMs = nowMs;
    this.differingAddress = undefined;
    await this.fetchState(differingAddress, signal);
  }

  private async fetchState(
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    const state = await this.source.fetchState(address, signal);
    if (signal.aborted) return;
    if (state.type === 'failed') this.logFailure(address, state.detail);
    else routerState.merge(this.kernel, state.value);
  }

  private fetchDelayMs(): number {
    const isReading = this.kernel
      .find(feedFollowers.FEED_FOLLOWERS)
      .isReadingTables();
    return isReading ? READER_FETCH_DELAY_MS : 0;
  }

  private logFailure(address: string, detail: string): void {
    this.kernel.find(core.LOGGER).info('catch_up_failed', {address, detail});
  }

  private get source(): stateSource.StateSource {
    return this.kernel.find(stateSource.STATE_SOURCE);
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
