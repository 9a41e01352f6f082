/** Whether the head of an answer may be taken for the answer to a request. */
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

/** Whether the request has an id and the answer does not repeat it. */
function isUnmatched(
  response: http.IncomingMessage,
  {requestId}: CheckedRequest,
): boolean {
  if (requestId === '') return false;
  return response.headers[core.headers.REQUEST_ID] === undefined;
}

/** Why a head cannot be taken for the answer to this request. */
function check(
  response: http.IncomingMessage,
  request: CheckedRequest,
  isReused: boolean,
): string | undefined {
  const status = response.statusCode ?? 0;
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `the answer has the status ${status}`;
  }
  const id = response.headers[core.headers.REQUEST_ID];
  if (id !== undefined && id !== request.requestId) {
    return `the answer carries another request's id, ${String(id)}`;
  }
  if (isUnmatched(response, request) && isReused) {
    return 'the answer carries no id and may be an earlier one that is late';
  }
  const hasEnd =
    response.headers['content-length'] !== undefined ||
    response.headers['transfer-encoding'] === 'chunked' ||
    request.method === 'HEAD' ||
    status === 204 ||
    status === 304;
  return hasEnd ? undefined : 'the answer has neither a length nor chunks';
}

/** A check for the relay; a connection with answers without id is not kept. */
export function headCheck(
  request: CheckedRequest,
): NonNullable<core.relay.RelayOptions['checkHead']> {
  return (response, isReused) => {
    const fault = check(response, request, isReused);
    if (!fault && isUnmatched(response, request)) {
      core.relay.closeAfter(response);
    }
    return fault;
  };
}
