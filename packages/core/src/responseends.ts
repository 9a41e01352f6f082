/**
 * Tells how a response ended. One that has neither a length nor chunks ends with
 * its connection, and the parser takes a connection that was reset for one that
 * was closed: `complete` is true of both.
 *
 * Node.js reports a reset as an error of the request only if it is read by
 * itself. One that is pending together with the last bytes comes as an ordinary
 * end of the socket; then only the connection, which has no peer any more, tells.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

const EMPTY = Buffer.alloc(0);

/** Why the responses that seem complete are not. */
const failures = new WeakMap<http.IncomingMessage, Error>();

/**
 * Follows the response to a request, so that `isWhole` can tell how it ended.
 * Errors of the request are taken note of; none is thrown for want of a listener.
 */
export function follow(request: http.ClientRequest): void {
  let received: http.IncomingMessage | undefined;
  request.once('response', response => {
    received = response;
    if (endsWithConnection(response)) followConnection(response);
  });
  request.on('error', error => {
    // The parser has not been told of the end yet.
    if (received && !received.complete) fail(received, error);
  });
}

/**
 * Whether the response arrived as a whole, once its body has been read; the
 * request must be followed.
 */
export function isWhole(response: http.IncomingMessage): boolean {
  return response.complete && !failures.has(response);
}

/** Whether nothing but the end of its connection may end the response. */
function endsWithConnection({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] !== 'chunked'
  );
}

function followConnection(response: http.IncomingMessage): void {
  const {socket} = response;
  const checkPeer = () => {
    if (!response.complete && wasReset(socket)) {
      fail(response, new Error('the connection was reset'));
    }
  };
  // In front of the parser, which completes the response, and of the socket's
  // own listener, which closes this side.
  socket.prependListener('end', checkPeer);
  // A response without a body leaves its connection to the next request.
  response.once('close', () => socket.off('end', checkPeer));
}

/** Whether the peer reset the connection before it closed it; asked at the end. */
function wasReset(socket: net.Socket): boolean {
  // Only a connection that was reset has no peer then. The name of the peer must
  // not be read before: Node.js remembers it.
  if (socket.remoteAddress !== undefined) return false;
  // A peer that has not read the whole request closes in order and resets
  // afterwards. It is the error of a write that tells; behind other writes this one
  // fails too late, and the order stays unknown.
  socket.write(EMPTY);
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code !== 'EPIPE';
}

function fail(response: http.IncomingMessage, error: Error): void {
  if (!failures.has(response)) failures.set(response, error);
}
