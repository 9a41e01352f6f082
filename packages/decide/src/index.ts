/** Decisions: interfaces with their classes, without HTTP, codecs or timers. */
export * from './admission.js';
export * from './budget.js';
export * from './claims.js';
export * from './config.js';
export * from './edits.js';
export * from './ejection.js';
export * from './load.js';
export * from './memory.js';
export * from './membership.js';
export * from './neighbours.js';
export * from './ownership.js';
export * from './placement.js';
export * from './queue.js';
export * from './retry.js';
export * from './roster.js';
export * from './suspects.js';
export * from './usage.js';
