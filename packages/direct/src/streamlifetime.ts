/** How long after its beginning a caller can take up a stream. */
import type * as core from '@oleanderrock/core';
import * as activeTables from './activetables.js';
import type * as model from './model.js';

/**
 * How long a stream can be taken up after its beginning, as a multiple of the
 * route's time-out: the first try of its caller, and two more. The margin is for
 * routers that hear late of a new version or of the end of an old one, in ms.
 */
const TRIES = 3;
const LIFETIME_MARGIN_MS = 5_000;

/** The same while the tables are not known, in ms. */
const DEFAULT_LIFETIME_MS = 60_000;

/** How long a stream of any route can be taken up, in ms. */
export function streamLifetimeMs(tables: model.Tables | undefined): number {
  if (!tables) return DEFAULT_LIFETIME_MS;
  const timeoutsMs = tables.routes
    .filter(({repeat}) => repeat === 'stream')
    .map(({timeoutMs}) => timeoutMs);
  return Math.max(0, ...timeoutsMs) * TRIES + LIFETIME_MARGIN_MS;
}

/** The same by the tables in force. */
export function currentStreamLifetimeMs(kernel: core.Kernel): number {
  return streamLifetimeMs(kernel.find(activeTables.ACTIVE_TABLES).current());
}
