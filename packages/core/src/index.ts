/** Words, schemas and services that every package shares. */
export * from './clock.js';
export * from './commandline.js';
export * from './errors.js';
export * from './hash.js';
export * as headers from './headers.js';
export * from './ids.js';
export * from './instances.js';
export * from './issues.js';
export * from './kernel.js';
export * from './logger.js';
export * from './mailbox.js';
export * from './metrics.js';
export * from './random.js';
export * from './records.js';
export * from './replies.js';
export * from './settings.js';
export * from './tables.js';
export * from './tasks.js';
