/**
 * The digest: one datagram in which a router tells the others of itself. On the
 * wire it is an array packed by msgpackr, with endpoints as 32-bit hashes, since
 * a router sends many. The sender's address is the datagram's.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';
import type * as decide from '@oleanderrock/decide';
import * as endpointBook from './endpointbook.js';
import type * as fleetBook from './fleetbook.js';
import type * as model from './model.js';

const FORMAT = 2;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

const suspectStateSchema = v.picklist(['suspect', 'condemned', 'cleared']);

/** An endpoint: pool, address, port, failure domain, 1 if it drains, birth. */
const entrySchema = v.tuple([
  v.string(),
  v.string(),
  countSchema,
  v.string(),
  v.picklist([0, 1]),
  v.nullable(v.number()),
]);

/** Schema of a digest on the wire. */
const wireSchema = v.tuple([
  v.literal(FORMAT),
  /** Name and failure domain of the sender. */
  v.string(),
  v.string(),
  /** Its phase. */
  v.picklist(['starting', 'ready', 'leaving']),
  /** Version of its tables. */
  v.number(),
  /** How far it has read the endpoints' feed. */
  v.number(),
  /** How long it has run, in s. */
  countSchema,
  /** Endpoint, requests in flight, good and failed outcomes; zeros left out. */
  v.array(
    v.union([
      v.strictTuple([countSchema, countSchema]),
      v.strictTuple([countSchema, countSchema, countSchema, countSchema]),
    ]),
  ),
  /** Endpoints that came or left: key, offset, and the entry if there is one. */
  v.array(v.tuple([v.string(), v.number(), v.nullable(entrySchema)])),
  /** Suspect requests: signature, state, time for which it holds in ms. */
  v.array(v.tuple([v.string(), suspectStateSchema, v.number()])),
  /** Prefixes that were placed since the last digest, by endpoint. */
  v.array(v.tuple([v.string(), v.array(v.string())])),
]);

type Wire = v.InferOutput<typeof wireSchema>;

/** What a router tells of itself. */
export interface Digest {
  readonly router: model.Router;
  readonly standing: fleetBook.Standing;
  readonly inFlight: decide.Counts;
  readonly outcomes: ReadonlyMap<string, decide.Outcomes>;
  readonly changes: readonly endpointBook.EndpointItem[];
  readonly suspects: readonly decide.SuspectNote[];
  readonly placed: readonly decide.Placed[];
}

/** Outcomes travel as whole numbers of this part. */
const OUTCOME_PARTS = 10;

/** Writes a digest. */
export function encode(digest: Digest): Buffer {
  const {router, standing, inFlight, outcomes, suspects} = digest;
  const ids = new Set([...inFlight.keys(), ...outcomes.keys()]);
  const wire: Wire = [
    FORMAT,
    router.name,
    router.zone,
    standing.phase,
    standing.version,
    standing.endpointsOffset,
    standing.upS,
    [...ids].map(id => loadOf(id, inFlight.get(id) ?? 0, outcomes.get(id))),
    digest.changes.map(({key, offset, value}) => [key, offset, entryOf(value)]),
    suspects.map(({signature, state, validMs}) => [signature, state, validMs]),
    byEndpoint(digest.placed),
  ];
  return msgpackr.pack(wire);
}

/** Finds an endpoint by its hash. */
export type Named = (hash: number) => string | undefined;

/** Where a datagram came from, and how its hashes are read. */
export interface DecodeOptions {
  /** IP address of the sender. */
  readonly from: string;
  readonly named: Named;
}

/**
 * Reads a digest; undefined where the bytes are none. Loads of endpoints that
 * are not known here are left out.
 */
export function decode(
  bytes: Buffer,
  {from, named}: DecodeOptions,
): Digest | undefined {
  const parsed = v.safeParse(wireSchema, unpack(bytes));
  if (!parsed.success) return undefined;
  const [, name, zone, phase, version, endpointsOffset, upS] = parsed.output;
  const [, , , , , , , loads, changes, suspects, placed] = parsed.output;
  return {
    router: {name, address: from, zone},
    standing: {phase, version, endpointsOffset, upS},
    ...readLoads(loads, named),
    changes: changes.map(([key, offset, entry]) => {
      return {key, offset, value: readEntry(key, entry)};
    }),
    suspects: suspects.map(([signature, state, validMs]) => {
      return {signature, state, validMs};
    }),
    placed: placed.flatMap(([endpoint, prefixes]) =>
      prefixes.map(prefix => ({prefix, endpoint})),
    ),
  };
}

function entryOf(value: model.Endpoint | undefined): Wire[8][number][2] {
  if (!value) return null;
  const {pool, address, port, zone, isDraining, bornMs = null} = value;
  return [pool, address, port, zone, isDraining ? 1 : 0, bornMs];
}

function readEntry(
  id: string,
  entry: Wire[8][number][2],
): model.Endpoint | undefined {
  if (!entry) return undefined;
  const [pool, address, port, zone, draining, bornMs] = entry;
  const isDraining = draining === 1;
  const birth = bornMs === null ? {} : {bornMs};
  return {id, pool, address, port, zone, isDraining, ...birth};
}

function loadOf(
  id: string,
  inFlight: number,
  {good, failed}: decide.Outcomes = {good: 0, failed: 0},
): Wire[7][number] {
  const hash = endpointBook.hashOf(id);
  const goodParts = Math.round(good * OUTCOME_PARTS);
  const failedParts = Math.round(failed * OUTCOME_PARTS);
  if (goodParts + failedParts === 0) return [hash, inFlight];
  return [hash, inFlight, goodParts, failedParts];
}

function readLoads(
  loads: Wire[7],
  named: Named,
): Pick<Digest, 'inFlight' | 'outcomes'> {
  const inFlight = new Map<string, number>();
  const outcomes = new Map<string, decide.Outcomes>();
  for (const [hash, running, good = 0, failed = 0] of loads) {
    const id = named(hash);
    if (id === undefined) continue;
    inFlight.set(id, running);
    outcomes.set(id, {
      good: good / OUTCOME_PARTS,
      failed: failed / OUTCOME_PARTS,
    });
  }
  return {inFlight, outcomes};
}

function byEndpoint(placed: readonly decide.Placed[]): Wire[10] {
  const prefixes = new Map<string, string[]>();
  for (const {prefix, endpoint} of placed) {
    const known = prefixes.get(endpoint);
    if (known) known.push(prefix);
    else prefixes.set(endpoint, [prefix]);
  }
  return [...prefixes];
}

function unpack(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
