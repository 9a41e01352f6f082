/**
 * Intake of endpoints' records, wherever they come from: the book keeps the newest,
 * and what was known of a lifetime that ended by it is dropped.
 */
import * as core from '@oleanderrock/core';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import * as endpointBook from './endpointbook.js';

/** Where a record comes from. */
export type RecordSource = 'feed' | 'router';

/** Takes a record in. */
export function takeRecord(
  kernel: core.Kernel,
  item: endpointBook.EndpointItem,
  source: RecordSource,
): void {
  const book = kernel.find(endpointBook.ENDPOINT_BOOK);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const before = book.find(item.key);
  const isNewer =
    source === 'feed' ? book.take(item, nowMs) : book.learn(item, nowMs);
  if (!isNewer || !before) return;
  // One that starts again under its id holds nothing of before.
  if (item.value && item.value.bornMs === before.bornMs) return;
  kernel.find(decisions.HEALTH).forget(item.key);
  kernel.find(decisions.HOMES).forget(item.key);
  kernel.find(connections.CONNECTIONS).forget(item.key);
}
