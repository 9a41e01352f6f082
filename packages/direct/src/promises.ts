/**
 * Promises to callers that a request did not run and will not run, which callers
 * act on by sending it again.
 */
import * as core from '@oleanderrock/core';
import type * as routedRequest from './routedrequest.js';

/** Statuses by which callers are promised that a request did not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Whether the status of a response promises that the request did not run. */
export function isPromise(status: number): boolean {
  return NOT_RUN_STATUSES.includes(status);
}

/** A request that no response of an endpoint answers. */
type FailedOutcome = routedRequest.RequestOutcome & {readonly type: 'failed'};

/** Whether the failure promises "not run" of a request that may have run. */
export function isUnfounded({failure, runs}: FailedOutcome): boolean {
  const isPromise = core.ERROR_RESPONSES[failure.kind].ran === 'no';
  return isPromise && runs !== undefined && !runs.isKnownNotRun;
}
