/** Starts and gracefully stops a router. */
import * as core from '@oleanderrock/core';
import * as callerListener from './callerlistener.js';
import * as feedFollowers from './feedfollowers.js';
import * as gossip from './gossip.js';
import * as runState from './runstate.js';
import type * as settings from './settings.js';

/**
 * Fraction of the grace time during which new requests are still accepted. A
 * request accepted later might not end within the grace time.
 */
const ACCEPT_FRACTION = 0.35;

/**
 * Fraction of the grace time after which the process stops even with requests
 * in flight.
 */
const DRAIN_FRACTION = 0.93;

/**
 * Time-out of stopping the services, in ms; the process ends even if it is
 * exceeded.
 */
const STOP_TIMEOUT_MS = 300;

/** Interval between checks of whether the last request has ended, in ms. */
const POLL_INTERVAL_MS = 50;

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
 * Shuts down gracefully: announces the shutdown to other routers and to
 * callers, accepts requests for as long as callers may still use this address,
 * and waits for the requests in flight.
 */
export async function shutDown(
  kernel: core.Kernel,
  routerSettings: settings.Settings,
): Promise<void> {
  const clock = kernel.find(core.CLOCK);
  const log = kernel.find(core.LOGGER);
  const ownState = kernel.find(runState.RUN_STATE);
  const startMs = clock.nowMs();
  ownState.beginShutdown();
  log.info('leaving', {in_flight: ownState.inFlight()});
  kernel.find(gossip.GOSSIP).sendSoon();
  kernel.find(callerListener.CALLER_LISTENER).disableKeepAlive();
  core.detach(log, 'withdraw', () =>
    kernel.find(feedFollowers.FEED_FOLLOWERS).withdraw(),
  );
  const graceMs = routerSettings.graceS * 1_000;
  await clock.sleep(graceMs * ACCEPT_FRACTION);
  ownState.stopAccepting();
  core.detach(log, 'drain', () =>
    kernel.find(callerListener.CALLER_LISTENER).drain(graceMs),
  );
  while (
    ownState.inFlight() > 0 &&
    clock.nowMs() - startMs < graceMs * DRAIN_FRACTION
  ) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
  log.info('stopping', {in_flight: ownState.inFlight()});
  // The end of the process would look like the end of responses in progress.
  kernel.find(callerListener.CALLER_LISTENER).closeConnections();
  await Promise.race([kernel.stop(), clock.sleep(STOP_TIMEOUT_MS)]);
}
