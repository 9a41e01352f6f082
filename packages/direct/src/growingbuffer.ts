/**
 * A buffer to which bytes are appended. Its capacity doubles, so that many small
 * chunks cost time and memory in proportion to their bytes.
 */

const FIRST_CAPACITY_BYTES = 1_024;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Collects bytes that arrive in chunks. */
export class GrowingBuffer {
  private storage: Buffer = EMPTY_BUFFER;
  private lengthBytes = 0;

  get length(): number {
    return this.lengthBytes;
  }

  /** Memory that it takes, in bytes. */
  get capacityBytes(): number {
    return this.storage.length;
  }

  /** Appends a copy of the bytes. */
  append(bytes: Buffer): void {
    const newLength = this.lengthBytes + bytes.length;
    if (newLength > this.storage.length) {
      const storage = Buffer.allocUnsafe(
        Math.max(FIRST_CAPACITY_BYTES, newLength, 2 * this.storage.length),
      );
      this.bytes().copy(storage);
      this.storage = storage;
    }
    bytes.copy(this.storage, this.lengthBytes);
    this.lengthBytes = newLength;
  }

  /** The bytes; valid until the next change. */
  bytes(): Buffer {
    return this.storage.subarray(0, this.lengthBytes);
  }

  /** Removes all bytes and frees their memory. */
  clear(): void {
    this.storage = EMPTY_BUFFER;
    this.lengthBytes = 0;
  }
}
