/**
 * Notes on crashes of endpoints, on the wire: as an item of a digest, and as a
 * datagram of their own.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';
import * as decide from '@oleanderrock/decide';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of a crash key. */
export const keySchema = v.pipe(v.string(), v.maxLength(decide.MAX_KEY_LENGTH));

/** Schema of a note: crash, id of the reporter, age, and crash keys. */
export const noteSchema = v.tuple([
  countSchema,
  countSchema,
  countSchema,
  v.pipe(v.array(keySchema), v.maxLength(decide.MAX_NOTE_KEYS)),
]);

const notesSchema = v.array(noteSchema);

/** A note on the wire. */
export type EncodedNote = v.InferOutput<typeof noteSchema>;

/** Unit of ages on the wire, in ms. */
export const AGE_UNIT_MS = 20;

/** Age on the wire of what happened at `atMs`. */
export function encodeAge(atMs: number, nowMs: number): number {
  return Math.max(0, Math.round((nowMs - atMs) / AGE_UNIT_MS));
}

/** Encodes a note. Its age is counted up to `nowMs`. */
export function encodeNote(
  {crash, reporter, atMs, keys}: decide.CrashNote,
  nowMs: number,
): EncodedNote {
  return [crash, reporter, encodeAge(atMs, nowMs), [...keys]];
}

/** Decodes a note. Its age is counted back from `nowMs`. */
export function decodeNote(
  [crash, reporter, age, keys]: EncodedNote,
  nowMs: number,
): decide.CrashNote {
  return {crash, reporter, atMs: nowMs - age * AGE_UNIT_MS, keys};
}

/** Encodes a datagram of notes. Ages are counted up to `nowMs`. */
export function encode(
  notes: readonly decide.CrashNote[],
  nowMs: number,
): Buffer {
  const encoded = notes.map(note => encodeNote(note, nowMs));
  return msgpackr.pack(encoded);
}

/** Decodes a datagram of notes; undefined if the bytes are not a valid one. */
export function decode(
  bytes: Buffer,
  nowMs: number,
): readonly decide.CrashNote[] | undefined {
  const parsed = v.safeParse(notesSchema, unpackOrUndefined(bytes));
  if (!parsed.success) return undefined;
  return parsed.output.map(note => decodeNote(note, nowMs));
}

function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
