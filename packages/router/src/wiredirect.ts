/** Wires a router that sends straight to endpoints, on the users' platform. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';

/** How long a condemned request is refused, in ms: callers' resends end. */
const QUARANTINE_MS = 30_000;

/** How long a request that ran at a crash stays a suspect, in ms. */
const SUSPECT_MS = 20_000;

/** Digests that a router sends in a second at most, for the control budget. */
const MAX_DIGESTS_PER_SECOND = 60;

const MAX_SEED = 2 ** 31;

/** Where log lines go. */
export const LOG_OUTPUT = new core.BatchedOutput();

function registerDecisions(
  kernel: core.Kernel,
  own: direct.settings.Settings,
): void {
  const random = kernel.find(core.RANDOM);
  kernel.register(direct.ENDPOINT_HEALTH, new decide.DecayingHealth());
  kernel.register(direct.FLEET_LOAD, new decide.ToldFleetLoad());
  kernel.register(direct.HOMES, new decide.ToldPrefixHomes());
  kernel.register(
    direct.DIGEST_ROUNDS,
    new decide.NearFirstRounds({maxPerSecond: MAX_DIGESTS_PER_SECOND}),
  );
  kernel.register(direct.PLACEMENT, new decide.PrefixPlacement({random}));
  kernel.register(direct.CONTEXT_COPIES, new decide.QuickCopies());
  kernel.register(
    direct.RETRY_BUDGET,
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
      condemnedMs: QUARANTINE_MS,
    }),
  );
}

function registerState(
  kernel: core.Kernel,
  {name, address, zone}: direct.settings.Settings,
): void {
  const self = {name, address, zone};
  kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
  kernel.register(
    direct.ENDPOINT_REGISTRY,
    new direct.InMemoryEndpointRegistry(kernel),
  );
  kernel.register(
    direct.FLEET_REGISTRY,
    new direct.InMemoryFleetRegistry(kernel, self),
  );
  kernel.register(direct.LIFE, new direct.RouterRunState(kernel));
}

/** Registers all services; listeners start last and stop first. */
export function wireDirect(own: direct.settings.Settings): core.Kernel {
  const kernel = new core.Kernel();
  const log = new core.ConsolaLogger(
    own.logLevel,
    {router: own.name},
    LOG_OUTPUT,
  );
  const seed = Math.floor(Math.random() * MAX_SEED);
  kernel.register(core.LOGGER, log);
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(core.RANDOM, new core.SeededRandom(seed));
  const metrics = new core.ProcessMetrics({withRuntime: false});
  kernel.register(core.METRICS, metrics);
  kernel.register(core.HEAP, new core.GrowthHeapKeeper(kernel));
  registerDecisions(kernel, own);
  registerState(kernel, own);
  const {storeAddress} = own;
  kernel.register(direct.FEEDS, new platform.StoreFeeds({storeAddress, log}));
  kernel.register(direct.WIRE_PROTOCOL, new platform.PlatformProtocol());
  kernel.register(direct.CONNECTION_POOL, new direct.AgentConnectionPool());
  kernel.register(direct.LIVENESS, new direct.TcpLiveness(kernel));
  kernel.register(direct.REQUEST_WATCH, new direct.SilenceWatch(kernel));
  kernel.register(direct.ATTEMPT_SENDER, new direct.HttpAttemptSender(kernel));
  kernel.register(
    direct.ENDPOINT_SELECTOR,
    new direct.PlacementEndpointSelector(kernel),
  );
  kernel.register(direct.DISPATCHER, new direct.EndpointDispatcher(kernel));
  kernel.register(
    direct.REQUEST_RECORDER,
    new direct.LoggingRequestRecorder(kernel),
  );
  kernel.register(
    direct.FEED_FOLLOWERS,
    new direct.StoreFeedFollowers(kernel, own),
  );
  kernel.register(direct.CATCH_UP, new direct.StateCatchUp(kernel, own));
  kernel.register(direct.GOSSIP, new direct.UdpGossip(kernel, own));
  kernel.register(direct.HOME_RECOVERY, new direct.HomeRecovery(kernel, own));
  kernel.register(
    direct.PEER_STATE_LISTENER,
    new direct.PeerStateListener(kernel, own),
  );
  kernel.register(
    direct.callerListener.CALLER_LISTENER,
    new direct.callerListener.HttpCallerListener(kernel, own),
  );
  kernel.register(
    direct.ADDRESS_LISTENER,
    new direct.AddressListener(kernel, own),
  );
  kernel.register(
    direct.READINESS_LISTENER,
    new direct.ReadinessListener(kernel, own),
  );
  return kernel;
}
