/**
 * Splits a stream of server-sent events into complete events, so that an event
 * truncated by a broken connection never reaches the caller, and records the
 * last event id. Each byte is searched once, however many chunks an event has.
 */
import * as growingBuffer from './growingbuffer.js';

/** Largest event that is passed on, in bytes. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;

const EMPTY_BUFFER = Buffer.alloc(0);
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** An event ends with an empty line. */
const EVENT_ENDS = [Buffer.from('\n\n'), Buffer.from('\n\r\n')];
/** Number of bytes before a chunk that may belong to the end of an event in it. */
const MAX_OVERLAP_BYTES = 2;
const ID_FIELD = 'id:';
/** Text that a header can carry. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;

/** Thrown if an event exceeds its limit; its stream is no valid answer. */
export class EventTooLargeError extends Error {
  constructor() {
    super(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
  }
}

/** Splits one caller's event stream, across all endpoints that continue it. */
export class EventSplitter {
  /** Bytes after the last complete event. */
  private readonly pending = new growingBuffer.GrowingBuffer();
  private hasContent = false;
  /** What the id field of the last event with one says; it may be no valid id. */
  private lastIdText: string | undefined;
  private hasCompleteEvents = false;

  /**
   * The id of the last complete event; undefined if there is none that a request
   * can carry.
   */
  get lastEventId(): string | undefined {
    const id = this.lastIdText;
    return id !== undefined && HEADER_VALUE.test(id) ? id : undefined;
  }

  /** Whether an event is complete, of any endpoint. */
  get hasPassedEvents(): boolean {
    return this.hasCompleteEvents;
  }

  /** Whether another endpoint can continue the stream after the last event. */
  get canResume(): boolean {
    return !this.hasCompleteEvents || this.lastEventId !== undefined;
  }

  /** Whether an event has begun and is not yet complete. */
  get isInsideEvent(): boolean {
    return this.hasContent;
  }

  /** Memory of the event that is not yet complete, in bytes. */
  get pendingBytes(): number {
    return this.pending.capacityBytes;
  }

  /**
   * Adds bytes and returns all events that are now complete. Throws an
   * `EventTooLargeError`.
   */
  push(chunk: Buffer): Buffer {
    if (this.pending.length === 0 && endsWithEvent(chunk)) {
      this.hasCompleteEvents = true;
      this.readId(chunk);
      return chunk;
    }
    const end = this.endOfLastEvent(chunk);
    if (end === 0) {
      this.append(chunk);
      return EMPTY_BUFFER;
    }
    const events = this.afterPending(chunk.subarray(0, end));
    this.reset();
    this.append(chunk.subarray(end));
    this.hasCompleteEvents = true;
    this.readId(events);
    return events;
  }

  /** Bytes after the last complete event. */
  remainder(): Buffer {
    return Buffer.from(this.pending.bytes());
  }

  /** Discards an event truncated by a broken connection. */
  reset(): void {
    this.pending.clear();
    this.hasContent = false;
  }

  private append(bytes: Buffer): void {
    if (bytes.length === 0) return;
    const pendingBytes = this.pending.length + bytes.length;
    if (pendingBytes > MAX_EVENT_BYTES) throw new EventTooLargeError();
    this.pending.append(bytes);
    this.hasContent ||= bytes.some(byte => !isLineEnd(byte));
  }

  /**
   * Index in the chunk after the last event that ends in it; 0 if none does.
   */
  private endOfLastEvent(chunk: Buffer): number {
    const end = indexAfterLastEnd(chunk);
    if (end > 0) return end;
    const overlap = this.pending.bytes().subarray(-MAX_OVERLAP_BYTES);
    const head = chunk.subarray(0, MAX_OVERLAP_BYTES);
    const joinedEnd = indexAfterLastEnd(Buffer.concat([overlap, head]));
    return Math.max(0, joinedEnd - overlap.length);
  }

  /** The pending bytes and those after them. */
  private afterPending(bytes: Buffer): Buffer {
    if (this.pending.length === 0) return bytes;
    return Buffer.concat([this.pending.bytes(), bytes]);
  }

  private readId(events: Buffer): void {
    const text = events.toString('latin1');
    const lineStart = startOfLastId(text);
    if (lineStart < 0) return;
    const start = lineStart + ID_FIELD.length;
    const end = text.indexOf('\n', start);
    this.lastIdText = text.slice(start, end < 0 ? undefined : end).trim();
  }
}

/** Index of the last line that holds an id; -1 if there is none. */
function startOfLastId(text: string): number {
  const index = text.lastIndexOf(`\n${ID_FIELD}`);
  if (index >= 0) return index + 1;
  return text.startsWith(ID_FIELD) ? 0 : -1;
}

/** Whether the last line of the chunk is an empty one after another line. */
function endsWithEvent(chunk: Buffer): boolean {
  const {length} = chunk;
  return (
    length > 2 &&
    chunk[length - 1] === LINE_FEED &&
    chunk[length - 2] === LINE_FEED
  );
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Index after the last end of an event; 0 if there is none. */
function indexAfterLastEnd(bytes: Buffer): number {
  const ends = EVENT_ENDS.map(end => {
    const index = bytes.lastIndexOf(end);
    return index < 0 ? 0 : index + end.length;
  });
  return Math.max(...ends);
}
