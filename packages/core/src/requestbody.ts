/**
 * Reads the bodies of requests. Long pieces are kept as they arrived; short ones
 * are copied together, since each piece is an object of several hundred bytes.
 */
import type * as http from 'node:http';
import * as callerMemory from './callermemory.js';
import * as errors from './errors.js';

/** The complete body, or why it could not be read. */
export type BodyResult = errors.Result<Buffer>;

/** Size from which on a piece is kept as it arrived, in bytes. */
const LONG_PIECE_BYTES = 4_096;

/** Number of first pieces that are kept as they arrived, whatever their size. */
const FIRST_PIECES = 4;

/** Number of bytes that count as progress, and are recorded together. */
const RECORDED_BYTES = 1_024;

/**
 * What a short piece counts beside its bytes, since many of them keep the process
 * busy; so many pieces at a time, and no more than some.
 */
const SHORT_PIECE_BYTES = 256;
const CHARGED_PIECES = 16;
const MAX_CHARGED_PIECES = 4_096;

/** Memory of a piece beside its bytes. */
const PIECE_BYTES = 512;

/** What a piece counts, beside its bytes, of what is read and dropped. */
const DROPPED_PIECE_BYTES = 1_024;

const EMPTY = Buffer.alloc(0);

/** Capacity of the buffers that short pieces are copied into, in bytes. */
const BLOCK_BYTES = 16_384;

/**
 * What is read and dropped at least of a body above its limit before its
 * connection is closed, in bytes.
 */
const MIN_EXCESS_BYTES = 4_194_304;

/** The pieces of one body. */
class Pieces {
  private readonly complete: Buffer[] = [];
  private block: Buffer | undefined;
  private blockBytes = 0;
  /** Number of short pieces that were copied. */
  private shortCount = 0;
  private heldBytes = 0;

  constructor(private readonly memory: callerMemory.CallMemory) {}

  /** Adds a piece; false if there is no memory for it. */
  add(piece: Buffer): boolean {
    const isFirst = this.complete.length < FIRST_PIECES;
    if (isFirst || piece.length >= LONG_PIECE_BYTES) {
      if (!this.hold(piece.length + PIECE_BYTES)) return false;
      this.endBlock();
      this.complete.push(piece);
      return true;
    }
    this.shortCount += 1;
    const isCharged = this.shortCount % CHARGED_PIECES === 0;
    if (isCharged && this.shortCount <= MAX_CHARGED_PIECES) {
      if (!this.hold(CHARGED_PIECES * SHORT_PIECE_BYTES)) return false;
    }
    if (this.blockBytes + piece.length > (this.block?.length ?? 0)) {
      if (!this.hold(BLOCK_BYTES)) return false;
      this.endBlock();
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }
    this.blockBytes += piece.copy(this.block!, this.blockBytes);
    return true;
  }

  /**
   * The whole body; undefined if there is no memory for it beside its pieces,
   * which are released.
   */
  join(): Buffer | undefined {
    this.endBlock();
    const [first = EMPTY] = this.complete;
    if (this.complete.length <= 1) return first;
    const lengthBytes = this.complete.reduce(
      (sum, {length}) => sum + length,
      0,
    );
    if (!this.memory.hold(lengthBytes)) return undefined;
    const body = Buffer.concat(this.complete, lengthBytes);
    this.clear();
    return body;
  }

  clear(): void {
    this.complete.length = 0;
    this.block = undefined;
    this.memory.release(this.heldBytes);
    this.heldBytes = 0;
  }

  private hold(bytes: number): boolean {
    if (!this.memory.hold(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  private endBlock(): void {
    if (!this.block) return;
    this.complete.push(this.block.subarray(0, this.blockBytes));
    this.block = undefined;
    this.blockBytes = 0;
  }
}

/**
 * Reads a request body of up to `maxBytes`. A body is only incomplete once its
 * connection has closed, so that the failure can no longer be sent.
 *
 * What is beyond the limit is read and dropped, so that the connection can be
 * used again, but not without end.
 */
export async function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  memory: callerMemory.CallMemory = new callerMemory.CallMemory(),
): Promise<BodyResult> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    drop(request, excessBytes(maxBytes), memory);
    return tooLarge(maxBytes);
  }
  if (request.complete) return takeComplete(request, maxBytes, memory);
  return collect(request, maxBytes, memory);
}

