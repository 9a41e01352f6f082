/** Kernel contracts of the decision services for endpoints. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** The contract under which the health of endpoints is registered. */
export const ENDPOINT_HEALTH = core.contract<decide.EndpointHealth>(
  'endpoint-health',
  [
    'succeeded',
    'failed',
    'unreachable',
    'learn',
    'own',
    'usable',
    'isReachable',
    'forget',
  ],
);

/**
 * The contract under which the load of endpoints over the fleet is registered.
 */
export const FLEET_LOAD = core.contract<decide.FleetLoad>('fleet-load', [
  'began',
  'ended',
  'learn',
  'forget',
  'inFlight',
  'own',
]);

/** The contract under which the placement strategy is registered. */
export const PLACEMENT = core.contract<decide.SpotPlacement>('spot-placement', [
  'choose',
]);

/** The contract under which the strategy of context copies is registered. */
export const CONTEXT_COPIES = core.contract<decide.ContextCopies>(
  'context-copies',
  ['source'],
);

/** The contract under which the retry budget is registered. */
export const RETRY_BUDGET = core.contract<decide.RepeatBudget>('retry-budget', [
  'sent',
  'spend',
]);

/**
 * The contract under which the tracking of suspect requests is registered:
 * requests that may have crashed an endpoint.
 */
export const SUSPECTS = core.contract<decide.SuspectBook>('suspect-book', [
  'check',
  'began',
  'ended',
  'abandoned',
  'crashed',
  'learn',
  'changes',
]);

/** The contract under which the strategy of digest rounds is registered. */
export const DIGEST_ROUNDS = core.contract<decide.DigestRounds>(
  'digest-rounds',
  ['next'],
);

/**
 * The contract under which the homes of prompt prefixes are registered: the
 * endpoints that cache them.
 */
export const HOMES = core.contract<decide.PrefixHomes>('prefix-homes', [
  'placed',
  'learn',
  'of',
  'all',
  'untold',
  'forget',
]);
