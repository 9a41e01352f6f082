/**
 * The followers of the store's feeds, and this router's own record there.
 */
import * as core from '@oleanderrock/core';
import * as feeds from './feed.js';
import * as fleetBook from './fleetbook.js';
import * as follower from './follower.js';
import * as keepers from './keepers.js';
import type * as settings from './settings.js';

/**
 * How long a read of the tables waits at the store, in ms, within the store's
 * limit of 30 s. A connection that goes silent meanwhile is closed when the
 * next read of the endpoints fails on its own.
 */
const TABLES_WAIT_MS = 28_000;

/** Pause between reads of the list of routers, in ms; digests tell sooner. */
const ROUTERS_PACE_MS = 60_000;

/**
 * Mean time between two reads of the endpoints by any router of the fleet, in
 * ms; whoever reads that one came or left tells the others at once.
 */
const FLEET_PACE_MS = 160;

/**
 * Longest pause between this router's own reads of the endpoints, in ms, well
 * within the time for which the store keeps their records.
 */
const MAX_ENDPOINTS_PACE_MS = 24_000;

/** Part of a pause that is random, so that routers do not read together. */
const PACE_JITTER = 0.4;

/** First pause after which routers that started together have listed, in ms. */
const ROUTERS_FIRST_MS = 1_200;

/** Pause before an announcement is tried again, in ms. */
const ANNOUNCE_RETRY_MS = 1_000;

/** How long the record's removal may take at the end, in ms. */
const WITHDRAW_LIMIT_MS = 500;

/** The followers. */
export interface Followers {
  /** Whether the endpoints' feed can be read. */
  isStoreKnown(): boolean;
  /** Whether the tables' feed can be read. */
  areTablesKnown(): boolean;
  /** Takes this router off the list. */
  withdraw(): Promise<void>;
}

/** The contract under which the followers are registered. */
export const FOLLOWERS = core.contract<Followers>('followers', [
  'isStoreKnown',
  'areTablesKnown',
  'withdraw',
]);

/** One task for each feed, and one that announces this router. */
export class FeedFollowers implements Followers, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly keeper: keepers.EndpointsKeeper;
  private readonly tables: follower.Follower<unknown>;
  private readonly endpoints: follower.Follower<unknown>;
  private readonly all: ReadonlyArray<follower.Follower<unknown>>;
  private isRoutersRead = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.keeper = new keepers.EndpointsKeeper(kernel);
    const source = kernel.find(feeds.FEEDS);
    const tables = new follower.Follower(kernel, {
      name: 'tables',
      feed: source.tables,
      keeper: new keepers.TablesKeeper(kernel),
      waitMs: TABLES_WAIT_MS,
      pauseMs: () => 0,
      isWhole: true,
    });
    this.tables = tables;
    this.endpoints = new follower.Follower(kernel, {
      name: 'endpoints',
      feed: source.endpoints,
      keeper: this.keeper,
      waitMs: 0,
      pauseMs: () => this.endpointsPaceMs(),
    });
    const routers = new follower.Follower(kernel, {
      name: 'routers',
      feed: source.routers,
      keeper: new keepers.RoutersKeeper(kernel),
      waitMs: 0,
      pauseMs: () => this.routersPaceMs(),
    });
    this.all = [tables, this.endpoints, routers];
  }

  start(): Promise<void> {
    this.tasks.spawn('announce', signal => this.announce(signal));
    for (const each of this.all) {
      this.tasks.spawn('feed', signal => each.run(signal));
    }
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  isStoreKnown(): boolean {
    return this.endpoints.isCurrent;
  }

  areTablesKnown(): boolean {
    return this.tables.isCurrent;
  }

  async withdraw(): Promise<void> {
    const limit = AbortSignal.timeout(WITHDRAW_LIMIT_MS);
    const self = this.kernel.find(fleetBook.FLEET_BOOK).self();
    await this.kernel.find(feeds.FEEDS).withdraw(self, limit);
  }

  /** The more routers read, the less often each has to. */
  private endpointsPaceMs(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const routers = fleet.live(nowMs).length + 1;
    const sharedMs = Math.min(MAX_ENDPOINTS_PACE_MS, FLEET_PACE_MS * routers);
    const paceMs = Math.max(this.own.endpointsPaceMs, sharedMs);
    const {settlesInMs} = this.keeper;
    if (settlesInMs !== undefined) return Math.min(paceMs, settlesInMs);
    const jitter = this.kernel.find(core.RANDOM).next() - 0.5;
    return paceMs * (1 + PACE_JITTER * jitter);
  }

  private routersPaceMs(): number {
    const paceMs = this.isRoutersRead ? ROUTERS_PACE_MS : ROUTERS_FIRST_MS;
    this.isRoutersRead = true;
    return paceMs;
  }

  private async announce(signal: AbortSignal): Promise<void> {
    const self = this.kernel.find(fleetBook.FLEET_BOOK).self();
    while (!signal.aborted) {
      const isListed = await this.kernel
        .find(feeds.FEEDS)
        .announce(self, signal);
      if (isListed) return;
      await this.kernel.find(core.CLOCK).sleep(ANNOUNCE_RETRY_MS, signal);
    }
  }
}
