/**
 * Composition root: registers the class behind each service contract, in the
 * order in which the services start.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as admin from './admin.js';
import * as claims from './claims.js';
import * as configuration from './configuration.js';
import * as connections from './connections.js';
import * as controlMeter from './controlmeter.js';
import * as drain from './drain.js';
import * as entryListener from './entrylistener.js';
import * as fleet from './fleet.js';
import * as requestHandler from './requesthandler.js';
import * as handover from './handover.js';
import * as chatMemory from './chatmemory.js';
import * as meters from './meters.js';
import * as atMostOnceCalls from './atmostoncecalls.js';
import * as requestForwarder from './requestforwarder.js';
import * as peerCalls from './peercalls.js';
import * as digestExchange from './digestexchange.js';
import * as peerServer from './peerserver.js';
import * as endpointSlots from './endpointslots.js';
import * as platform from './platform.js';
import * as pools from './pools.js';
import * as probes from './probes.js';
import * as admissionQueues from './admissionqueues.js';
import * as runner from './runner.js';
import * as settings from './settings.js';
import * as repeatableCalls from './repeatablecalls.js';
import * as status from './status.js';
import * as suspects from './suspects.js';
import * as requestTraces from './requesttraces.js';
import * as usage from './usage.js';
import * as endpointFailover from './endpointfailover.js';

/** How long a router's counts stay valid without a new digest. */
const COUNTS_VALIDITY_MS = 5_000;
/** How long digests repeat that a router is down. */
const DOWN_NOTE_LIFETIME_MS = 10_000;
/** Share of a pool's load that may have finished since the last digests. */
const LOAD_MARGIN = 0.1;
const MAX_NEIGHBOURS = 24;
const MAX_TRACKED_CUSTOMERS = 2_000;

/** Creates the kernel of a router with all services registered. */
export function wire(routerSettings: settings.Settings): core.Kernel {
  const kernel = new core.Kernel();
  wirePlatform(kernel, routerSettings);
  if (routerSettings.strategy === 'naive') wireBaseline(kernel, routerSettings);
  else wireStrategies(kernel, routerSettings);
  wireSharedState(kernel, routerSettings);
  wireServices(kernel, routerSettings);
  wireListeners(kernel, routerSettings);
  return kernel;
}

function wirePlatform(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  const log = new core.ConsolaLogger(routerSettings.logLevel, {
    router: routerSettings.name,
    build: core.BUILD_ID,
  });
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(
    core.RANDOM,
    new core.SeededRandom(core.hash32(routerSettings.name)),
  );
  kernel.register(core.LOGGER, log);
  kernel.register(core.METRICS, new core.ProcessMetrics());
  kernel.register(settings.SETTINGS_SERVICE, {get: () => routerSettings});
  const meter = new controlMeter.PromControlMeter(kernel);
  kernel.register(controlMeter.CONTROL_METER, meter);
  const platformClient = new platform.HttpPlatform({
    url: routerSettings.platformUrl,
    meter,
  });
  kernel.register(platform.INSTANCE_SOURCE, platformClient);
  kernel.register(platform.LOG_CLIENT, platformClient);
  kernel.register(
    connections.CONNECTIONS,
    new connections.KeepAliveConnections(),
  );
  kernel.register(meters.METERS, new meters.PromMeters(kernel));
}

/** Registers the production strategies. */
function wireStrategies(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  const memory = new decide.LruChatMemory({maxChats: routerSettings.maxChats});
  kernel.register(chatMemory.CHAT_MEMORY, memory);
  kernel.register(pools.PLACEMENT, new decide.RendezvousPlacement({memory}));
  kernel.register(fleet.OWNERSHIP, new decide.RendezvousOwnership());
  kernel.register(
    fleet.ROSTER,
    new decide.LingeringRoster({lingerMs: routerSettings.listLingerMs}),
  );
  kernel.register(
    endpointSlots.ADMISSION,
    new decide.BoundedAdmission({margin: LOAD_MARGIN}),
  );
  kernel.register(
    pools.LOADS,
    new decide.CombinedLoadTracker({staleMs: COUNTS_VALIDITY_MS}),
  );
  kernel.register(
    fleet.EJECTION,
    new meters.MeteredEjection(
      kernel,
      new decide.ObservedEjection({settleMs: routerSettings.settleMs}),
    ),
  );
  kernel.register(
    endpointFailover.RETRY_POLICY,
    new decide.BudgetedRetry({random: kernel.find(core.RANDOM)}),
  );
  kernel.register(suspects.SUSPECTS, new decide.SignatureSuspectTracker());
  kernel.register(
    admissionQueues.ADMISSION_QUEUES,
    new admissionQueues.PoolAdmissionQueues(
      kernel,
      routerSettings,
      pool => new decide.FairQueue({maxQueued: pool.max_queued}),
    ),
  );
}

