/** What listeners of all services do with Node's responses. */
import type * as http from 'node:http';
import type * as metrics from './metrics.js';

/** Writes a piece; resolves when the next may come, or the reader has left. */
export async function writePiece(
  response: http.ServerResponse,
  piece: Buffer,
): Promise<void> {
  if (response.destroyed || response.write(piece)) return;
  await new Promise<void>(resolve => {
    const end = () => {
      response.off('drain', end);
      response.off('close', end);
      resolve();
    };
    response.once('drain', end);
    response.once('close', end);
  });
}

/** Ends an answer that has begun so that its reader sees it is not whole. */
export function cut(response: http.ServerResponse): void {
  const {socket} = response;
  // Without chunks the end of the connection would look like the body's.
  if (socket && !response.chunkedEncoding) socket.resetAndDestroy();
  else response.destroy();
}

/** Answers with the process's metrics. */
export async function sendMetrics(
  response: http.ServerResponse,
  source: metrics.Metrics,
): Promise<void> {
  const text = await source.render();
  response.writeHead(200, {
    'content-type': source.registry().contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
