/** The commands of `oleanderctl` and their client of the routers. */
export * from './client.js';
export * from './results.js';
export * as options from './options.js';
export * from './program.js';
