/** The soak: real routers under random faults, and checks of what they promise. */
export * from './faults.js';
export * from './plan.js';
export * from './promises.js';
export * from './proxy.js';
export * from './soak.js';
export * from './traffic.js';
export * from './world.js';
