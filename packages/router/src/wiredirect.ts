/**
 * Registers the services of a router that sends requests directly to endpoints,
 * with the adapter of the users' platform.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';

/** Routers of each failure domain that read the store for the others. */
const READERS_PER_ZONE = 1;

/** Unit of a router's first epoch, in ms. */
const EPOCH_UNIT_MS = 1_000;

/**
 * Maximum number of digests that a router sends in a second, to stay within the
 * budget of control traffic.
 */
const MAX_DIGESTS_PER_SECOND = 60;

/** Maximum number and bytes of the requests that wait for one pool. */
const MAX_WAITING_REQUESTS = 128;
const MAX_WAITING_BYTES = 8 * 1_024 * 1_024;

/** Part of the bytes to be held whose release triggers a collection. */
const COLLECTED_PART = 0.2;

const MAX_SEED = 2 ** 31;

/** Destination of log lines. */
export const LOG_OUTPUT = new core.BatchedOutput();

function registerDecisions(
  kernel: core.Kernel,
  routerSettings: direct.settings.Settings,
): void {
  const random = kernel.find(core.RANDOM);
  kernel.register(
    direct.ENDPOINT_HEALTH,
    new decide.DecayingHealth({
      routerCount: () => kernel.find(direct.FLEET_REGISTRY).liveCount(),
      random,
    }),
  );
  kernel.register(direct.ENDPOINT_NOTICES, new decide.RecentEndpointNotices());
  kernel.register(direct.ENDPOINT_ROOM, new decide.BackedOffRoom());
  kernel.register(
    direct.ENDPOINT_LIMITS,
    new decide.NewestEndpointLimits({
      onNews: () => kernel.find(direct.GOSSIP).sendSoon(),
    }),
  );
  kernel.register(
    direct.COLD_ENDPOINTS,
    new decide.WarmingEndpoints({
      onNews: () => kernel.find(direct.GOSSIP).sendSoon(),
    }),
  );
  kernel.register(direct.COLD_STARTS, new direct.PooledColdStarts(kernel));
  kernel.register(direct.PERMIT_GRANTER, new decide.PacedPermitGranter());
  kernel.register(direct.PREFIX_HOMES, new decide.SharedPrefixHomes());
  kernel.register(
    direct.DIGEST_ROUNDS,
    new decide.SampledRounds({maxPerSecond: MAX_DIGESTS_PER_SECOND, random}),
  );
  kernel.register(
    direct.FEED_READERS,
    new decide.RankedFeedReaders({perZone: READERS_PER_ZONE}),
  );
  kernel.register(direct.WAIT_POLICY, new decide.TimelyWaitPolicy());
  kernel.register(direct.RETURN_TIMES, new decide.SpreadReturnTimes(random));
  kernel.register(
    direct.SECOND_SENDS,
    new decide.UnusualTimeSecondSends(
      () => kernel.find(direct.START_ESTIMATES).isOn,
    ),
  );
  registerCost(kernel, routerSettings);
  kernel.register(direct.CONTEXT_COPIES, new decide.FastCopyPolicy());
  kernel.register(
    direct.RETRY_BUDGET,
    // Getters, since these settings may change while the router runs.
    new decide.SlidingPoolRetryBudget({
      get ratio() {
        return routerSettings.retryRatio;
      },
      get slack() {
        return routerSettings.retrySlack;
      },
      get windowMs() {
        return routerSettings.retryWindowS * 1_000;
      },
    }),
  );
}

/** What requests cost, and the placement by it. */
function registerCost(
  kernel: core.Kernel,
  {placement}: direct.settings.Settings,
): void {
  const random = kernel.find(core.RANDOM);
  const load = new decide.SummedFleetLoad();
  const workLeft = new decide.AgingWorkLeft();
  const learned = new decide.LearnedStartEstimates({load, workLeft});
  const isAlwaysOn = placement === 'cost';
  const estimates =
    placement === 'counts'
      ? new decide.UnknownStartEstimates()
      : new decide.OnDemandStartEstimates({learned, isAlwaysOn});
  kernel.register(direct.FLEET_LOAD, load);
  kernel.register(direct.WORK_LEFT, workLeft);
  kernel.register(direct.START_ESTIMATES, estimates);
  kernel.register(direct.WORK_OBSERVER, estimates);
  const byCounts = new decide.PrefixPlacement({random});
  const byCost = new decide.CostPlacement({
    estimates,
    fallback: byCounts,
    random,
  });
  kernel.register(direct.PLACEMENT, placement === 'counts' ? byCounts : byCost);
  kernel.register(
    direct.START_RECORDER,
    new direct.MeasuringStartRecorder(kernel),
  );
}

