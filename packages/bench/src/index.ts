/** Modules of the demo and the bench. */
export * as counters from './counters.js';
export * as deployment from './deployment.js';
export * as launcher from './launcher.js';
export * as oracle from './oracle.js';
export * as outcomes from './outcomes.js';
export * as player from './player.js';
export * as skew from './skew.js';
export * as trace from './trace.js';
