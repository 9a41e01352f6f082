/**
 * The followers of the store's feeds. One router of each failure domain reads
 * for the others, which hear of changes in digests and fetch what they lack from
 * other routers. A router without state reads it once if no other router can
 * serve it. The readers list themselves in the store, so that a router that
 * knows no other finds the fleet.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as activeTables from './activetables.js';
import * as checkedWait from './checkedwait.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as feedHandlers from './feedhandlers.js';
import * as feeds from './feeds.js';
import * as fleetRegistry from './fleetregistry.js';
import * as follower from './follower.js';
import type * as settings from './settings.js';

/**
 * How long a read of the tables waits at the store, in ms; short reads check
 * meanwhile that its connection has not gone silent.
 */
const TABLES_LONG_POLL_MS = 20_000;

/**
 * Interval between checks of the readers' waits by any router of the fleet, in
 * ms. The readers take turns, and the one that finds a new version tells the
 * others at once, so that it is in force well within 2 s.
 */
const FLEET_CHECK_INTERVAL_MS = 1_000;

/**
 * Mean interval between reads of the endpoints by any router of the fleet, in
 * ms. A router that reads a change announces it to the others at once.
 */
const FLEET_READ_INTERVAL_MS = 320;

/**
 * Fraction of an interval that is random, so that routers do not read
 * simultaneously.
 */
const INTERVAL_JITTER = 0.4;

/**
 * Time from the start after which a router that has no state of others agrees
 * with them on the readers all the same, in ms.
 */
const ROLES_DELAY_MS = 1_500;

/**
 * Time from the start for which a router without state leaves it to others to
 * serve it, in ms: if it knows none that is ready, if it knows one, and if the
 * whole fleet starts for the first time.
 */
const ALONE_DELAY_MS = 60;
const SERVED_DELAY_MS = 500;
/** The same if it knows others, none of them ready, and is none of their readers. */
const LEFT_TO_READERS_MS = 2_500;
const FIRST_START_DELAY_MS = 4_000;

/** Intervals between checks of whether a feed has to be read, in ms. */
const IDLE_CHECK_INTERVAL_MS = 300;
const STARTING_CHECK_INTERVAL_MS = 20;

/**
 * Intervals between reads of the list of routers, in ms: of a reader, and of a
 * router that knows no other.
 */
const ROUTERS_READ_INTERVAL_MS = 60_000;
const ALONE_READ_INTERVAL_MS = 3_000;

/** Delay before publishing this router's record is retried, in ms. */
const ANNOUNCE_RETRY_DELAY_MS = 1_000;

/** Time-out of withdrawing this router's record at shutdown, in ms. */
const WITHDRAW_TIMEOUT_MS = 500;

/** The followers of the store's feeds. */
export interface FeedFollowers {
  /** Whether this router reads for others, or for itself if it hears of none. */
  isReader(): boolean;
  /** Whether this router reads the tables' feed successfully. */
  isReadingTables(): boolean;
  /** Whether this router has read the endpoints' feed, and still does. */
  isReadingEndpoints(): boolean;
  /** Whether this router's recent reads of the store failed. */
  isStoreLost(): boolean;
  /** Withdraws this router's record. */
  withdraw(): Promise<void>;
}

/** The contract under which the followers are registered. */
export const FEED_FOLLOWERS = core.contract<FeedFollowers>('feed-followers', [
  'isReader',
  'isReadingTables',
  'isReadingEndpoints',
  'isStoreLost',
  'withdraw',
]);

/** Whether this router reads for others, and from what that follows. */
interface ReaderRole {
  readonly live: readonly decide.MemberNote[];
  readonly isStoreLost: boolean;
  readonly isReader: boolean;
  readonly readerCount: number;
}

