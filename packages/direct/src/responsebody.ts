/** Reads the bodies of endpoints' responses chunk by chunk. */
import * as core from '@oleanderrock/core';
import type * as attempt from './attempt.js';

/**
 * Largest response, other than an event stream, that is buffered whole before
 * it is sent to the caller, in bytes.
 */
const MAX_BUFFERED_BYTES = 1_024 * 1_024;

/** Error for a body that ended early although the connection closed cleanly. */
export const TRUNCATED = new Error(
  'the connection closed before the response was complete',
);

/**
 * Reads the next chunk; undefined at the end. Rejects if the body is truncated.
 */
export async function nextChunk(
  endpointResponse: attempt.EndpointResponse,
  reader: core.BodyReader,
): Promise<Buffer | undefined> {
  const chunk = await reader.read();
  endpointResponse.recordActivity();
  return chunk;
}

/**
 * The buffered part of a body, in the chunks in which it came: put together, it
 * would be in memory twice for a while.
 */
export interface BufferedBody {
  readonly chunks: readonly Buffer[];
  readonly byteCount: number;
  /** Whether the body exceeds the buffer limit and has more chunks to read. */
  readonly exceedsBuffer: boolean;
}

/**
 * Buffers the whole body, or the beginning of one that exceeds the limit;
 * returns the error if the body is truncated.
 */
export async function readBuffered(
  endpointResponse: attempt.EndpointResponse,
  reader: core.BodyReader,
  memory: core.CallMemory,
): Promise<BufferedBody | Error> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  try {
    for (;;) {
      const chunk = await nextChunk(endpointResponse, reader);
      if (!chunk) break;
      chunks.push(chunk);
      byteCount += chunk.length;
      // Without memory for it, the rest isn't read before the caller takes it.
      if (byteCount > MAX_BUFFERED_BYTES || !memory.hold(chunk.length)) {
        return {chunks, byteCount, exceedsBuffer: true};
      }
    }
  } catch (error) {
    return error as Error;
  }
  if (!core.responseEnds.isWhole(endpointResponse.response)) return TRUNCATED;
  memory.connection.recordPassed(byteCount);
  return {chunks, byteCount, exceedsBuffer: false};
}
