/**
 * Splits a stream of server-sent events into complete events, so that an event
 * truncated by a broken connection never reaches the caller, and records the
 * last event id.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = 'id:';
/** Text that a header can carry. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Splits one caller's event stream, across all endpoints that continue it. */
export class EventSplitter {
  private pending: Buffer = EMPTY_BUFFER;
  private lastSeenId: string | undefined;
  private hasPassedEvents = false;

  /**
   * The id of the last complete event; undefined if there is none that a request
   * can carry.
   */
  get lastEventId(): string | undefined {
    return this.lastSeenId;
  }

  /** Whether another endpoint can continue the stream after the last event. */
  get canResume(): boolean {
    return !this.hasPassedEvents || this.lastSeenId !== undefined;
  }

  /** Adds bytes and returns all events that are now complete. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.pending.length > 0 ? Buffer.concat([this.pending, chunk]) : chunk;
    const end = endOfLastEvent(bytes);
    this.pending = bytes.subarray(end);
    const completeEvents = bytes.subarray(0, end);
    if (completeEvents.length > 0) {
      this.hasPassedEvents = true;
      this.readId(completeEvents);
    }
    return completeEvents;
  }

  /** Whether an event has begun and is not yet complete. */
  get isInsideEvent(): boolean {
    return this.pending.some(byte => !isLineEnd(byte));
  }

  /** Bytes after the last complete event. */
  remainder(): Buffer {
    return this.pending;
  }

  /** Discards an event truncated by a broken connection. */
  reset(): void {
    this.pending = EMPTY_BUFFER;
  }

  private readId(events: Buffer): void {
    const text = events.toString('latin1');
    const lineStart = startOfLastId(text);
    if (lineStart < 0) return;
    const start = lineStart + ID_FIELD.length;
    const end = text.indexOf('\n', start);
    const id = text.slice(start, end < 0 ? undefined : end).trim();
    this.lastSeenId = HEADER_VALUE.test(id) ? id : undefined;
  }
}

/** Index of the last line that holds an id; -1 if there is none. */
function startOfLastId(text: string): number {
  const index = text.lastIndexOf(`\n${ID_FIELD}`);
  if (index >= 0) return index + 1;
  return text.startsWith(ID_FIELD) ? 0 : -1;
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Index after the last complete event, which ends with an empty line. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    const previousEnd =
      bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (previousEnd >= 0 && bytes[previousEnd] === LINE_FEED) return index + 1;
  }
  return 0;
}