function registerState(
  kernel: core.Kernel,
  {name, address, zone}: direct.settings.Settings,
): void {
  const self = {name, address, zone};
  const wallClockMs = kernel.find(core.CLOCK).wallClockMs();
  kernel.register(
    direct.MEMBERSHIP,
    new decide.PingMembership({
      self,
      firstEpoch: Math.floor(wallClockMs / EPOCH_UNIT_MS),
      hash: core.hash32,
    }),
  );
  kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
  kernel.register(
    direct.ENDPOINT_REGISTRY,
    new direct.InMemoryEndpointRegistry(kernel),
  );
  kernel.register(
    direct.FLEET_REGISTRY,
    new direct.InMemoryFleetRegistry(kernel, self),
  );
  registerVersions(kernel);
  kernel.register(
    direct.EVACUATED_ZONES,
    new direct.LoggedEvacuatedZones(kernel, new decide.NewestEvacuations()),
  );
  kernel.register(
    direct.EVACUATION_METRICS,
    new direct.EvacuationMetrics(kernel),
  );
  kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
}

/** What is known of the versions of endpoints and of streams. */
function registerVersions(kernel: core.Kernel): void {
  kernel.register(
    direct.VERSION_HISTORY,
    new decide.CountedVersionHistory({
      startedMs: kernel.find(core.CLOCK).nowMs(),
      streamLifetimeMs: () => direct.currentStreamLifetimeMs(kernel),
      onChange: () => {
        kernel.find(direct.VERSION_RECORDS).updateSoon();
        kernel.find(direct.STREAM_HOMES).tellSoon();
      },
    }),
  );
  kernel.register(direct.STREAM_ORIGINS, new decide.RecentStreamOrigins());
}

/** Finds what requests that crash endpoints have in common. */
function registerCrashTracker(
  kernel: core.Kernel,
  {name}: direct.settings.Settings,
): void {
  const log = kernel.find(core.LOGGER);
  kernel.register(
    direct.CRASH_TRACKER,
    new decide.EvidenceCrashTracker({
      self: name,
      isProber: key => direct.isProber(kernel, key),
      onNews: () => kernel.find(direct.GOSSIP).sendSoon(),
      onChange: ({key, is, crashes}) =>
        log.warn('crash_key', {key, is, crashes: crashes.join()}),
    }),
  );
}

function createWaitingRoom(kernel: core.Kernel): direct.PoolWaitingRoom {
  return new direct.PoolWaitingRoom(kernel, {
    createList: <T extends decide.WaitingRequest>() =>
      new decide.FairWaitingList<T>({
        maxRequests: MAX_WAITING_REQUESTS,
        maxBytes: MAX_WAITING_BYTES,
      }),
    createRate: () => new decide.DecayingRoomRate(),
  });
}

/** The services through which a request passes. */
function registerRequestPath(kernel: core.Kernel): void {
  kernel.register(direct.WIRE_PROTOCOL, new platform.PlatformProtocol());
  kernel.register(direct.CONNECTION_POOL, new direct.AgentConnectionPool());
  kernel.register(direct.LIVENESS, new direct.TcpLiveness(kernel));
  kernel.register(direct.REQUEST_WATCH, new direct.SilenceWatch(kernel));
  kernel.register(direct.ATTEMPT_SENDER, new direct.HttpAttemptSender(kernel));
  kernel.register(
    direct.ENDPOINT_SELECTOR,
    new direct.PlacementEndpointSelector(kernel),
  );
  kernel.register(direct.WAITING_ROOM, createWaitingRoom(kernel));
  kernel.register(direct.DISPATCHER, new direct.EndpointDispatcher(kernel));
  kernel.register(
    direct.REQUEST_RECORDER,
    new direct.LoggingRequestRecorder(kernel),
  );
  kernel.register(
    direct.STREAM_RECORDER,
    new direct.LoggingStreamRecorder(kernel),
  );
}