/** Runs one task for each feed, and one that publishes this router's record. */
export class StoreFeedFollowers implements FeedFollowers, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly startedMs: number;
  private readonly endpointsHandler: feedHandlers.EndpointsHandler;
  private readonly tablesFollower: follower.Follower<unknown>;
  private readonly endpointsFollower: follower.Follower<unknown>;
  private readonly routersFollower: follower.Follower<unknown>;
  private isListed = false;
  private cachedRole: ReaderRole | undefined;
  /** Monotonic time at which the tables last changed, in ms. */
  private tablesSinceMs = 0;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.startedMs = kernel.find(core.CLOCK).nowMs();
    this.endpointsHandler = new feedHandlers.EndpointsHandler(kernel);
    const feedSource = kernel.find(feeds.FEEDS);
    const idleCheckMs = () => this.idleCheckMs();
    const isNeeded = () =>
      this.isReader() || (this.mustRead() && !this.hasTables());
    kernel.find(activeTables.ACTIVE_TABLES).onChange(() => {
      this.tablesSinceMs = this.nowMs();
    });
    this.tablesFollower = new follower.Follower(kernel, {
      name: 'tables',
      feed: new checkedWait.CheckedWaitFeed(kernel, feedSource.operator, {
        nextCheckMs: () => this.nextCheckMs(),
        isNeeded,
      }),
      handler: new feedHandlers.OperatorHandler(kernel),
      waitMs: TABLES_LONG_POLL_MS,
      pauseMs: () => 0,
      hasFewKeys: true,
      isNeeded,
      isUrgent: () => !this.hasTables() && this.role().isReader,
      idleCheckMs,
    });
    this.endpointsFollower = new follower.Follower(kernel, {
      name: 'endpoints',
      feed: feedSource.endpoints,
      handler: this.endpointsHandler,
      waitMs: 0,
      pauseMs: () => this.endpointsIntervalMs(),
      isNeeded: () =>
        this.isReader() ||
        this.endpointsHandler.graceRemainingMs !== undefined ||
        (this.mustRead() && !this.hasEndpoints()),
      isUrgent: () => !this.hasEndpoints() && this.role().isReader,
      idleCheckMs,
      isLostElsewhere: () =>
        this.kernel
          .find(decisions.MEMBERSHIP)
          .live()
          .some(({isStoreLost}) => isStoreLost),
    });
    this.routersFollower = new follower.Follower(kernel, {
      name: 'routers',
      feed: feedSource.routers,
      handler: new feedHandlers.RoutersHandler(kernel),
      waitMs: 0,
      pauseMs: () => this.routersIntervalMs(),
      isNeeded: () => this.isReader(),
      idleCheckMs,
    });
  }

  start(): Promise<void> {
    const followers = [
      this.tablesFollower,
      this.endpointsFollower,
      this.routersFollower,
    ];
    const clock = this.kernel.find(core.CLOCK);
    for (const feedFollower of followers) {
      this.tasks.supervise('feed', clock, signal => feedFollower.run(signal));
    }
    this.tasks.supervise('announce', clock, signal =>
      this.announceIfReader(signal),
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  /**
   * Whether this router reads for others. One that hears of no other router
   * may be cut off from them and reads as well.
   */
  isReader(): boolean {
    if (this.uptimeMs() < ROLES_DELAY_MS && !this.knowsFleet()) return false;
    const membership = this.kernel.find(decisions.MEMBERSHIP);
    if (membership.isIsolated(this.nowMs())) return true;
    return this.role().isReader;
  }

  isReadingTables(): boolean {
    return this.tablesFollower.isCurrent;
  }

  isReadingEndpoints(): boolean {
    // One that begins to read is not lost yet, but may know only old entries.
    const {isCurrent, hasRead} = this.endpointsFollower;
    return isCurrent && hasRead;
  }

  isStoreLost(): boolean {
    return (
      this.tablesFollower.wasLostRecently ||
      this.endpointsFollower.wasLostRecently
    );
  }

  async withdraw(): Promise<void> {
    if (!this.isListed) return;
    const timeout = AbortSignal.timeout(WITHDRAW_TIMEOUT_MS);
    await this.kernel.find(feeds.FEEDS).withdraw(this.fleet.self(), timeout);
  }

  /**
   * Whether this router has the state of another one, its members included. The
   * others count it as a reader from its start, so it must not wait for longer.
   */
  private knowsFleet(): boolean {
    return (
      this.hasTables() &&
      this.hasEndpoints() &&
      this.fleet.livePeers().length > 0
    );
  }

  /** This router's role, computed anew when the members change. */
  private role(): ReaderRole {
    const live = this.kernel.find(decisions.MEMBERSHIP).live();
    const isStoreLost = this.isStoreLost();
    const {cachedRole: cached} = this;
    if (cached?.live === live && cached.isStoreLost === isStoreLost) {
      return cached;
    }
    const readers = this.kernel.find(decisions.FEED_READERS);
    const self = {...this.fleet.self(), isStoreLost};
    const others = live
      .filter(({phase}) => phase !== 'leaving')
      .map(note => ({...note.router, isStoreLost: note.isStoreLost}));
    const isReader = readers.isReader(self, others);
    const readerCount = readers.readerCount([self, ...others]);
    this.cachedRole = {live, isStoreLost, isReader, readerCount};
    return this.cachedRole;
  }

  /** Whether a router without state has to read it itself by now. */
  private mustRead(): boolean {
    const isServed = this.fleet
      .livePeers()
      .some(({note}) => note.phase === 'ready');
    const unservedDelayMs = this.role().isReader
      ? ALONE_DELAY_MS
      : LEFT_TO_READERS_MS;
    const delayMs = this.routerSettings.isFirstStart
      ? FIRST_START_DELAY_MS
      : isServed
        ? SERVED_DELAY_MS
        : unservedDelayMs;
    return this.uptimeMs() >= delayMs;
  }

  private hasTables(): boolean {
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES);
    return tables.version() !== activeTables.NO_VERSION;
  }

  private hasEndpoints(): boolean {
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    return endpoints.nextOffset() > 0;
  }

  private idleCheckMs(): number {
    return this.hasTables() && this.hasEndpoints()
      ? IDLE_CHECK_INTERVAL_MS
      : STARTING_CHECK_INTERVAL_MS;
  }

  /**
   * Pause before the next read of the endpoints, in ms; it grows with the
   * number of routers that read.
   */
  private endpointsIntervalMs(): number {
    const intervalMs = Math.max(
      this.routerSettings.endpointsPaceMs,
      FLEET_READ_INTERVAL_MS * this.role().readerCount,
    );
    const {graceRemainingMs} = this.endpointsHandler;
    if (graceRemainingMs !== undefined) {
      return Math.min(intervalMs, graceRemainingMs);
    }
    const jitter = this.kernel.find(core.RANDOM).nextFloat() - 0.5;
    return intervalMs * (1 + INTERVAL_JITTER * jitter);
  }

  /**
   * Time until this router's turn to check its wait for new tables, in ms. Turns
   * count from the last change of the tables, which all routers receive at about
   * the same time, and follow the order of the failure domains.
   */
  private nextCheckMs(): number {
    const {live} = this.role();
    const ownZone = this.fleet.self().zone;
    const zones = new Set([ownZone, ...live.map(({router}) => router.zone)]);
    const turn = [...zones].sort().indexOf(ownZone) + 1;
    const roundMs = zones.size * FLEET_CHECK_INTERVAL_MS;
    const sinceTurnMs =
      this.nowMs() - this.tablesSinceMs - turn * FLEET_CHECK_INTERVAL_MS;
    return roundMs - positiveModulo(sinceTurnMs, roundMs);
  }

  private routersIntervalMs(): number {
    return this.fleet.livePeers().length > 0
      ? ROUTERS_READ_INTERVAL_MS
      : ALONE_READ_INTERVAL_MS;
  }

  /** Publishes this router's record once it reads for others. */
  private async announceIfReader(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      await clock.sleep(ANNOUNCE_RETRY_DELAY_MS, signal);
      if (signal.aborted || !this.isReader() || this.isStoreLost()) continue;
      this.isListed = await this.kernel
        .find(feeds.FEEDS)
        .announce(this.fleet.self(), signal);
      if (this.isListed) return;
    }
  }

  private get fleet(): fleetRegistry.FleetRegistry {
    return this.kernel.find(fleetRegistry.FLEET_REGISTRY);
  }

  private uptimeMs(): number {
    return this.nowMs() - this.startedMs;
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function positiveModulo(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor;
}