/**
 * Registers the baseline for comparisons: each router decides alone, from its
 * own counts and the endpoints' load reports.
 */
function wireBaseline(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  const memory = new decide.LruChatMemory({maxChats: 1});
  kernel.register(chatMemory.CHAT_MEMORY, memory);
  kernel.register(pools.PLACEMENT, new decide.NaivePlacement());
  kernel.register(
    fleet.OWNERSHIP,
    new decide.LocalOwnership({router: routerSettings.name}),
  );
  kernel.register(fleet.ROSTER, new decide.NaiveRoster());
  kernel.register(endpointSlots.ADMISSION, new decide.NaiveAdmission());
  kernel.register(pools.LOADS, new decide.NaiveLoadTracker());
  kernel.register(fleet.EJECTION, new decide.NaiveEjection());
  kernel.register(endpointFailover.RETRY_POLICY, new decide.NaiveRetry());
  kernel.register(suspects.SUSPECTS, new decide.NaiveSuspectTracker());
  kernel.register(
    admissionQueues.ADMISSION_QUEUES,
    new admissionQueues.PoolAdmissionQueues(
      kernel,
      routerSettings,
      pool => new decide.FifoQueue({maxQueued: pool.max_queued}),
    ),
  );
}

function wireSharedState(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  kernel.register(
    fleet.MEMBERSHIP,
    new decide.ObservedMembership({
      timeoutMs: routerSettings.peerTimeoutMs,
      noteLifetimeMs: DOWN_NOTE_LIFETIME_MS,
    }),
  );
  kernel.register(
    digestExchange.NEIGHBOURS,
    new decide.BoundedNeighbours({limit: MAX_NEIGHBOURS}),
  );
  kernel.register(configuration.CONFIG_REPLICA, new decide.LogConfigReplica());
  kernel.register(suspects.SUSPECT_NOTES, new suspects.RepeatedNotes(kernel));
  kernel.register(
    usage.USAGE,
    new usage.LimitedUsage(
      kernel,
      new decide.MinuteUsageTracker({maxCustomers: MAX_TRACKED_CUSTOMERS}),
    ),
  );
  kernel.register(
    requestTraces.REQUEST_TRACES,
    new requestTraces.BoundedRequestTraces(kernel, {
      router: routerSettings.name,
      maxRequests: routerSettings.maxTraces,
    }),
  );
}

function wireServices(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  kernel.register(drain.DRAIN, new drain.CountedDrain(kernel));
  kernel.register(fleet.FLEET, new fleet.PlatformFleet(kernel, routerSettings));
  kernel.register(endpointSlots.SLOTS, new endpointSlots.OwnerSlots(kernel));
  kernel.register(pools.POOLS, new pools.ListedPools(kernel));
  kernel.register(
    peerCalls.PEER_CALLS,
    new peerCalls.TrpcPeerCalls(kernel, routerSettings),
  );
  kernel.register(
    configuration.CONFIGURATION,
    new configuration.LogConfiguration(kernel, routerSettings),
  );
  kernel.register(claims.CLAIMS, new claims.LogClaims(kernel, routerSettings));
  kernel.register(probes.PROBES, new probes.LoadProbes(kernel, routerSettings));
  kernel.register(runner.RUNNER, new runner.HttpRunner(kernel));
  kernel.register(
    requestForwarder.FORWARDER,
    new requestForwarder.HttpForwarder(kernel, routerSettings),
  );
  kernel.register(
    endpointFailover.FAILOVER,
    new endpointFailover.QueuedFailover(kernel),
  );
  kernel.register(
    repeatableCalls.REPEATABLE_CALLS,
    new repeatableCalls.OwnerRepeatableCalls(kernel),
  );
  kernel.register(
    atMostOnceCalls.AT_MOST_ONCE_CALLS,
    new atMostOnceCalls.ClaimedAtMostOnceCalls(kernel),
  );
  kernel.register(
    requestHandler.REQUEST_HANDLER,
    new requestHandler.RoutingRequestHandler(kernel),
  );
  kernel.register(status.STATUS, new status.LocalStatus(kernel));
}

function wireListeners(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): void {
  kernel.register(
    peerServer.PEER_SERVER,
    new peerServer.HttpPeerServer(kernel, routerSettings),
  );
  kernel.register(
    digestExchange.DIGEST_EXCHANGE,
    new digestExchange.UdpDigestExchange(kernel, routerSettings),
  );
  kernel.register(handover.HAND_OVER, new handover.OwnerHandOver(kernel));
  kernel.register(admin.ADMIN, new admin.HttpAdmin(kernel, routerSettings));
  kernel.register(
    entryListener.ENTRY_LISTENER,
    new entryListener.HttpEntryListener(kernel, routerSettings),
  );
}
