/** A router's run: start, serve, drain, stop. */
import * as core from '@oleanderrock/core';
import * as admin from './admin.js';
import * as drain from './drain.js';
import * as entry from './entry.js';
import * as handover from './handover.js';
import * as peers from './peers.js';
import * as peerServer from './peerserver.js';
import type * as settings from './settings.js';

/** How long digests need to tell the other routers of a drain. */
const FAREWELL_MS = 300;

/** Starts all services and says on which ports they listen. */
export async function start(kernel: core.Kernel): Promise<void> {
  await kernel.start();
  kernel.find(core.LOGGER).info('listening', {
    entry_port: kernel.find(entry.ENTRY).port(),
    peer_port: kernel.find(peerServer.PEER_SERVER).port(),
    admin_port: kernel.find(admin.ADMIN).port(),
  });
}

/**
 * Stops gracefully: the others take over, callers are asked to leave and have
 * the time to do so, the memory is handed over, requests in flight end; then
 * all services stop.
 */
export async function drainAndStop(
  kernel: core.Kernel,
  own: settings.Settings,
): Promise<void> {
  const log = kernel.find(core.LOGGER);
  const state = kernel.find(drain.DRAIN);
  state.begin();
  log.info('draining', {in_flight: state.inFlight()});
  kernel.find(peers.PEERS).announce('state');
  await kernel.find(core.CLOCK).sleep(FAREWELL_MS);
  kernel.find(entry.ENTRY).retire();
  // Callers come for as long as they keep an answer of `where`.
  const callersLeft = kernel.find(core.CLOCK).sleep(own.whereKeepMs);
  await kernel.find(handover.HAND_OVER).handAllOver();
  await callersLeft;
  await kernel.find(entry.ENTRY).drain(own.drainTimeoutMs);
  const isIdle = await state.idle(own.drainTimeoutMs);
  log.info('stopping', {in_flight: isIdle ? 0 : state.inFlight()});
  await kernel.stop();
}
