/** Stand-ins for the platform and for endpoints; a fleet launcher; a client. */
export * from './answers.js';
export * from './caller.js';
export * from './cacheevents.js';
export * from './endpointfaults.js';
export * from './engine.js';
export * from './fleet.js';
export * from './hostedendpoint.js';
export * from './hostedplatform.js';
export * from './log.js';
export * from './httpcall.js';
export * from './platform.js';
export * from './platformfaults.js';
export * from './prefixcache.js';
export * from './processes.js';
export * from './runs.js';
export * from './servers.js';
export * from './topicstore.js';
