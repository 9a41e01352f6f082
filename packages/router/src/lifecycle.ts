/** Lifecycle of a router: start, and graceful shutdown. */
import * as core from '@oleanderrock/core';
import * as admin from './admin.js';
import * as drain from './drain.js';
import * as entryListener from './entrylistener.js';
import * as handover from './handover.js';
import * as digestExchange from './digestexchange.js';
import * as peerServer from './peerserver.js';
import type * as settings from './settings.js';

/** Time for digests to announce the drain to the other routers. */
const DRAIN_NOTICE_MS = 300;

/** Starts all services and logs the ports on which they listen. */
export async function start(kernel: core.Kernel): Promise<void> {
  await kernel.start();
  kernel.find(core.LOGGER).info('listening', {
    entry_port: kernel.find(entryListener.ENTRY_LISTENER).port(),
    peer_port: kernel.find(peerServer.PEER_SERVER).port(),
    admin_port: kernel.find(admin.ADMIN).port(),
  });
}

/**
 * Shuts down gracefully: announces the drain so that other routers take over,
 * closes callers' connections after their next answer, hands over the chat
 * memory, leaves callers time to reconnect elsewhere, waits for the requests in
 * flight, and then stops all services.
 */
export async function drainAndStop(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): Promise<void> {
  const log = kernel.find(core.LOGGER);
  const drainState = kernel.find(drain.DRAIN);
  drainState.begin();
  log.info('draining', {in_flight: drainState.inFlight()});
  kernel.find(digestExchange.DIGEST_EXCHANGE).announce('state');
  await kernel.find(core.CLOCK).sleep(DRAIN_NOTICE_MS);
  kernel.find(entryListener.ENTRY_LISTENER).disableKeepAlive();
  // Callers use this router until their cached answer of /where expires.
  const whereExpired = kernel
    .find(core.CLOCK)
    .sleep(routerSettings.whereKeepMs);
  await kernel.find(handover.HAND_OVER).handOverAll();
  await whereExpired;
  await kernel
    .find(entryListener.ENTRY_LISTENER)
    .drain(routerSettings.drainTimeoutMs);
  const isIdle = await drainState.waitUntilIdle(routerSettings.drainTimeoutMs);
  log.info('stopping', {in_flight: isIdle ? 0 : drainState.inFlight()});
  await kernel.stop();
}
