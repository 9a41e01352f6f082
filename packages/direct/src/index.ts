/**
 * Services of a router that sends requests directly to endpoints, and the types
 * they exchange.
 */
export * from './routedrequest.js';
export * from './attempt.js';
export * from './catchup.js';
export * from './checkedwait.js';
export * as endpointNotices from './endpointnotices.js';
export * from './endpointselector.js';
export * from './connections.js';
export * from './datagrams.js';
export * from './decisions.js';
export * from './wireprotocol.js';
export * from './auxiliarylisteners.js';
export * from './dispatcher.js';
export * from './endpointregistry.js';
export * as callerListener from './callerlistener.js';
export * from './eventsplitter.js';
export * from './feeds.js';
export * from './fleetregistry.js';
export * from './follower.js';
export * from './feedfollowers.js';
export * from './gossip.js';
export * from './homerecovery.js';
export * from './feedhandlers.js';
export * from './runstate.js';
export * from './liveness.js';
export * from './model.js';
export * from './recorder.js';
export * as run from './run.js';
export * as settings from './settings.js';
export * as routerState from './routerstate.js';
export * from './sendpermits.js';
export * from './crashkeyhomes.js';
export * as crashNotes from './crashnotes.js';
export * as permitMessage from './permitmessage.js';
export * from './statesource.js';
export * as tablesUpdate from './tablesupdate.js';
export * from './activetables.js';
export * from './requestwatch.js';
export * from './waitingroom.js';
