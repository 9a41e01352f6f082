/** A router's run: start, serve, leave, stop. */
import * as core from '@oleanderrock/core';
import * as entry from './entry.js';
import * as followers from './followers.js';
import * as gossip from './gossip.js';
import * as lifecycle from './lifecycle.js';
import type * as settings from './settings.js';

/**
 * Part of the grace time for which callers' new requests are still served. One
 * that begins later may not end within the grace time.
 */
const SERVE_SHARE = 0.35;

/** Part of the grace time after which the process ends whatever is left. */
const END_SHARE = 0.93;

/** How long services may take to stop, in ms; the process ends all the same. */
const STOP_LIMIT_MS = 300;

/** Pause between looks for the last request, in ms. */
const LOOK_MS = 50;

/** Starts all services. */
export async function start(kernel: core.Kernel): Promise<void> {
  const log = kernel.find(core.LOGGER);
  await kernel.start();
  log.info('started', {
    services: kernel.names().length,
    start_ms: Math.round(performance.now()),
  });
}

/**
 * Stops gracefully: the others and callers are told, callers that still come
 * are served for as long as they may keep the address, and requests in flight
 * end.
 */
export async function leaveAndStop(
  kernel: core.Kernel,
  own: settings.Settings,
): Promise<void> {
  const clock = kernel.find(core.CLOCK);
  const log = kernel.find(core.LOGGER);
  const life = kernel.find(lifecycle.LIFE);
  const beganMs = clock.nowMs();
  life.leave();
  log.info('leaving', {in_flight: life.inFlight()});
  kernel.find(gossip.GOSSIP).hasten();
  kernel.find(entry.ENTRY).retire();
  void kernel.find(followers.FOLLOWERS).withdraw();
  const graceMs = own.graceS * 1_000;
  await clock.sleep(graceMs * SERVE_SHARE);
  life.close();
  void kernel.find(entry.ENTRY).drain(graceMs);
  while (life.inFlight() > 0 && clock.nowMs() - beganMs < graceMs * END_SHARE) {
    await clock.sleep(LOOK_MS);
  }
  log.info('stopping', {in_flight: life.inFlight()});
  await Promise.race([kernel.stop(), clock.sleep(STOP_LIMIT_MS)]);
}
