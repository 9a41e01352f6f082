/** Helpers for writing Node.js HTTP responses. */
import type * as http from 'node:http';
import type * as metrics from './metrics.js';

/**
 * Writes a chunk of the body; resolves when the next one may be written, or the
 * connection has closed.
 */
export async function writeChunk(
  response: http.ServerResponse,
  chunk: Buffer,
): Promise<void> {
  if (response.destroyed || response.write(chunk)) return;
  await new Promise<void>(resolve => {
    const finish = () => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.once('drain', finish);
    response.once('close', finish);
  });
}

/** Aborts a started response so that the client sees that it is incomplete. */
export function abortResponse(response: http.ServerResponse): void {
  const {socket} = response;
  // Without chunked encoding a client may take the closing of the connection
  // for the end of the body; a connection reset is always an error to it.
  if (socket && !response.chunkedEncoding) socket.resetAndDestroy();
  else response.destroy();
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
