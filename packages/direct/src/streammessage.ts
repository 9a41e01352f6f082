/**
 * Messages by which routers tell the homes of streams at which version of its
 * software each began, and ask for it; one datagram each. On the wire they are
 * MessagePack arrays that identify streams by 64-bit hashes of their ids.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Longest pool or version, and hash of a stream. */
const nameSchema = v.pipe(v.string(), v.maxLength(255));
const streamSchema = v.pipe(v.string(), v.length(16));

/** Most streams in one note, so that it fits a datagram. */
export const MAX_NOTED_STREAMS = 40;

/** A note: 0, the version, and the streams that began at it. */
const noteSchema = v.strictTuple([
  v.literal(0),
  nameSchema,
  v.pipe(v.array(streamSchema), v.maxLength(MAX_NOTED_STREAMS)),
]);

/** A question: 1, its id, the pool and the stream. */
const questionSchema = v.strictTuple([
  v.literal(1),
  countSchema,
  nameSchema,
  streamSchema,
]);

/** What a reply tells; on the wire, the index. */
const KNOWLEDGE = ['stream', 'all_versions', 'some_versions'] as const;
const MAX_REPLIED_VERSIONS = 16;

/** A reply: 2, the id of the question, what it tells, and the versions. */
const replySchema = v.strictTuple([
  v.literal(2),
  countSchema,
  v.picklist([0, 1, 2]),
  v.pipe(v.array(nameSchema), v.maxLength(MAX_REPLIED_VERSIONS)),
]);

const messageSchema = v.union([noteSchema, questionSchema, replySchema]);

type EncodedMessage = v.InferOutput<typeof messageSchema>;

/** Tells the streams that began at a version. */
export interface StreamNote {
  readonly type: 'note';
  readonly version: string;
  readonly streams: readonly string[];
}

/** Asks at which version a stream began. */
export interface StreamQuestion {
  readonly type: 'question';
  /** Identifies the question at the router that asks. */
  readonly id: number;
  readonly pool: string;
  readonly stream: string;
}

/** Tells at which version a stream began. */
export interface StreamReply {
  readonly type: 'reply';
  readonly id: number;
  /**
   * `stream`: the version of the stream; `all_versions`: those of all streams of
   * the pool that can be taken up; `some_versions`: there may be more.
   */
  readonly tells: (typeof KNOWLEDGE)[number];
  readonly versions: readonly string[];
}

/** A message between a router and the home of a stream. */
export type StreamMessage = StreamNote | StreamQuestion | StreamReply;

/** Encodes a message. */
export function encode(message: StreamMessage): Buffer {
  return msgpackr.pack(toArray(message));
}

function toArray(message: StreamMessage): EncodedMessage {
  if (message.type === 'note') {
    return [0, message.version, [...message.streams]];
  }
  if (message.type === 'question') {
    return [1, message.id, message.pool, message.stream];
  }
  const {id, tells, versions} = message;
  const tellsIndex = KNOWLEDGE.indexOf(tells) as 0 | 1 | 2;
  return [2, id, tellsIndex, versions.slice(0, MAX_REPLIED_VERSIONS)];
}

/** Decodes a message; undefined if the bytes are not a valid one. */
export function decode(bytes: Buffer): StreamMessage | undefined {
  const parsed = v.safeParse(messageSchema, unpackOrUndefined(bytes));
  if (!parsed.success) return undefined;
  const {output} = parsed;
  if (output[0] === 0) {
    const [, version, streams] = output;
    return {type: 'note', version, streams};
  }
  if (output[0] === 1) {
    const [, id, pool, stream] = output;
    return {type: 'question', id, pool, stream};
  }
  const [, id, tellsIndex, versions] = output;
  return {type: 'reply', id, tells: KNOWLEDGE[tellsIndex], versions};
}

function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
