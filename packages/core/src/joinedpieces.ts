/** Copies short pieces of bytes together, since each is an object of its own. */

const EMPTY = Buffer.alloc(0);

/** Pieces that are taken as one. */
export class JoinedPieces {
  /** The pieces, and room for more. */
  private bytes: Buffer = EMPTY;
  private byteCount = 0;

  add(piece: Buffer): void {
    if (this.byteCount === 0) {
      this.bytes = piece;
      this.byteCount = piece.length;
      return;
    }
    const byteCount = this.byteCount + piece.length;
    if (byteCount > this.bytes.length) {
      const bytes = Buffer.allocUnsafeSlow(2 * byteCount);
      this.bytes.copy(bytes, 0, 0, this.byteCount);
      this.bytes = bytes;
    }
    piece.copy(this.bytes, this.byteCount);
    this.byteCount = byteCount;
  }

  /** Takes the pieces; undefined if there are none. */
  take(): Buffer | undefined {
    const {bytes, byteCount} = this;
    if (byteCount === 0) return undefined;
    this.bytes = EMPTY;
    this.byteCount = 0;
    // A copy, so that the room is not kept as long as the bytes are.
    return byteCount === bytes.length
      ? bytes
      : Buffer.from(bytes.subarray(0, byteCount));
  }
}
