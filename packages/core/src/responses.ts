/** Helpers for writing Node.js HTTP responses. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as metrics from './metrics.js';

/** Largest chunk that is framed here, in bytes. */
const MAX_FRAMED_BYTES = 16_384;

/**
 * Writes a chunk of the body; resolves when the next one may be written, or the
 * connection has closed.
 */
export async function writeChunk(
  response: http.ServerResponse,
  chunk: Buffer,
): Promise<void> {
  if (response.destroyed || response.write(chunk)) return;
  await drained(response, response);
}

/**
 * Writes a chunk of a body whose head was flushed; like `writeChunk`, but
 * returns undefined if the next chunk may be written at once.
 */
export function writeFlushed(
  response: http.ServerResponse,
  chunk: Buffer,
): Promise<void> | undefined {
  if (response.destroyed) return undefined;
  const target = writeFrame(response, chunk);
  return target && drained(target, response);
}

/** Writes several chunks as `writeFlushed` does one. */
export function writeAllFlushed(
  response: http.ServerResponse,
  chunks: readonly Buffer[],
): Promise<void> | undefined {
  let target: stream.Writable | undefined;
  for (const chunk of chunks) {
    if (response.destroyed) return undefined;
    target = writeFrame(response, chunk);
  }
  return target && drained(target, response);
}

/**
 * Writes one chunk; returns the stream that has no room for another, if so.
 *
 * Node.js writes the size, the bytes and the line end of a small chunk one by
 * one and gathers them afterwards; here they are one write.
 */
function writeFrame(
  response: http.ServerResponse,
  chunk: Buffer,
): stream.Writable | undefined {
  const {socket} = response;
  const {length} = chunk;
  const isFramedHere =
    response.chunkedEncoding && length > 0 && length <= MAX_FRAMED_BYTES;
  // Without a socket, the response waits for the one before it.
  if (!isFramedHere || !socket) {
    return response.write(chunk) ? undefined : response;
  }
  const text = chunk.toString('latin1');
  const frame = `${length.toString(16)}\r\n${text}\r\n`;
  return socket.write(frame, 'latin1') ? undefined : socket;
}

/** Resolves when the stream has room, or the response's connection closes. */
function drained(
  target: stream.Writable,
  response: http.ServerResponse,
): Promise<void> {
  return new Promise<void>(resolve => {
    const finish = () => {
      target.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    target.once('drain', finish);
    response.once('close', finish);
  });
}

/** Aborts a started response so that the client sees that it is incomplete. */
export function abortResponse(response: http.ServerResponse): void {
  const {socket} = response;
  if (socket && !response.chunkedEncoding) closeSocket(socket, response);
  else response.destroy();
}

/**
 * Closes a client's connection at once; `response` is the one being written.
 *
 * Without chunked encoding a client may take the closing of the connection for
 * the end of the body; a connection reset is always an error to it.
 */
export function closeSocket(
  socket: net.Socket,
  response: http.ServerResponse | undefined,
): void {
  const isWritten = !response?.headersSent || response.writableFinished;
  if (isWritten || response.chunkedEncoding) socket.destroy();
  else if (!socket.destroyed) socket.resetAndDestroy();
}

/**
 * Closes a client's connection once what was written has been sent; a response
 * that has not ended is seen to be incomplete.
 */
export function closeSocketSoon(
  socket: net.Socket,
  response: http.ServerResponse,
): void {
  if (response.writableEnded || response.chunkedEncoding) socket.destroySoon();
  else closeSocket(socket, response);
}

/** Responds with the metrics of the process in the Prometheus text format. */
export async function sendMetrics(
  response: http.ServerResponse,
  processMetrics: metrics.Metrics,
): Promise<void> {
  const text = await processMetrics.render();
  response.writeHead(200, {
    'content-type': processMetrics.registry().contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
