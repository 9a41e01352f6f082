/**
 * The digest: one datagram in which a router tells the others of itself. Names
 * are short, since a router sends many.
 */
import * as v from 'valibot';
import type * as decide from '@oleanderrock/decide';
import * as endpointBook from './endpointbook.js';
import type * as fleetBook from './fleetbook.js';
import * as model from './model.js';

const noteSchema = v.object({
  signature: v.string(),
  state: v.picklist(['suspect', 'condemned', 'cleared']),
  validMs: v.number(),
});

/** Schema of a digest on the wire. */
const wireSchema = v.object({
  /** The sender. */
  r: model.routerSchema,
  /** Its phase. */
  p: v.picklist(['starting', 'ready', 'leaving']),
  /** Version of its tables. */
  v: v.number(),
  /** How far it has read the endpoints' feed. */
  e: v.number(),
  /** By short name: in flight, good and failed outcomes times 10. */
  l: v.record(v.string(), v.tuple([v.number(), v.number(), v.number()])),
  /** Endpoints that leave, with the offsets of their records. */
  d: v.array(v.tuple([v.string(), v.number()])),
  /** Suspect requests. */
  s: v.array(noteSchema),
  /** Prefixes that were placed since the last digest, by endpoint. */
  c: v.record(v.string(), v.array(v.string())),
});

/** What a router tells of itself. */
export interface Digest {
  readonly router: model.Router;
  readonly standing: fleetBook.Standing;
  readonly inFlight: decide.Counts;
  readonly outcomes: ReadonlyMap<string, decide.Outcomes>;
  readonly leavers: ReturnType<endpointBook.EndpointBook['leavers']>;
  readonly suspects: readonly decide.SuspectNote[];
  readonly placed: readonly decide.Placed[];
}

/** Outcomes travel as whole numbers of this part. */
const OUTCOME_PARTS = 10;

/** Writes a digest. */
export function encode(digest: Digest): Buffer {
  const {router, standing, inFlight, outcomes} = digest;
  const load: Record<string, [number, number, number]> = {};
  for (const id of new Set([...inFlight.keys(), ...outcomes.keys()])) {
    const {good, failed} = outcomes.get(id) ?? {good: 0, failed: 0};
    load[endpointBook.shortName(id)] = [
      inFlight.get(id) ?? 0,
      Math.round(good * OUTCOME_PARTS),
      Math.round(failed * OUTCOME_PARTS),
    ];
  }
  const wire: v.InferInput<typeof wireSchema> = {
    r: router,
    p: standing.phase,
    v: standing.version,
    e: standing.endpointsOffset,
    l: load,
    d: digest.leavers.map(([id, offset]) => [id, offset]),
    s: [...digest.suspects],
    c: byEndpoint(digest.placed),
  };
  return Buffer.from(JSON.stringify(wire));
}

/** Finds an endpoint by its short name. */
export type Named = (short: string) => string | undefined;

/**
 * Reads a digest; undefined where the bytes are none. Loads of endpoints that
 * are not known here are left out.
 */
export function decode(bytes: Buffer, named: Named): Digest | undefined {
  const parsed = v.safeParse(wireSchema, parseJson(bytes));
  if (!parsed.success) return undefined;
  const {r: router, p: phase, v: version, e, l, d, s, c} = parsed.output;
  const inFlight = new Map<string, number>();
  const outcomes = new Map<string, decide.Outcomes>();
  for (const [short, [running, good, failed]] of Object.entries(l)) {
    const id = named(short);
    if (id === undefined) continue;
    inFlight.set(id, running);
    outcomes.set(id, {
      good: good / OUTCOME_PARTS,
      failed: failed / OUTCOME_PARTS,
    });
  }
  const standing = {phase, version, endpointsOffset: e};
  const placed = Object.entries(c).flatMap(([endpoint, prefixes]) =>
    prefixes.map(prefix => ({prefix, endpoint})),
  );
  const told = {leavers: d, suspects: s, placed};
  return {router, standing, inFlight, outcomes, ...told};
}

function byEndpoint(placed: readonly decide.Placed[]) {
  const prefixes: Record<string, string[]> = {};
  for (const {prefix, endpoint} of placed) {
    (prefixes[endpoint] ??= []).push(prefix);
  }
  return prefixes;
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
