/**
 * Intake of endpoints' records, whoever brings them: the book keeps the newest,
 * and what was known of a lifetime that ended by it is dropped.
 */
import * as core from '@oleanderrock/core';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import * as endpointBook from './endpointbook.js';

/** Who brings a record: the feed, or another router. */
export type Bringer = 'feed' | 'router';

/** Takes a record in. */
export function takeRecord(
  kernel: core.Kernel,
  item: endpointBook.EndpointItem,
  bringer: Bringer,
): void {
  const book = kernel.find(endpointBook.ENDPOINT_BOOK);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const before = book.find(item.key);
  const isNewer =
    bringer === 'feed' ? book.take(item, nowMs) : book.learn(item, nowMs);
  if (!isNewer || !before) return;
  // One that starts again under its id holds nothing of before.
  if (item.value && item.value.bornMs === before.bornMs) return;
  kernel.find(decisions.HEALTH).forget(item.key);
  kernel.find(decisions.HOMES).forget(item.key);
  kernel.find(connections.CONNECTIONS).forget(item.key);
}
