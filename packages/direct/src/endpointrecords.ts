/**
 * Applies endpoint records from any source. When a record ends an endpoint's
 * lifetime, its health, prefix homes and connections are dropped.
 */
import * as core from '@oleanderrock/core';
import * as coldStarts from './coldstarts.js';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as model from './model.js';

/** Source of a record: the store's feed, or another router. */
export type RecordSource = 'feed' | 'router';

/** Applies a record to the registry. */
export function applyRecord(
  kernel: core.Kernel,
  record: endpointRegistry.EndpointRecord,
  source: RecordSource,
): void {
  const endpoints = kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const previous = endpoints.find(record.key);
  const isNewer =
    source === 'feed'
      ? endpoints.applyFeedRecord(record, nowMs)
      : endpoints.applyPeerRecord(record, nowMs);
  if (isNewer) recordVersion(kernel, record, nowMs);
  const warmupLeftMs = record.value?.warmupLeftMs ?? 0;
  if (isNewer && record.value && warmupLeftMs > 0) {
    const starts = kernel.find(coldStarts.COLD_STARTS);
    if (source === 'feed') starts.recordStatement(record.value, warmupLeftMs);
    else starts.recordHearsay(record.value, warmupLeftMs);
  }
  if (!isNewer || !previous) return;
  // An endpoint restarted under the same id has an empty cache and new
  // connections.
  if (record.value && record.value.bornMs === previous.bornMs) return;
  kernel.find(decisions.ENDPOINT_HEALTH).forget(record.key);
  kernel.find(decisions.PREFIX_HOMES).forget(record.key);
  kernel.find(connections.CONNECTION_POOL).remove(record.key);
}

function recordVersion(
  kernel: core.Kernel,
  {key, value}: endpointRegistry.EndpointRecord,
  nowMs: number,
): void {
  const entry = value && {
    pool: value.pool,
    version: model.versionOf(value),
  };
  kernel.find(decisions.VERSION_HISTORY).recordEntry(key, entry, nowMs);
}