/** The services that exchange state with the store and other routers. */
function registerFleet(
  kernel: core.Kernel,
  routerSettings: direct.settings.Settings,
): void {
  kernel.register(
    direct.FEED_FOLLOWERS,
    new direct.StoreFeedFollowers(kernel, routerSettings),
  );
  kernel.register(
    direct.STATE_SOURCE,
    new direct.HttpStateSource(routerSettings),
  );
  kernel.register(direct.CATCH_UP, new direct.FleetCatchUp(kernel));
  kernel.register(
    direct.DATAGRAMS,
    new direct.UdpDatagrams(kernel, routerSettings),
  );
  kernel.register(
    direct.GOSSIP,
    new direct.DigestGossip(kernel, routerSettings),
  );
  kernel.register(direct.STREAM_HOMES, new direct.DatagramStreamHomes(kernel));
  kernel.register(
    direct.STREAM_VERSIONS,
    new direct.SharedStreamVersions(kernel),
  );
  kernel.register(
    direct.VERSION_RECORDS,
    new direct.StoredVersionRecords(kernel, routerSettings),
  );
  kernel.register(direct.SEND_PERMITS, new direct.HomeSendPermits(kernel));
  kernel.register(
    direct.CRASH_KEY_HOMES,
    new direct.RendezvousCrashKeyHomes(kernel),
  );
  kernel.register(
    direct.HOME_RECOVERY,
    new direct.HomeRecovery(kernel, routerSettings),
  );
}

function registerListeners(
  kernel: core.Kernel,
  routerSettings: direct.settings.Settings,
): void {
  kernel.register(
    direct.PEER_STATE_LISTENER,
    new direct.PeerStateListener(kernel, routerSettings),
  );
  kernel.register(
    direct.callerListener.CALLER_LISTENER,
    new direct.callerListener.HttpCallerListener(kernel, routerSettings),
  );
  kernel.register(
    direct.ADDRESS_LISTENER,
    new direct.AddressListener(kernel, routerSettings),
  );
  kernel.register(
    direct.READINESS_LISTENER,
    new direct.ReadinessListener(kernel, routerSettings),
  );
}

/**
 * Registers all services in start order: listeners start last and stop first.
 */
export function wireDirect(
  routerSettings: direct.settings.Settings,
): core.Kernel {
  const kernel = new core.Kernel();
  const log = new core.ConsolaLogger(
    routerSettings.logLevel,
    {router: routerSettings.name, build: core.BUILD_ID},
    LOG_OUTPUT,
  );
  const seed = Math.floor(Math.random() * MAX_SEED);
  kernel.register(core.LOGGER, log);
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(core.RANDOM, new core.SeededRandom(seed));
  const metrics = new core.ProcessMetrics({withRuntime: false});
  kernel.register(core.METRICS, metrics);
  const collectedBytes = direct.heldLimitBytes(routerSettings) * COLLECTED_PART;
  kernel.register(
    core.HEAP_COLLECTOR,
    new core.GrowthHeapCollector(kernel, collectedBytes),
  );
  kernel.register(direct.EVENT_LOOP_DELAY, new direct.EventLoopDelay(kernel));
  kernel.register(core.READ_PACER, new direct.BudgetedReadPacer(kernel));
  kernel.register(
    direct.CALLER_BOUNDS,
    new direct.BudgetedCallerBounds(kernel, routerSettings),
  );
  registerDecisions(kernel, routerSettings);
  registerState(kernel, routerSettings);
  registerCrashTracker(kernel, routerSettings);
  const {storeAddress} = routerSettings;
  kernel.register(direct.FEEDS, new platform.StoreFeeds({storeAddress, log}));
  registerRequestPath(kernel);
  registerFleet(kernel, routerSettings);
  registerListeners(kernel, routerSettings);
  return kernel;
}
