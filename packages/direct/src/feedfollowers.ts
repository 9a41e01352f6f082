/**
 * The followers of the store's feeds, and the publication of this router's
 * record.
 */
import * as core from '@oleanderrock/core';
import * as feeds from './feeds.js';
import * as fleetRegistry from './fleetregistry.js';
import * as follower from './follower.js';
import * as feedHandlers from './feedhandlers.js';
import type * as settings from './settings.js';

/**
 * How long a read of the tables waits at the store, in ms, within the store's
 * limit of 30 s. If the connection goes silent meanwhile, the next failed read
 * of the endpoints closes it.
 */
const TABLES_LONG_POLL_MS = 28_000;

/**
 * Interval between reads of the list of routers, in ms; digests report new
 * routers sooner.
 */
const ROUTERS_READ_INTERVAL_MS = 60_000;

/**
 * Mean interval between reads of the endpoints by any router of the fleet, in
 * ms. A router that reads a change announces it to the others at once.
 */
const FLEET_READ_INTERVAL_MS = 160;

/**
 * Longest interval between this router's own reads of the endpoints, in ms;
 * well within the time for which the store keeps their records.
 */
const MAX_ENDPOINTS_READ_INTERVAL_MS = 24_000;

/**
 * Fraction of an interval that is random, so that routers do not read
 * simultaneously.
 */
const INTERVAL_JITTER = 0.4;

/**
 * First interval between reads of the list of routers, in ms; by then, routers
 * that started together have published their records.
 */
const FIRST_ROUTERS_READ_INTERVAL_MS = 1_200;

/** Delay before publishing this router's record is retried, in ms. */
const ANNOUNCE_RETRY_DELAY_MS = 1_000;

/** Time-out of withdrawing this router's record at shutdown, in ms. */
const WITHDRAW_TIMEOUT_MS = 500;

/** The followers of the store's feeds. */
export interface FeedFollowers {
  /** Whether the endpoints' feed is being read successfully. */
  isEndpointsFeedCurrent(): boolean;
  /** Whether the tables' feed is being read successfully. */
  isTablesFeedCurrent(): boolean;
  /** Withdraws this router's record. */
  withdraw(): Promise<void>;
}

/** The contract under which the followers are registered. */
export const FEED_FOLLOWERS = core.contract<FeedFollowers>('feed-followers', [
  'isEndpointsFeedCurrent',
  'isTablesFeedCurrent',
  'withdraw',
]);

/** Runs one task for each feed, and one that publishes this router's record. */
export class StoreFeedFollowers implements FeedFollowers, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly endpointsHandler: feedHandlers.EndpointsHandler;
  private readonly tablesFollower: follower.Follower<unknown>;
  private readonly endpointsFollower: follower.Follower<unknown>;
  private readonly followers: ReadonlyArray<follower.Follower<unknown>>;
  private hasReadRouters = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.endpointsHandler = new feedHandlers.EndpointsHandler(kernel);
    const feedSource = kernel.find(feeds.FEEDS);
    const tablesFollower = new follower.Follower(kernel, {
      name: 'tables',
      feed: feedSource.tables,
      handler: new feedHandlers.TablesHandler(kernel),
      waitMs: TABLES_LONG_POLL_MS,
      pauseMs: () => 0,
      isFullState: true,
    });
    this.tablesFollower = tablesFollower;
    this.endpointsFollower = new follower.Follower(kernel, {
      name: 'endpoints',
      feed: feedSource.endpoints,
      handler: this.endpointsHandler,
      waitMs: 0,
      pauseMs: () => this.endpointsIntervalMs(),
    });
    const routersFollower = new follower.Follower(kernel, {
      name: 'routers',
      feed: feedSource.routers,
      handler: new feedHandlers.RoutersHandler(kernel),
      waitMs: 0,
      pauseMs: () => this.routersIntervalMs(),
    });
    this.followers = [tablesFollower, this.endpointsFollower, routersFollower];
  }

  start(): Promise<void> {
    this.tasks.spawn('announce', signal => this.announce(signal));
    for (const feedFollower of this.followers) {
      this.tasks.spawn('feed', signal => feedFollower.run(signal));
    }
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  isEndpointsFeedCurrent(): boolean {
    return this.endpointsFollower.isCurrent;
  }

  isTablesFeedCurrent(): boolean {
    return this.tablesFollower.isCurrent;
  }

  async withdraw(): Promise<void> {
    const timeout = AbortSignal.timeout(WITHDRAW_TIMEOUT_MS);
    const ownRouter = this.kernel.find(fleetRegistry.FLEET_REGISTRY).self();
    await this.kernel.find(feeds.FEEDS).withdraw(ownRouter, timeout);
  }

  /**
   * Pause before the next read of the endpoints, in ms; it grows with the
   * number of routers that read.
   */
  private endpointsIntervalMs(): number {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const routerCount = fleet.livePeers(nowMs).length + 1;
    const fleetIntervalMs = Math.min(
      MAX_ENDPOINTS_READ_INTERVAL_MS,
      FLEET_READ_INTERVAL_MS * routerCount,
    );
    const intervalMs = Math.max(
      this.routerSettings.endpointsPaceMs,
      fleetIntervalMs,
    );
    const {graceRemainingMs} = this.endpointsHandler;
    if (graceRemainingMs !== undefined) {
      return Math.min(intervalMs, graceRemainingMs);
    }
    const jitter = this.kernel.find(core.RANDOM).nextFloat() - 0.5;
    return intervalMs * (1 + INTERVAL_JITTER * jitter);
  }

  private routersIntervalMs(): number {
    const intervalMs = this.hasReadRouters
      ? ROUTERS_READ_INTERVAL_MS
      : FIRST_ROUTERS_READ_INTERVAL_MS;
    this.hasReadRouters = true;
    return intervalMs;
  }

  private async announce(signal: AbortSignal): Promise<void> {
    const ownRouter = this.kernel.find(fleetRegistry.FLEET_REGISTRY).self();
    while (!signal.aborted) {
      const isListed = await this.kernel
        .find(feeds.FEEDS)
        .announce(ownRouter, signal);
      if (isListed) return;
      await this.kernel.find(core.CLOCK).sleep(ANNOUNCE_RETRY_DELAY_MS, signal);
    }
  }
}
