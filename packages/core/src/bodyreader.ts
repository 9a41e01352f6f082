/**
 * Reads the body of a message chunk by chunk. It takes the chunks as they are
 * parsed; the stream's own iterator reads them out of a second buffer, with
 * several times the work for each chunk.
 */
import type * as http from 'node:http';
import * as readPacing from './readpacing.js';

/** Bytes that wait to be read from which on no more are received. */
const MAX_WAITING_BYTES = 16_384;

/** Reads one body; at most one read may be in progress. */
export class BodyReader {
  private readonly waitingChunks: Buffer[] = [];
  private waitingBytes = 0;
  private isPaused = false;
  private isEnded = false;
  private error: Error | undefined;
  private wake: (() => void) | undefined;

  constructor(
    private readonly message: http.IncomingMessage,
    private readonly meter: readPacing.ItemMeter = readPacing.IDLE_METER,
  ) {
    message.on('data', (chunk: Buffer) => this.add(chunk));
    message.once('end', () => {
      this.isEnded = true;
      this.wake?.();
    });
    message.once('error', error => this.fail(error));
    message.once('close', () => {
      if (!this.isEnded) this.fail(new Error('the connection closed'));
    });
    // Both may have come with the head; no event follows then.
    if (message.readableEnded) this.isEnded = true;
    else if (message.destroyed) {
      this.fail(message.errored ?? new Error('the connection closed'));
    }
  }

  /**
   * Reads the chunks that have arrived, or else the next one; undefined at the
   * end. Rejects if the body is incomplete.
   */
  async read(): Promise<Buffer | undefined> {
    if (this.waitingChunks.length === 0 && !this.isOver()) {
      await new Promise<void>(resolve => (this.wake = resolve));
      this.wake = undefined;
    }
    if (this.waitingChunks.length > 0) return this.takeWaiting();
    if (this.error) throw this.error;
    return undefined;
  }

  private add(chunk: Buffer): void {
    this.meter.record(1);
    this.waitingChunks.push(chunk);
    this.waitingBytes += chunk.length;
    this.wake?.();
    if (this.waitingBytes > MAX_WAITING_BYTES && !this.isPaused) {
      this.isPaused = true;
      this.message.pause();
    }
  }

  private takeWaiting(): Buffer {
    const [first] = this.waitingChunks;
    const chunk =
      this.waitingChunks.length === 1
        ? first!
        : Buffer.concat(this.waitingChunks, this.waitingBytes);
    this.waitingChunks.length = 0;
    this.waitingBytes = 0;
    if (this.isPaused) {
      this.isPaused = false;
      this.message.resume();
    }
    return chunk;
  }

  private isOver(): boolean {
    return this.isEnded || this.error !== undefined;
  }

  private fail(error: Error): void {
    this.error ??= error;
    this.wake?.();
  }
}
