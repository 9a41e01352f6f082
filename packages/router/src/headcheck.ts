/** Checks that the head of an answer belongs to the request it is read for. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** The request whose answer is checked. */
export interface CheckedRequest {
  readonly method: string;
  /** Empty where the request has no id. */
  readonly requestId: string;
}

/** Whether the request has an id and the answer carries none. */
function lacksRequestId(
  response: http.IncomingMessage,
  {requestId}: CheckedRequest,
): boolean {
  if (requestId === '') return false;
  return response.headers[core.headers.REQUEST_ID] === undefined;
}

/** Why the head cannot be accepted for this request; undefined if it can. */
function findFault(
  response: http.IncomingMessage,
  request: CheckedRequest,
  isReused: boolean,
): string | undefined {
  const status = response.statusCode ?? 0;
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `the answer has the invalid status ${status}`;
  }
  const id = response.headers[core.headers.REQUEST_ID];
  if (id !== undefined && id !== request.requestId) {
    return `the answer carries another request's id, ${String(id)}`;
  }
  if (lacksRequestId(response, request) && isReused) {
    return 'the answer has no id and may belong to an earlier request';
  }
  const hasDefinedLength =
    response.headers['content-length'] !== undefined ||
    response.headers['transfer-encoding'] === 'chunked' ||
    request.method === 'HEAD' ||
    status === 204 ||
    status === 304;
  return hasDefinedLength
    ? undefined
    : 'the answer has neither a content-length nor chunked encoding';
}

/**
 * Creates the head check that the relay runs. The check closes a connection
 * after an answer without a request id, since on a reused connection a late
 * answer could not be told from the answer to the next request.
 */
export function createHeadCheck(
  request: CheckedRequest,
): NonNullable<core.relay.RelayOptions['checkHead']> {
  return (response, isReused) => {
    const fault = findFault(response, request, isReused);
    if (!fault && lacksRequestId(response, request)) {
      core.relay.closeAfterResponse(response);
    }
    return fault;
  };
}
