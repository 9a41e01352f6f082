/**
 * Responses to requests of which no `ServerResponse` exists or may be used:
 * those that cannot be parsed, and those that do not arrive in time.
 */
import type * as net from 'node:net';
import * as errors from './errors.js';

/** An error of the HTTP parser or of the connection. */
export interface ParseError extends Error {
  readonly code?: string;
}

/** A request did not arrive in time. */
export class RequestTimeoutError extends Error implements ParseError {
  readonly code = 'ERR_HTTP_REQUEST_TIMEOUT';

  constructor() {
    super('the request did not arrive in time');
  }
}

/** Errors of connections that break, which are no fault of a request. */
const BROKEN_CONNECTION_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
]);

/** Whether the error is one of the connection rather than of a request. */
export function isBrokenConnection({code = ''}: ParseError): boolean {
  return BROKEN_CONNECTION_CODES.has(code);
}

/** Error kinds of the parser's errors that have one of their own. */
const KINDS_BY_CODE: Readonly<Record<string, errors.ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'head_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

/** The failure to report for an error of the parser. */
export function toFailure({code = '', message}: ParseError): errors.Failure {
  return {kind: KINDS_BY_CODE[code] ?? 'bad_request', detail: message};
}

/**
 * Writes an error response to the socket, and ends it. Nothing more is read, so
 * that the request cannot become complete after it was refused.
 */
export function endWithProblem(
  socket: net.Socket,
  failure: errors.Failure,
  requestId: string,
): void {
  const body = JSON.stringify(errors.toProblem(failure, requestId));
  const {status, title} = errors.ERROR_RESPONSES[failure.kind];
  socket.pause();
  socket.end(
    `HTTP/1.1 ${status} ${title}\r\ncontent-type: application/problem+json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}
