/**
 * Output of log lines that never blocks the process: lines wait in a bounded
 * buffer and are written in batches by an asynchronous call. What does not fit
 * is dropped and counted.
 */
import * as fs from 'node:fs';

/** Longest time for which a line waits for others, in ms. */
const BATCH_MS = 200;

/** Most characters that wait; a slow reader costs lines, not memory. */
const MAX_WAITING_CHARS = 256 * 1_024;

const STDOUT = 1;

/** Where lines go. */
export interface LineOutput {
  write(line: string): unknown;
}

/** Writes lines to a file descriptor in batches. */
export class BatchedOutput implements LineOutput {
  private waiting: string[] = [];
  private waitingChars = 0;
  private dropped = 0;
  private isScheduled = false;

  constructor(private readonly descriptor = STDOUT) {}

  write(line: string): void {
    if (this.waitingChars + line.length > MAX_WAITING_CHARS) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingChars += line.length;
    this.schedule();
  }

  /** Writes what waits before the process ends. */
  flush(): void {
    const text = this.take();
    if (text === '') return;
    try {
      fs.writeSync(this.descriptor, text);
    } catch {
      // The reader is gone or full; at the end of the process nothing helps.
    }
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setTimeout(() => this.writeBatch(Buffer.from(this.take())), BATCH_MS);
  }

  private take(): string {
    if (this.dropped > 0) {
      this.waiting.push(`event=log_lines_dropped count=${this.dropped}\n`);
      this.dropped = 0;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingChars = 0;
    return text;
  }

  private writeBatch(batch: Buffer): void {
    fs.write(this.descriptor, batch, (error, writtenBytes) => {
      const isPartial = !error && writtenBytes < batch.length;
      if (isPartial) return this.writeBatch(batch.subarray(writtenBytes));
      this.isScheduled = false;
      if (error) this.dropped += 1;
      if (this.waiting.length > 0) this.schedule();
    });
  }
}
