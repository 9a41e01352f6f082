/**
 * The one module that wires the router's parts: which class stands behind
 * which name, and in which order they start.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as admin from './admin.js';
import * as claims from './claims.js';
import * as configuration from './configuration.js';
import * as connections from './connections.js';
import * as control from './control.js';
import * as drain from './drain.js';
import * as entry from './entry.js';
import * as fleet from './fleet.js';
import * as gate from './gate.js';
import * as handover from './handover.js';
import * as memory from './memory.js';
import * as meters from './meters.js';
import * as once from './once.js';
import * as passer from './passer.js';
import * as peerCalls from './peercalls.js';
import * as peers from './peers.js';
import * as peerServer from './peerserver.js';
import * as places from './places.js';
import * as platform from './platform.js';
import * as pools from './pools.js';
import * as probes from './probes.js';
import * as rooms from './rooms.js';
import * as runner from './runner.js';
import * as settings from './settings.js';
import * as spread from './spread.js';
import * as status from './status.js';
import * as suspects from './suspects.js';
import * as trails from './trails.js';
import * as usage from './usage.js';
import * as walk from './walk.js';

/** How long a router's counts are believed without a new digest. */
const COUNTS_STALE_MS = 5_000;
const DOWN_NOTE_MS = 10_000;
/** Share of a pool's load that may have ended since the last digests. */
const LOAD_MARGIN = 0.1;
const MAX_NEIGHBOURS = 24;
const MAX_CUSTOMERS = 2_000;

/** Wires a router that is ready to start. */
export function wire(own: settings.Settings): core.Kernel {
  const kernel = new core.Kernel();
  wireBasics(kernel, own);
  if (own.strategy === 'naive') wireNaiveDecisions(kernel, own);
  else wireDecisions(kernel, own);
  wireBooks(kernel, own);
  wireServices(kernel, own);
  wireListeners(kernel, own);
  return kernel;
}

function wireBasics(kernel: core.Kernel, own: settings.Settings): void {
  const log = new core.ConsolaLogger(own.logLevel, {router: own.name});
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(core.RANDOM, new core.SeededRandom(core.hash32(own.name)));
  kernel.register(core.LOGGER, log);
  kernel.register(core.METRICS, new core.ProcessMetrics());
  kernel.register(settings.SETTINGS_SERVICE, {get: () => own});
  const meter = new control.PromControlMeter(kernel);
  kernel.register(control.CONTROL_METER, meter);
  const outside = new platform.HttpPlatform({url: own.platformUrl, meter});
  kernel.register(platform.INSTANCE_SOURCE, outside);
  kernel.register(platform.LOG_CLIENT, outside);
  kernel.register(connections.CONNECTIONS, new connections.KeptConnections());
  kernel.register(meters.METERS, new meters.PromMeters(kernel));
}

/** The chosen decisions. */
function wireDecisions(kernel: core.Kernel, own: settings.Settings): void {
  const chats = new decide.LruChatMemory({maxChats: own.maxChats});
  kernel.register(memory.MEMORY, chats);
  kernel.register(
    pools.PLACEMENT,
    new decide.RendezvousPlacement({memory: chats}),
  );
  kernel.register(fleet.OWNERSHIP, new decide.RendezvousOwnership());
  kernel.register(
    fleet.ROSTER,
    new decide.LingeringRoster({lingerMs: own.listLingerMs}),
  );
  kernel.register(
    places.ADMISSION,
    new decide.BoundedAdmission({margin: LOAD_MARGIN}),
  );
  kernel.register(
    pools.LOADS,
    new decide.CountedLoadBook({staleMs: COUNTS_STALE_MS}),
  );
  kernel.register(
    fleet.EJECTION,
    new meters.MeteredEjection(
      kernel,
      new decide.ObservedEjection({settleMs: own.settleMs}),
    ),
  );
  kernel.register(
    walk.RETRY,
    new decide.BudgetedRetry({random: kernel.find(core.RANDOM)}),
  );
  kernel.register(suspects.SUSPECTS, new decide.SignatureSuspectBook());
  kernel.register(
    rooms.ROOMS,
    new rooms.QueuedRooms(
      kernel,
      own,
      pool => new decide.FairQueue({maxQueued: pool.max_queued}),
    ),
  );
}

