/**
 * The end of a request that no endpoint answered: what the caller is told of it,
 * and when it is to come back if the request did not run.
 */
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import * as dispatchProgress from './dispatchprogress.js';
import * as endpointNotices from './endpointnotices.js';
import type * as routedRequest from './routedrequest.js';
import type * as waitingRoom from './waitingroom.js';

/** The failure of a request that may not wait, or waited in vain. */
export function waitFailure(
  pool: string,
  reason: waitingRoom.RefusalReason,
): core.Failure {
  const detail = `no endpoint of ${pool} has room: ${reason}`;
  return {kind: reason === 'expired' ? 'wait_timeout' : 'queue_full', detail};
}

/** Concludes a request without an answer of an endpoint to pass on. */
export function conclude(
  kernel: core.Kernel,
  {request, delivery, progress}: dispatchProgress.Dispatch,
): routedRequest.RequestOutcome {
  const {lastFailure} = progress;
  const summary = dispatchProgress.summaryOf(progress);
  if (delivery.hasBegun) {
    delivery.abort();
    return {type: 'failed', failure: lastFailure, ...summary};
  }
  const status = delivery.deliverLastFailure();
  if (status !== undefined) {
    // Logged instead of an endpoint's id, since the response may come from an
    // earlier send than the last.
    return {type: 'answered', status, endpoint: 'kept', ...summary};
  }
  const isNotRun = core.ERROR_RESPONSES[lastFailure.kind].ran === 'no';
  if (!isNotRun) return {type: 'failed', failure: lastFailure, ...summary};
  const failure: core.Failure = progress.runs.isKnownNotRun
    ? refusal(kernel, request, progress)
    : {kind: 'endpoint_broke', detail: lastFailure.detail};
  return {type: 'failed', failure, ...summary};
}

/** A refusal with the time after which an endpoint may take the request. */
function refusal(
  kernel: core.Kernel,
  {pool, deadlineMs}: routedRequest.RoutedRequest,
  {lastFailure, expectedRoomMs, version}: dispatchProgress.DispatchProgress,
): core.Failure {
  if (lastFailure.retryAfterMs !== undefined) return lastFailure;
  const notBeforeMs = endpointNotices.holdOffMs(kernel, pool, version);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const retryAfterMs = kernel.find(decisions.RETURN_TIMES).retryAfterMs({
    expectedMs: expectedRoomMs,
    notBeforeMs,
    remainingMs: deadlineMs - nowMs,
  });
  if (endpointNotices.isEvacuated(kernel, pool)) {
    const detail = `all failure domains of ${pool} are evacuated`;
    return {...lastFailure, detail, retryAfterMs};
  }
  if (lastFailure.kind !== 'pool_empty' || notBeforeMs === undefined) {
    return {...lastFailure, retryAfterMs};
  }
  const detail = `all endpoints of ${pool} asked to be sent nothing for now`;
  return {kind: 'saturated', detail, retryAfterMs};
}
