/** Kernel contracts of the decision services for endpoints. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** The contract under which the health of endpoints is registered. */
export const ENDPOINT_HEALTH = core.contract<decide.EndpointHealth>(
  'endpoint-health',
  [
    'recordSuccess',
    'recordFailure',
    'recordUnreachable',
    'applyRemote',
    'localCounts',
    'takeFailures',
    'applyFailure',
    'filterUsable',
    'isReachable',
    'areAnyReturning',
    'isReturning',
    'forget',
  ],
);

/**
 * The contract under which the notices of endpoints are registered: what they
 * announced about themselves in responses.
 */
export const ENDPOINT_NOTICES = core.contract<decide.EndpointNotices>(
  'endpoint-notices',
  ['recordLeaving', 'recordHoldOff', 'isWilling', 'earliestWillingMs'],
);

/**
 * The contract under which the limits are registered that endpoints name for
 * all routers together.
 */
export const ENDPOINT_LIMITS = core.contract<decide.EndpointLimits>(
  'endpoint-limits',
  ['recordResponse', 'applyNote', 'limitOf', 'takeNews', 'all'],
);

/** The contract under which it is registered which endpoints are cold. */
export const COLD_ENDPOINTS = core.contract<decide.ColdEndpoints>(
  'cold-endpoints',
  ['recordCold', 'applyNote', 'areAny', 'leftMs', 'takeNews', 'all'],
);

/** The contract under which the granter of send permits is registered. */
export const PERMIT_GRANTER = core.contract<decide.PermitGranter>(
  'permit-granter',
  ['decide'],
);

/**
 * The contract under which the load of endpoints over the fleet is registered.
 */
export const FLEET_LOAD = core.contract<decide.FleetLoad>('fleet-load', [
  'recordStart',
  'recordEnd',
  'applyRemote',
  'recordReport',
  'applyReport',
  'recentReports',
  'forget',
  'inFlight',
  'isExact',
  'localCounts',
]);

/**
 * The contract under which the estimates are registered of when endpoints can
 * answer.
 */
export const START_ESTIMATES = core.contract<decide.StartEstimates>(
  'start-estimates',
  ['estimate'],
);

/**
 * The contract under which the observer is registered that learns the estimates
 * from what endpoints do.
 */
export const WORK_OBSERVER = core.contract<decide.WorkObserver>(
  'work-observer',
  ['recordSend', 'recordFirstEvent', 'recordEnd', 'recordLoad'],
);

/** The contract under which the work left at endpoints is registered. */
export const WORK_LEFT = core.contract<decide.WorkLeft>('work-left', [
  'recordStart',
  'recordDone',
  'applyRemote',
  'remainingMs',
  'localWork',
]);

/** The contract under which the placement strategy is registered. */
export const PLACEMENT = core.contract<decide.DirectPlacement>(
  'direct-placement',
  ['choose'],
);

/** The contract under which the strategy of context copies is registered. */
export const CONTEXT_COPIES = core.contract<decide.ContextCopyPolicy>(
  'context-copies',
  ['chooseSource'],
);

/** The contract under which the retry budget is registered. */
export const RETRY_BUDGET = core.contract<decide.PoolRetryBudget>(
  'retry-budget',
  ['recordFirstSend', 'trySpend', 'canSpend'],
);

/**
 * The contract under which the knowledge is registered of which endpoints are
 * full.
 */
export const ENDPOINT_ROOM = core.contract<decide.EndpointRoom>(
  'endpoint-room',
  ['recordRefusal', 'recordAccepted', 'isFull', 'earliestRoomMs'],
);

/** The contract under which the policy of waiting is registered. */
export const WAIT_POLICY = core.contract<decide.WaitPolicy>('wait-policy', [
  'decide',
]);

/** The contract under which the times of return are registered. */
export const RETURN_TIMES = core.contract<decide.ReturnTimes>('return-times', [
  'retryAfterMs',
]);

/** The contract under which the decision on second sends is registered. */
export const SECOND_SENDS = core.contract<decide.SecondSends>('second-sends', [
  'recordSend',
  'recordAnswer',
  'delayMs',
  'trySpend',
]);

/**
 * The contract under which the crash tracker is registered: it finds what
 * requests that crash endpoints have in common.
 */
export const CRASH_TRACKER = core.contract<decide.CrashTracker>(
  'crash-tracker',
  [
    'admit',
    'endpointsToAvoid',
    'recordStart',
    'recordHead',
    'recordBegun',
    'recordEnd',
    'recordCrash',
    'applyCrash',
    'applyReported',
    'applyProof',
    'takeNews',
    'condemnations',
  ],
);

/** The contract under which the strategy of digest rounds is registered. */
export const DIGEST_ROUNDS = core.contract<decide.DigestRounds>(
  'digest-rounds',
  ['nextRound', 'urgentReceivers'],
);

/** The contract under which the membership of the fleet is registered. */
export const MEMBERSHIP = core.contract<decide.FleetMembership>('membership', [
  'self',
  'updateSelf',
  'applyNote',
  'recordHeard',
  'recordPing',
  'checkPings',
  'find',
  'live',
  'down',
  'suspects',
  'isIsolated',
  'fingerprint',
]);

/** The contract under which the choice of the store's readers is registered. */
export const FEED_READERS = core.contract<decide.FeedReaders>('feed-readers', [
  'isReader',
  'readerCount',
]);

/**
 * The contract under which the homes of prompt prefixes are registered: the
 * endpoints that cache them.
 */
export const PREFIX_HOMES = core.contract<decide.PrefixHomes>('prefix-homes', [
  'recordPlacement',
  'applyRemote',
  'homesOf',
  'all',
  'takeUnsent',
  'forget',
]);

/**
 * The contract under which the history is registered of the versions of
 * endpoints' software.
 */
export const VERSION_HISTORY = core.contract<decide.VersionHistory>(
  'version-history',
  [
    'recordEntry',
    'addEarlier',
    'recordFirstStart',
    'poolHistory',
    'onlyVersion',
    'pools',
  ],
);

/** The contract under which it is registered at which versions streams began. */
export const STREAM_ORIGINS = core.contract<decide.StreamOrigins>(
  'stream-origins',
  ['record', 'recordTold', 'versionOf', 'takeUntold'],
);
