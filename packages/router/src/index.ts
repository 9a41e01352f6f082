/** The router: its settings, services and wiring. */
export * as adminApi from './admin.js';
export * from './digest.js';
export * from './exchange.js';
export * from './run.js';
export * as settings from './settings.js';
export * from './wire.js';
