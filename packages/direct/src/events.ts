/**
 * Events of a stream: splits the bytes into whole events, so that an event cut
 * by a broken connection never reaches the caller, and remembers the last id.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EMPTY = Buffer.alloc(0);

/** Splitter of one stream, over all endpoints that continue it. */
export class EventSplitter {
  private rest: Buffer = EMPTY;
  private lastId: string | undefined;

  /** The id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Takes bytes in and returns all whole events that they complete. */
  push(piece: Buffer): Buffer {
    const bytes =
      this.rest.length > 0 ? Buffer.concat([this.rest, piece]) : piece;
    const end = endOfEvents(bytes);
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    if (whole.length > 0) this.readId(whole);
    return whole;
  }

  /** Bytes after the last whole event, at the end of a whole answer. */
  remainder(): Buffer {
    return this.rest;
  }

  /** Drops an event that was cut; its endpoint's connection broke. */
  reset(): void {
    this.rest = EMPTY;
  }

  private readId(events: Buffer): void {
    const text = events.toString('latin1');
    const at = Math.max(
      text.lastIndexOf('\nid:'),
      text.startsWith('id:') ? -1 : -2,
    );
    if (at < -1) return;
    const start = at + '\nid:'.length;
    const end = text.indexOf('\n', start);
    this.lastId = text.slice(start, end < 0 ? undefined : end).trim();
  }
}

/** Where the last whole event ends: after an empty line. */
function endOfEvents(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
}
