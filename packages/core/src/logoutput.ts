/**
 * Non-blocking output of log lines: lines are collected in a bounded buffer and
 * written in batches by an asynchronous call. Lines that do not fit are dropped
 * and counted.
 */
import * as fs from 'node:fs';

/** Maximum time that a line stays in the buffer before it is written, in ms. */
const BATCH_DELAY_MS = 200;

/**
 * Maximum number of buffered characters; if the consumer of the output is slow,
 * further lines are dropped so that memory use stays bounded.
 */
const MAX_BUFFERED_CHARS = 256 * 1_024;

const STDOUT_DESCRIPTOR = 1;

/** Destination of lines. */
export interface LineOutput {
  write(line: string): unknown;
}

/** Writes lines to a file descriptor in batches. */
export class BatchedOutput implements LineOutput {
  private bufferedLines: string[] = [];
  private bufferedChars = 0;
  private droppedLines = 0;
  private isWriteScheduled = false;

  constructor(private readonly descriptor = STDOUT_DESCRIPTOR) {}

  write(line: string): void {
    if (this.bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.droppedLines += 1;
      return;
    }
    this.bufferedLines.push(line);
    this.bufferedChars += line.length;
    this.scheduleWrite();
  }

  /** Writes the buffered lines synchronously, before the process exits. */
  flush(): void {
    const text = this.takeBufferedText();
    if (text === '') return;
    try {
      fs.writeSync(this.descriptor, text);
    } catch {
      // The consumer has closed the pipe or does not read. The lines are lost,
      // since the process exits and cannot retry.
    }
  }

  private scheduleWrite(): void {
    if (this.isWriteScheduled) return;
    this.isWriteScheduled = true;
    setTimeout(
      () => this.writeBatch(Buffer.from(this.takeBufferedText())),
      BATCH_DELAY_MS,
    );
  }

  private takeBufferedText(): string {
    if (this.droppedLines > 0) {
      this.bufferedLines.push(
        `event=log_lines_dropped count=${this.droppedLines}\n`,
      );
      this.droppedLines = 0;
    }
    const text = this.bufferedLines.join('');
    this.bufferedLines = [];
    this.bufferedChars = 0;
    return text;
  }

  private writeBatch(batch: Buffer): void {
    fs.write(this.descriptor, batch, (error, writtenBytes) => {
      const isPartialWrite = !error && writtenBytes < batch.length;
      if (isPartialWrite) return this.writeBatch(batch.subarray(writtenBytes));
      this.isWriteScheduled = false;
      // A batch that could not be written counts as one dropped line.
      if (error) this.droppedLines += 1;
      if (this.bufferedLines.length > 0) this.scheduleWrite();
    });
  }
}
