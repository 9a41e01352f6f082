/** The operator's commands, and the client that they use. */
export * from './client.js';
export * from './exits.js';
export * as options from './options.js';
export * from './program.js';
