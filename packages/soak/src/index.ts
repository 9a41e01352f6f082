/** Soak test: real routers under random faults, with checks of guarantees. */
export * from './faults.js';
export * from './plan.js';
export * from './guarantees.js';
export * from './proxy.js';
export * from './soak.js';
export * from './traffic.js';
export * from './environment.js';
