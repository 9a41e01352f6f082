/**
 * Records a crash of an endpoint with the crash tracker, and logs what was
 * running there.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as decisions from './decisions.js';
import type * as model from './model.js';

/** Maximum number of requests and of keys that a log line lists. */
const MAX_LISTED = 12;

/** Records and logs a crash. */
export function record(kernel: core.Kernel, endpoint: model.Endpoint): void {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const report = kernel
    .find(decisions.CRASH_TRACKER)
    .recordCrash(endpoint, nowMs);
  const {crash, candidates, begun, keys} = report;
  if (candidates.length + begun.length === 0) return;
  const inStage = (stage: decide.TrackedRequest['stage']) =>
    list(
      candidates
        .filter(request => request.stage === stage)
        .map(({requestId}) => requestId),
    );
  kernel.find(core.LOGGER).warn('endpoint_crashed', {
    endpoint: endpoint.id,
    born_ms: endpoint.bornMs,
    crash,
    sent: inStage('sent'),
    head: inStage('head'),
    begun: list(begun.map(({requestId}) => requestId)),
    keys: list(keys),
  });
}

function list(items: readonly string[]): string | undefined {
  if (items.length === 0) return undefined;
  const listed = items.slice(0, MAX_LISTED).join();
  const rest = items.length - MAX_LISTED;
  return rest > 0 ? `${listed},+${rest}` : listed;
}
