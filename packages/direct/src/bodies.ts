/** Reads the bodies of endpoints' answers piece by piece. */
import type * as attempts from './attempt.js';

/** Longest plain answer that is read whole before it is passed on, in bytes. */
const MAX_BUFFERED_BYTES = 1_024 * 1_024;

/** Why a body is not whole that ended without an error. */
export const CUT = new Error('the connection ended within the answer');

/** The pieces of a body. */
export type Pieces = AsyncIterator<Buffer, undefined>;

/** The next piece; undefined at the end. */
export async function nextPiece(
  open: attempts.OpenAnswer,
  pieces: Pieces,
): Promise<Buffer | undefined> {
  const {value, done} = await pieces.next();
  open.heard();
  return done ? undefined : value;
}

/** What was read of a body. */
export interface Read {
  readonly body: Buffer;
  /** More is to come than is kept. */
  readonly isLong: boolean;
}

/** The whole body or the beginning of a long one, or the error that cut it. */
export async function readWhole(
  open: attempts.OpenAnswer,
  pieces: Pieces,
): Promise<Read | Error> {
  const kept: Buffer[] = [];
  let size = 0;
  try {
    for (;;) {
      const piece = await nextPiece(open, pieces);
      if (!piece) break;
      kept.push(piece);
      size += piece.length;
      if (size > MAX_BUFFERED_BYTES) {
        return {body: Buffer.concat(kept), isLong: true};
      }
    }
  } catch (error) {
    return error as Error;
  }
  if (!open.response.complete) return CUT;
  return {body: Buffer.concat(kept), isLong: false};
}
