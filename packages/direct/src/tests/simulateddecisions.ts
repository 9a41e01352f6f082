/** Test support: the product's decisions, for a router of a simulated fleet. */
import type * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';

/** How long streams can be taken up, in ms. */
const STREAM_LIFETIME_MS = 30_000;

/** Options of the decisions of one router. */
export interface SimulatedDecisionsOptions {
  readonly name: string;
  readonly random: core.Random;
  /** Creates what keeps the evacuations, the product's own by default. */
  readonly createEvacuations?: () => decide.Evacuations;
  /** Creates what keeps the cold endpoints, likewise. */
  readonly createColdEndpoints?: () => decide.ColdEndpoints;
}

/** Registers the history of versions; nobody is told of changes. */
export function registerVersionHistory(kernel: core.Kernel): void {
  kernel.register(
    direct.VERSION_HISTORY,
    new decide.CountedVersionHistory({
      startedMs: 0,
      streamLifetimeMs: () => STREAM_LIFETIME_MS,
      onChange: () => undefined,
    }),
  );
}

/** Registers the decisions of a router. */
export function registerDecisions(
  kernel: core.Kernel,
  {
    name,
    random,
    createEvacuations,
    createColdEndpoints,
  }: SimulatedDecisionsOptions,
): void {
  kernel.register(
    direct.ENDPOINT_HEALTH,
    new decide.DecayingHealth({
      routerCount: () => kernel.find(direct.FLEET_REGISTRY).liveCount(),
      random,
    }),
  );
  kernel.register(direct.ENDPOINT_ROOM, new decide.BackedOffRoom());
  kernel.register(direct.ENDPOINT_NOTICES, new decide.RecentEndpointNotices());
  kernel.register(
    direct.ENDPOINT_LIMITS,
    new decide.NewestEndpointLimits({
      onNews: () => kernel.find(direct.GOSSIP).sendSoon(),
    }),
  );
  const onNews = () => kernel.find(direct.GOSSIP).sendSoon();
  const coldEndpoints =
    createColdEndpoints?.() ?? new decide.WarmingEndpoints({onNews});
  kernel.register(direct.COLD_ENDPOINTS, coldEndpoints);
  kernel.register(direct.COLD_STARTS, new direct.PooledColdStarts(kernel));
  kernel.register(direct.PERMIT_GRANTER, new decide.PacedPermitGranter());
  kernel.register(direct.FLEET_LOAD, new decide.SummedFleetLoad());
  kernel.register(direct.WORK_LEFT, new decide.AgingWorkLeft());
  kernel.register(direct.PREFIX_HOMES, new decide.SharedPrefixHomes());
  kernel.register(
    direct.DIGEST_ROUNDS,
    new decide.SampledRounds({maxPerSecond: 60, random}),
  );
  kernel.register(
    direct.FEED_READERS,
    new decide.RankedFeedReaders({perZone: 1}),
  );
  kernel.register(
    direct.CRASH_TRACKER,
    new decide.EvidenceCrashTracker({
      self: name,
      isProber: key => direct.isProber(kernel, key),
      onNews: () => kernel.find(direct.GOSSIP).sendSoon(),
    }),
  );
  registerVersionHistory(kernel);
  const evacuations = createEvacuations?.() ?? new decide.NewestEvacuations();
  kernel.register(
    direct.EVACUATED_ZONES,
    new direct.LoggedEvacuatedZones(kernel, evacuations),
  );
}
