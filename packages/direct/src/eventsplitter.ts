/**
 * Splits a stream of server-sent events into complete events, so that an event
 * truncated by a broken connection never reaches the caller, and reads the ids of
 * all of them. Each byte is searched once, however many chunks an event has.
 */
import * as eventOrder from './eventorder.js';
import * as growingBuffer from './growingbuffer.js';

/** Largest event that is passed on, in bytes. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;

const EMPTY_BUFFER = Buffer.alloc(0);
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** An event ends with an empty line. */
const EVENT_ENDS = [Buffer.from('\n\n'), Buffer.from('\n\r\n')];
const EMPTY_LINE = /\n\r?\n/;
/** A line that is neither empty nor a comment. */
const EVENT_LINE = /^[^:\r\n]/m;
/** Number of bytes before a chunk that may belong to the end of an event in it. */
const MAX_OVERLAP_BYTES = 2;
const ID_FIELD = 'id:';
const ID_LINE = `\n${ID_FIELD}`;
/** Text that a header can carry. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;

/** Thrown if an event exceeds its limit; its stream is no valid answer. */
export class EventTooLargeError extends Error {
  constructor() {
    super(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
  }
}

/** Thrown for an event that must not follow those before it. */
export class OutOfOrderError extends Error {
  constructor({foundId, lastId}: eventOrder.OddEvent) {
    super(`an event has the id ${foundId} after ${lastId}`);
  }
}

/** Splits one caller's event stream, across all endpoints that continue it. */
export class EventSplitter {
  /** Bytes after the last complete event. */
  private readonly pending = new growingBuffer.GrowingBuffer();
  private hasContent = false;
  /** What the id field of the last event with one says; it may be no valid id. */
  private lastIdText: string | undefined;
  /** Whether events without an id were passed on after the last one with an id. */
  private hasUnnumberedEvents = false;
  private readonly order: eventOrder.EventOrder;
  private lastOddEvent: eventOrder.OddEvent | undefined;

  /** @param callerLastId id after which the caller goes on with its stream */
  constructor(callerLastId?: string) {
    this.order = new eventOrder.EventOrder(callerLastId);
  }

  /** The first event at an odd place among those that the last push added. */
  get oddEvent(): eventOrder.OddEvent | undefined {
    return this.lastOddEvent;
  }

  /**
   * The id of the last complete event; undefined if there is none that a request
   * can carry.
   */
  get lastEventId(): string | undefined {
    const id = this.lastIdText;
    return id !== undefined && HEADER_VALUE.test(id) ? id : undefined;
  }

  /**
   * Whether another endpoint can continue the stream after the last event. It
   * would repeat those without an id.
   */
  get canResume(): boolean {
    const isLastIdValid =
      this.lastIdText === undefined || this.lastEventId !== undefined;
    return isLastIdValid && !this.hasUnnumberedEvents;
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
   * Adds bytes and returns all events that are now complete, up to one that goes
   * back; `oddEvent` tells of it, and the rest is for nobody. Throws an
   * `EventTooLargeError`.
   */
  push(chunk: Buffer): Buffer {
    this.lastOddEvent = undefined;
    const events = this.completeEvents(chunk);
    if (events.length === 0) return events;
    return events.subarray(0, this.readIds(events));
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

  private completeEvents(chunk: Buffer): Buffer {
    if (this.pending.length === 0 && endsWithEvent(chunk)) return chunk;
    const end = this.endOfLastEvent(chunk);
    if (end === 0) {
      this.append(chunk);
      return EMPTY_BUFFER;
    }
    const events = this.afterPending(chunk.subarray(0, end));
    this.reset();
    this.append(chunk.subarray(end));
    return events;
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

  /** Reads the ids of whole events; returns the bytes before one that goes back. */
  private readIds(events: Buffer): number {
    const text = events.toString('latin1');
    let passedBytes = events.length;
    let lastEnd: number | undefined;
    let start = startOfId(text);
    while (start >= 0) {
      const end = text.indexOf('\n', start);
      const next = startOfNextId(text, end);
      // The last id of an event is the one that counts.
      if (next < 0 || EMPTY_LINE.test(text.slice(end, next))) {
        const id = text.slice(start, end).trim();
        const oddEvent = this.order.add(id);
        this.lastOddEvent ??= oddEvent;
        if (oddEvent?.fault === 'back') {
          this.lastOddEvent = oddEvent;
          passedBytes = indexAfterLastEnd(events.subarray(0, start));
          break;
        }
        this.lastIdText = id;
        lastEnd = end;
      }
      start = next;
    }
    this.recordUnnumbered(text.slice(0, passedBytes), lastEnd);
    return passedBytes;
  }

  /** @param lastEnd end of the line with the last id; undefined if there is none */
  private recordUnnumbered(text: string, lastEnd: number | undefined): void {
    if (lastEnd === undefined) {
      this.hasUnnumberedEvents ||= EVENT_LINE.test(text);
      return;
    }
    const tail = text.slice(lastEnd);
    const eventEnd = EMPTY_LINE.exec(tail);
    const rest = eventEnd
      ? tail.slice(eventEnd.index + eventEnd[0].length)
      : '';
    this.hasUnnumberedEvents = rest !== '' && EVENT_LINE.test(rest);
  }
}

/** Index of the first id; -1 if there is none. */
function startOfId(text: string): number {
  return text.startsWith(ID_FIELD) ? ID_FIELD.length : startOfNextId(text, 0);
}

/** Index of the first id in the lines after the index; -1 if there is none. */
function startOfNextId(text: string, from: number): number {
  const index = text.indexOf(ID_LINE, from);
  return index < 0 ? -1 : index + ID_LINE.length;
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
