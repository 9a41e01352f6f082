/**
 * Decides whether the head of a response belongs to a request, before anything
 * in it is believed. An earlier request of the connection may have left bytes on
 * it, so only the request's id ties a response to it, that of a refusal too.
 */
import type * as wireProtocol from './wireprotocol.js';

/** Lowest status that can be passed on; those below it end no request. */
const MIN_STATUS = 200;

/** A head that was received for a request. */
export interface ReceivedHead {
  readonly status: number;
  readonly head: wireProtocol.EndpointResponseHead;
}

/** Returns why the head is not a valid one for the request, if it is not. */
export function rejectionOf(
  {status, head}: ReceivedHead,
  requestId: string,
): string | undefined {
  if (status < MIN_STATUS) return `the response has the status ${status}`;
  const isSuccess = status < 300;
  if (head.isNotRun && isSuccess) {
    return 'the response is a success that states it did not run the request';
  }
  // Nothing ties a response to a request without an id.
  if (requestId === '' || head.requestId !== requestId) {
    return `the response carries the id ${head.requestId ?? 'none'} and the status ${status}`;
  }
  if (isSuccess && !head.isSealed) return 'the response has no seal';
  return undefined;
}
