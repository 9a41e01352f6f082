/**
 * Fetches newer tables if digests show that routers have them: from one of
 * them, from the next if that fails, and from a second one at the same time if
 * the first is slow. A router that reads the store itself first waits for the
 * store to deliver the tables.
 */
import * as core from '@oleanderrock/core';
import * as activeTables from './activetables.js';
import * as feedFollowers from './feedfollowers.js';
import * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';
import * as stateSource from './statesource.js';
import * as tablesDifference from './tablesdifference.js';
import * as tablesUpdate from './tablesupdate.js';
import * as wakeablePause from './wakeablepause.js';

/**
 * How long a router that reads the store waits for it to deliver a version that
 * another router has, in ms. A large configuration takes some 300 ms over a
 * small instance's link.
 */
const READER_FETCH_DELAY_MS = 800;

/**
 * Interval between checks of whether newer tables have to be fetched, in ms:
 * while a router has some, and while none does, when a digest ends the wait.
 */
const POLL_INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 60_000;

/**
 * Shortest interval between fetches of newer tables, in ms: of versions that
 * follow each other closely, most routers need only some.
 */
const TABLES_FETCH_INTERVAL_MS = 150;

/**
 * Time after which a second router is asked while the first has not delivered,
 * in ms: longer than most fetches of large tables over a small instance's link,
 * so that few are made twice.
 */
const HEDGE_DELAY_MS = 600;

/** Maximum number of routers that are asked at the same time. */
const MAX_CONCURRENT_FETCHES = 2;

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

type FetchedUpdate = stateSource.Fetched<tablesUpdate.TablesUpdate>;

/** Fetches tables from the registered source. */
export class TablesCatchUp extends core.TaskService {
  /** By address; the router heard last comes last. */
  private readonly peersAhead = new Map<string, PeerAhead>();
  private wait: Wait | undefined;
  private lastFetchMs = Number.NEGATIVE_INFINITY;
  private readonly pause: wakeablePause.WakeablePause;

  /**
   * @param onFirstTables called with the address of the router that served the
   *   first tables of this process
   */
  constructor(
    kernel: core.Kernel,
    private readonly onFirstTables: (address: string) => void,
  ) {
    super(kernel, 'tables_catch_up');
    this.pause = new wakeablePause.WakeablePause(kernel.find(core.CLOCK));
  }

  /** Compares the version of another router's digest with this router's. */
  compareVersions(router: model.Router, version: number): void {
    const localVersion = this.tables.version();
    if (version <= localVersion) return;
    const wasIdle = this.peersAhead.size === 0;
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
    if (wasIdle || this.mustFetchAtOnce()) this.pause.wake();
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.peersAhead.size === 0) {
        await this.pause.wait(IDLE_INTERVAL_MS, signal);
      }
      if (!this.mustFetchAtOnce()) {
        await this.pause.wait(POLL_INTERVAL_MS, signal);
      }
      if (signal.aborted) return;
      await this.fetchIfBehind(signal);
    }
  }

  private mustFetchAtOnce(): boolean {
    const sinceFetchMs = this.nowMs() - this.lastFetchMs;
    return (
      this.peersAhead.size > 0 &&
      this.fetchDelayMs() === 0 &&
      sinceFetchMs >= TABLES_FETCH_INTERVAL_MS
    );
  }

  /** Fetches newer tables, unless the store delivers them within the delay. */
  private async fetchIfBehind(signal: AbortSignal): Promise<void> {
    const {wait} = this;
    const nowMs = this.nowMs();
    if (!wait || nowMs - wait.sinceMs < this.fetchDelayMs()) return;
    if (nowMs - this.lastFetchMs < TABLES_FETCH_INTERVAL_MS) return;
    const hadTables = this.tables.current() !== undefined;
    const address = await this.fetchFromAny(wait, signal);
    if (address === undefined) return;
    this.lastFetchMs = nowMs;
    if (!hadTables) this.onFirstTables(address);
  }

  /**
   * Asks routers with newer tables until one serves them; returns its address.
   * A router that does not serve them is left out until its next digest.
   */
  private async fetchFromAny(
    wait: Wait,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const controller = new AbortController();
    const anySignal = AbortSignal.any([signal, controller.signal]);
    const fetches = new Set<Promise<string | undefined>>();
    try {
      for (;;) {
        const peer =
          fetches.size < MAX_CONCURRENT_FETCHES && this.choosePeerAhead();
        if (peer) {
          const fetch = this.fetchFrom(peer, wait, anySignal);
          fetches.add(fetch);
          void fetch.then(() => fetches.delete(fetch));
        }
        if (fetches.size === 0 || signal.aborted) return undefined;
        const address = await this.firstOf(fetches, anySignal);
        if (address !== undefined) return address;
      }
    } finally {
      controller.abort();
    }
  }

  /**
   * The address of the router that serves the first of the fetches to end;
   * undefined if that one failed, or none ends within the hedge delay.
   */
  private async firstOf(
    fetches: ReadonlySet<Promise<string | undefined>>,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const timer = new AbortController();
    const delay = this.clock.sleep(
      HEDGE_DELAY_MS,
      AbortSignal.any([signal, timer.signal]),
    );
    const first = await Promise.race([...fetches, delay]);
    timer.abort();
    return first ?? undefined;
  }

  /** Returns the router's address if it served newer tables. */
  private async fetchFrom(
    {router: {address}, version}: PeerAhead,
    {sinceMs}: Wait,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    this.peersAhead.delete(address);
    const startMs = this.nowMs();
    const result = await this.fetchTables(address, signal);
    if (signal.aborted) return undefined;
    const log = this.kernel.find(core.LOGGER);
    if (result.type === 'failed') {
      const {detail} = result;
      log.info('catch_up_failed', {of: 'tables', address, detail});
      return undefined;
    }
    const nowMs = this.nowMs();
    log.info('tables_fetched', {
      address,
      version,
      behind_ms: Math.round(nowMs - sinceMs),
      fetch_ms: Math.round(nowMs - startMs),
    });
    return address;
  }

  /**
   * Fetches an update and puts it in force; the whole tables if it does not lead
   * to the tables of the other router.
   */
  private async fetchTables(
    address: string,
    signal: AbortSignal,
  ): Promise<FetchedUpdate> {
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
  ): Promise<FetchedUpdate> {
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

  private fetchDelayMs(): number {
    // Without tables no request is served, so both ways are tried.
    if (!this.tables.current()) return 0;
    const isReading = this.kernel
      .find(feedFollowers.FEED_FOLLOWERS)
      .isReadingTables();
    return isReading ? READER_FETCH_DELAY_MS : 0;
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
