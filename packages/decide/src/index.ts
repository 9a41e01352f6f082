/**
 * Decision logic of a router: strategy interfaces and their implementations,
 * independent of HTTP, message encoding and timers.
 */
export * from './admission.js';
export * from './budget.js';
export * from './heldbytes.js';
export * from './claims.js';
export * from './config.js';
export * from './connectionseats.js';
export * from './contextcopies.js';
export * from './crashevidence.js';
export * from './crashkeys.js';
export * from './crashtracker.js';
export * from './edits.js';
export * from './ejection.js';
export * from './feedreaders.js';
export * from './fleetload.js';
export * from './fleetmembership.js';
export * from './load.js';
export * from './memory.js';
export * from './membership.js';
export * from './neighbours.js';
export * from './endpointhealth.js';
export * from './endpointlimits.js';
export * from './endpointnotices.js';
export * from './ownership.js';
export * from './permitgranter.js';
export * from './placement.js';
export * from './prefixhomes.js';
export * from './prefixplacement.js';
export * from './queue.js';
export * from './requestruns.js';
export * from './retry.js';
export * from './roster.js';
export * from './rounds.js';
export * from './rumors.js';
export * from './startestimates.js';
export * from './poolretrybudget.js';
export * from './suspects.js';
export * from './trackedrequests.js';
export * from './usage.js';
