/** Names under which the decisions about endpoints are registered. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** The contract under which the endpoints' health is registered. */
export const HEALTH = core.contract<decide.EndpointHealth>('endpoint-health', [
  'succeeded',
  'failed',
  'unreachable',
  'learn',
  'own',
  'usable',
  'isReachable',
  'forget',
]);

/** The contract under which the fleet's load is registered. */
export const LOAD = core.contract<decide.FleetLoad>('fleet-load', [
  'began',
  'ended',
  'learn',
  'forget',
  'inFlight',
  'own',
]);

/** The contract under which the placement is registered. */
export const PLACEMENT = core.contract<decide.SpotPlacement>('spot-placement', [
  'choose',
]);

/** The contract under which the copies of context are registered. */
export const COPIES = core.contract<decide.ContextCopies>('context-copies', [
  'source',
]);

/** The contract under which the budget of repeats is registered. */
export const REPEATS = core.contract<decide.RepeatBudget>('repeat-budget', [
  'sent',
  'spend',
]);

/** The contract under which the suspects are registered. */
export const SUSPECTS = core.contract<decide.SuspectBook>('suspect-book', [
  'check',
  'began',
  'ended',
  'abandoned',
  'crashed',
  'learn',
  'changes',
]);

/** The contract under which the rounds of digests are registered. */
export const ROUNDS = core.contract<decide.DigestRounds>('digest-rounds', [
  'next',
]);

/** The contract under which the homes of prefixes are registered. */
export const HOMES = core.contract<decide.PrefixHomes>('prefix-homes', [
  'placed',
  'learn',
  'of',
  'all',
  'untold',
  'forget',
]);