/** The baseline: each router alone, on its own counts and the reports. */
function wireNaiveDecisions(kernel: core.Kernel, own: settings.Settings): void {
  const chats = new decide.LruChatMemory({maxChats: 1});
  kernel.register(memory.MEMORY, chats);
  kernel.register(pools.PLACEMENT, new decide.NaivePlacement());
  kernel.register(
    fleet.OWNERSHIP,
    new decide.LocalOwnership({router: own.name}),
  );
  kernel.register(fleet.ROSTER, new decide.NaiveRoster());
  kernel.register(places.ADMISSION, new decide.NaiveAdmission());
  kernel.register(pools.LOADS, new decide.NaiveLoadBook());
  kernel.register(fleet.EJECTION, new decide.NaiveEjection());
  kernel.register(walk.RETRY, new decide.NaiveRetry());
  kernel.register(suspects.SUSPECTS, new decide.NaiveSuspectBook());
  kernel.register(
    rooms.ROOMS,
    new rooms.QueuedRooms(
      kernel,
      own,
      pool => new decide.FifoQueue({maxQueued: pool.max_queued}),
    ),
  );
}

function wireBooks(kernel: core.Kernel, own: settings.Settings): void {
  kernel.register(
    fleet.MEMBERSHIP,
    new decide.ObservedMembership({
      timeoutMs: own.peerTimeoutMs,
      noteMs: DOWN_NOTE_MS,
    }),
  );
  kernel.register(
    peers.NEIGHBOURS,
    new decide.BoundedNeighbours({limit: MAX_NEIGHBOURS}),
  );
  kernel.register(configuration.CONFIG_BOOK, new decide.LogConfigBook());
  kernel.register(suspects.SUSPECT_NOTES, new suspects.RepeatedNotes(kernel));
  kernel.register(
    usage.USAGE,
    new usage.BookedUsage(
      kernel,
      new decide.MinuteUsageBook({maxCustomers: MAX_CUSTOMERS}),
    ),
  );
  kernel.register(
    trails.TRAILS,
    new trails.BoundedTrails(kernel, {
      router: own.name,
      maxRequests: own.maxTraces,
    }),
  );
}

function wireServices(kernel: core.Kernel, own: settings.Settings): void {
  kernel.register(drain.DRAIN, new drain.CountedDrain(kernel));
  kernel.register(fleet.FLEET, new fleet.ListedFleet(kernel, own));
  kernel.register(places.PLACES, new places.OwnedPlaces(kernel));
  kernel.register(pools.POOLS, new pools.ListedPools(kernel));
  kernel.register(
    peerCalls.PEER_CALLS,
    new peerCalls.TrpcPeerCalls(kernel, own),
  );
  kernel.register(
    configuration.CONFIGURATION,
    new configuration.LogConfiguration(kernel, own),
  );
  kernel.register(claims.CLAIMS, new claims.LogClaims(kernel, own));
  kernel.register(probes.PROBES, new probes.LoadProbes(kernel, own));
  kernel.register(runner.RUNNER, new runner.HttpRunner(kernel));
  kernel.register(passer.PASSER, new passer.HttpPasser(kernel, own));
  kernel.register(walk.WALK, new walk.RoomWalk(kernel));
  kernel.register(spread.SPREAD, new spread.OwnerSpread(kernel));
  kernel.register(once.ONCE, new once.ClaimedOnce(kernel));
  kernel.register(gate.GATE, new gate.ServiceGate(kernel));
  kernel.register(status.STATUS, new status.OwnStatus(kernel));
}

function wireListeners(kernel: core.Kernel, own: settings.Settings): void {
  kernel.register(
    peerServer.PEER_SERVER,
    new peerServer.HttpPeerServer(kernel, own),
  );
  kernel.register(peers.PEERS, new peers.DigestPeers(kernel, own));
  kernel.register(handover.HAND_OVER, new handover.OwnerHandOver(kernel));
  kernel.register(admin.ADMIN, new admin.HttpAdmin(kernel, own));
  kernel.register(entry.ENTRY, new entry.HttpEntry(kernel, own));
}
