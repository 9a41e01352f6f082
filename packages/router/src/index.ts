/** Public API of the router package. */
export * as adminApi from './admin.js';
export * from './digest.js';
export * from './exchange.js';
export * from './lifecycle.js';
export * as settings from './settings.js';
export * from './wire.js';