/** Takes a body that has arrived with its head, as most do. */
function takeComplete(
  request: http.IncomingMessage,
  maxBytes: number,
  memory: callerMemory.CallMemory,
): BodyResult {
  const body = (request.read() as Buffer | null) ?? Buffer.alloc(0);
  if (body.length > maxBytes) return tooLarge(maxBytes);
  if (memory.hold(body.length)) return errors.succeed(body);
  return errors.fail('overloaded', 'there is no memory for the request');
}

/**
 * Reads and drops the body of a request that is refused; resolves at its end, or
 * when more than `maxBytes` of it have arrived.
 */
export async function skipBody(
  request: http.IncomingMessage,
  maxBytes: number,
  memory: callerMemory.CallMemory,
): Promise<void> {
  drop(request, maxBytes, memory);
  await memory.dropped;
}

function collect(
  request: http.IncomingMessage,
  maxBytes: number,
  memory: callerMemory.CallMemory,
): Promise<BodyResult> {
  const pieces = new Pieces(memory);
  let receivedBytes = 0;
  let unrecordedBytes = 0;
  return new Promise(resolve => {
    const finish = (result: BodyResult) => {
      request.off('data', add);
      request.off('end', end);
      request.off('error', fail);
      request.off('close', fail);
      memory.setBodyReader(undefined);
      resolve(result);
    };
    const add = (piece: Buffer) => {
      receivedBytes += piece.length;
      unrecordedBytes += piece.length;
      if (unrecordedBytes >= RECORDED_BYTES) {
        memory.connection.recordProgress();
        memory.connection.recordPassed(unrecordedBytes);
        unrecordedBytes = 0;
      }
      if (receivedBytes > maxBytes) {
        pieces.clear();
        finish(tooLarge(maxBytes));
        drop(request, excessBytes(maxBytes), memory);
      } else if (!pieces.add(piece)) {
        giveWay();
      }
    };
    const giveWay = () => {
      memory.connection.recordCut('memory');
      memory.refuseBody('memory');
    };
    const end = () => {
      const body = pieces.join();
      if (body) finish(errors.succeed(body));
      else giveWay();
    };
    const fail = (error?: Error) => {
      pieces.clear();
      const reason = error ? errors.errorMessage(error) : 'aborted';
      const detail = `the request body is incomplete: ${reason}`;
      finish(errors.fail('caller_gone', detail));
    };
    if (request.destroyed && !request.complete) return fail();
    memory.setBodyReader(failure => {
      pieces.clear();
      finish({ok: false, failure});
    });
    request.on('data', add);
    request.once('end', end);
    request.once('error', fail);
    request.once('close', fail);
  });
}

/** What is dropped of a body above its limit before its connection closes. */
function excessBytes(maxBytes: number): number {
  return Math.max(maxBytes, MIN_EXCESS_BYTES);
}

/**
 * Reads and drops what still arrives of a body. Beyond `maxBytes` the connection
 * is read no further, and closes after its response.
 */
function drop(
  request: http.IncomingMessage,
  maxBytes: number,
  memory: callerMemory.CallMemory,
): void {
  let leftBytes = maxBytes;
  memory.dropped = new Promise(resolve => {
    const finish = () => {
      request.off('data', count);
      memory.connection.setAwaitsCaller(false);
      resolve();
    };
    const count = (piece: Buffer) => {
      leftBytes -= piece.length + DROPPED_PIECE_BYTES;
      if (piece.length >= RECORDED_BYTES) {
        memory.connection.recordProgress();
        memory.connection.recordPassed(piece.length);
      }
      if (leftBytes >= 0) return;
      memory.stopReading();
      finish();
    };
    if (request.complete || request.destroyed) resolve();
    else memory.connection.setAwaitsCaller(true);
    request.on('data', count);
    request.once('end', finish);
    request.once('close', finish);
    request.on('error', () => undefined);
  });
}

function tooLarge(maxBytes: number) {
  return errors.fail(
    'too_large',
    `the request body is larger than ${maxBytes} bytes`,
  );
}
