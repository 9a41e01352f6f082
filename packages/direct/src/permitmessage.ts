/**
 * Messages by which a router asks the home of an endpoint for a permit, one
 * datagram each. On the wire they are MessagePack arrays.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const durationMsSchema = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A question: 0, its id, lifetime of the endpoint, limit, and longest wait. */
const questionSchema = v.strictTuple([
  v.literal(0),
  countSchema,
  countSchema,
  v.pipe(v.number(), v.finite(), v.minValue(0)),
  durationMsSchema,
]);

/**
 * A reply: 1, the id of the question, 1 if the permit is granted, and the time
 * until it holds or until the next one, in ms.
 */
const replySchema = v.strictTuple([
  v.literal(1),
  countSchema,
  v.picklist([0, 1]),
  durationMsSchema,
]);

const messageSchema = v.union([questionSchema, replySchema]);

/** A message on the wire. */
type EncodedMessage = v.InferOutput<typeof messageSchema>;

/** Asks for a permit. */
export interface PermitQuestion {
  readonly type: 'question';
  /** Identifies the question at the router that asks. */
  readonly id: number;
  /** Hash of the lifetime of the endpoint. */
  readonly lifetime: number;
  /** The limit that the asking router knows, in requests a second. */
  readonly perSecond: number;
  readonly maxWaitMs: number;
}

/** Grants or denies a permit. */
export interface PermitReply {
  readonly type: 'reply';
  readonly id: number;
  readonly isGranted: boolean;
  /** Time until the permit holds, or until there may be one, in ms. */
  readonly delayMs: number;
}

/** A message between a router and the home of an endpoint. */
export type PermitMessage = PermitQuestion | PermitReply;

/** Encodes a message. */
export function encode(message: PermitMessage): Buffer {
  const encoded: EncodedMessage =
    message.type === 'question'
      ? [0, message.id, message.lifetime, message.perSecond, message.maxWaitMs]
      : [1, message.id, message.isGranted ? 1 : 0, message.delayMs];
  return msgpackr.pack(encoded);
}

/** Decodes a message; undefined if the bytes are not a valid one. */
export function decode(bytes: Buffer): PermitMessage | undefined {
  const parsed = v.safeParse(messageSchema, unpackOrUndefined(bytes));
  if (!parsed.success) return undefined;
  const {output} = parsed;
  if (output[0] === 0) {
    const [, id, lifetime, perSecond, maxWaitMs] = output;
    return {type: 'question', id, lifetime, perSecond, maxWaitMs};
  }
  const [, id, grantedFlag, delayMs] = output;
  return {type: 'reply', id, isGranted: grantedFlag === 1, delayMs};
}

function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
