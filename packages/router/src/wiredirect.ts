/** Wires a router that sends straight to endpoints, on the users' platform. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';

/** How long a condemned request is refused, in ms: callers' resends end. */
const CONDEMNED_MS = 30_000;

/** How long a request that ran at a crash stays a suspect, in ms. */
const SUSPECT_MS = 20_000;

/** Digests that a router sends in a second at most, for the control budget. */
const MAX_DIGESTS_PER_SECOND = 60;

const MAX_SEED = 2 ** 31;

/** Where log lines go. */
export const OUTPUT = new core.BatchedOutput();

function registerDecisions(
  kernel: core.Kernel,
  own: direct.settings.Settings,
): void {
  const random = kernel.find(core.RANDOM);
  kernel.register(direct.HEALTH, new decide.DecayingHealth());
  kernel.register(direct.LOAD, new decide.ToldFleetLoad());
  kernel.register(direct.HOMES, new decide.ToldPrefixHomes());
  kernel.register(
    direct.ROUNDS,
    new decide.NearFirstRounds({maxPerSecond: MAX_DIGESTS_PER_SECOND}),
  );
  kernel.register(direct.PLACEMENT, new decide.PrefixPlacement({random}));
  kernel.register(direct.COPIES, new decide.QuickCopies());
  kernel.register(
    direct.REPEATS,
    // Read at each use, since these settings may change.
    new decide.SlidingRepeatBudget({
      get ratio() {
        return own.retryRatio;
      },
      get slack() {
        return own.retrySlack;
      },
      get windowMs() {
        return own.retryWindowS * 1_000;
      },
    }),
  );
  kernel.register(
    direct.SUSPECTS,
    new decide.SignatureSuspectBook({
      suspectMs: SUSPECT_MS,
      condemnedMs: CONDEMNED_MS,
    }),
  );
}

function registerBooks(
  kernel: core.Kernel,
  {name, address, zone}: direct.settings.Settings,
): void {
  const self = {name, address, zone};
  kernel.register(direct.TABLES_BOOK, new direct.IndexedTablesBook(kernel));
  kernel.register(direct.ENDPOINT_BOOK, new direct.ListedEndpoints(kernel));
  kernel.register(direct.FLEET_BOOK, new direct.HeardFleet(kernel, self));
  kernel.register(direct.LIFE, new direct.RouterLife(kernel));
}

/** Registers all services; listeners start last and stop first. */
export function wireDirect(own: direct.settings.Settings): core.Kernel {
  const kernel = new core.Kernel();
  const log = new core.ConsolaLogger(own.logLevel, {router: own.name}, OUTPUT);
  const seed = Math.floor(Math.random() * MAX_SEED);
  kernel.register(core.LOGGER, log);
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(core.RANDOM, new core.SeededRandom(seed));
  const metrics = new core.ProcessMetrics({withRuntime: false});
  kernel.register(core.METRICS, metrics);
  kernel.register(core.HEAP, new core.GrowthHeapKeeper(kernel));
  registerDecisions(kernel, own);
  registerBooks(kernel, own);
  const {storeAddress} = own;
  kernel.register(direct.FEEDS, new platform.StoreFeeds({storeAddress, log}));
  kernel.register(direct.DIALECT, new platform.PlatformDialect());
  kernel.register(direct.CONNECTIONS, new direct.EndpointConnections());
  kernel.register(direct.LIVENESS, new direct.ConnectLiveness(kernel));
  kernel.register(direct.WATCH, new direct.SilenceWatch(kernel));
  kernel.register(direct.ATTEMPTS, new direct.HttpAttempts(kernel));
  kernel.register(direct.CHOOSER, new direct.EndpointChooser(kernel));
  kernel.register(direct.DISPATCHER, new direct.EndpointDispatcher(kernel));
  kernel.register(direct.RECORDER, new direct.MetricsRecorder(kernel));
  kernel.register(direct.FOLLOWERS, new direct.FeedFollowers(kernel, own));
  kernel.register(direct.CATCH_UP, new direct.StateCatchUp(kernel, own));
  kernel.register(direct.GOSSIP, new direct.UdpGossip(kernel, own));
  kernel.register(direct.HOME_RECOVERY, new direct.HomeRecovery(kernel, own));
  kernel.register(direct.PEER_STATE, new direct.PeerState(kernel, own));
  kernel.register(direct.entry.ENTRY, new direct.entry.HttpEntry(kernel, own));
  kernel.register(direct.DIRECTORY, new direct.Directory(kernel, own));
  kernel.register(direct.READINESS, new direct.Readiness(kernel, own));
  return kernel;
}
