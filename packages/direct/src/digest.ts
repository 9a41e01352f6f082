/**
 * The digest: one datagram with the sender's status, load and recent changes.
 * On the wire it is a MessagePack array whose load entries identify endpoints
 * by 32-bit hashes, since a router sends many digests. The sender's address is
 * that of the datagram.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';
import type * as decide from '@oleanderrock/decide';
import * as endpointRegistry from './endpointregistry.js';
import type * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';

const FORMAT_VERSION = 2;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

const suspectStateSchema = v.picklist(['suspect', 'condemned', 'cleared']);

/**
 * An endpoint: pool, address, port, failure domain, 1 if it is draining, and
 * start time.
 */
const endpointSchema = v.tuple([
  v.string(),
  v.string(),
  countSchema,
  v.string(),
  v.picklist([0, 1]),
  v.nullable(v.number()),
]);

/** Schema of a digest on the wire. */
const digestSchema = v.tuple([
  v.literal(FORMAT_VERSION),
  /** Name and failure domain of the sender. */
  v.string(),
  v.string(),
  /** Phase of the sender. */
  v.picklist(['starting', 'ready', 'leaving']),
  /** Version of the sender's tables. */
  v.number(),
  /** Next offset of the sender in the endpoints' feed. */
  v.number(),
  /** Uptime of the sender, in s. */
  countSchema,
  /**
   * Load by endpoint: hash, requests in flight, and scaled counts of good and
   * failed outcomes, which are left out if both are 0.
   */
  v.array(
    v.union([
      v.strictTuple([countSchema, countSchema]),
      v.strictTuple([countSchema, countSchema, countSchema, countSchema]),
    ]),
  ),
  /**
   * Endpoints that appeared or disappeared: key, offset, and the endpoint or
   * null.
   */
  v.array(v.tuple([v.string(), v.number(), v.nullable(endpointSchema)])),
  /** Suspect requests: signature, state, and remaining validity in ms. */
  v.array(v.tuple([v.string(), suspectStateSchema, v.number()])),
  /** Prefixes placed since the last digest, by endpoint. */
  v.array(v.tuple([v.string(), v.array(v.string())])),
]);

type EncodedDigest = v.InferOutput<typeof digestSchema>;

/** The content of a digest. */
export interface Digest {
  readonly router: model.Router;
  readonly status: fleetRegistry.RouterStatus;
  readonly inFlight: decide.InFlightCounts;
  readonly outcomes: ReadonlyMap<string, decide.Outcomes>;
  readonly endpointChanges: readonly endpointRegistry.EndpointRecord[];
  readonly suspects: readonly decide.SuspectNote[];
  readonly placements: readonly decide.PrefixLocation[];
}

/**
 * Factor by which decayed outcome counts are multiplied before they are rounded
 * to integers.
 */
const OUTCOME_SCALE = 10;

/** Encodes a digest. */
export function encode(digest: Digest): Buffer {
  const {router, status, inFlight, outcomes, suspects} = digest;
  const ids = new Set([...inFlight.keys(), ...outcomes.keys()]);
  const encoded: EncodedDigest = [
    FORMAT_VERSION,
    router.name,
    router.zone,
    status.phase,
    status.version,
    status.endpointsOffset,
    status.uptimeS,
    [...ids].map(id => encodeLoad(id, inFlight.get(id) ?? 0, outcomes.get(id))),
    digest.endpointChanges.map(({key, offset, value}) => [
      key,
      offset,
      encodeEndpoint(value),
    ]),
    suspects.map(({signature, state, validMs}) => [signature, state, validMs]),
    groupByEndpoint(digest.placements),
  ];
  return msgpackr.pack(encoded);
}

/** Finds the id of the endpoint with the hash; undefined if none has it. */
export type FindIdByHash = (hash: number) => string | undefined;

/** Options for decoding a digest. */
export interface DecodeOptions {
  /** IP address of the sender. */
  readonly senderAddress: string;
  readonly findIdByHash: FindIdByHash;
}

/**
 * Decodes a digest; undefined if the bytes are not a valid digest. Loads of
 * endpoints unknown to this router are left out.
 */
export function decode(
  bytes: Buffer,
  {senderAddress, findIdByHash}: DecodeOptions,
): Digest | undefined {
  const parsed = v.safeParse(digestSchema, unpackOrUndefined(bytes));
  if (!parsed.success) return undefined;
  const [, name, zone, phase, version, endpointsOffset, uptimeS] =
    parsed.output;
  const [, , , , , , , loads, endpointChanges, suspects, placements] =
    parsed.output;
  return {
    router: {name, address: senderAddress, zone},
    status: {phase, version, endpointsOffset, uptimeS},
    ...decodeLoads(loads, findIdByHash),
    endpointChanges: endpointChanges.map(([key, offset, encoded]) => {
      return {key, offset, value: decodeEndpoint(key, encoded)};
    }),
    suspects: suspects.map(([signature, state, validMs]) => {
      return {signature, state, validMs};
    }),
    placements: placements.flatMap(([endpoint, prefixes]) =>
      prefixes.map(prefix => ({prefix, endpoint})),
    ),
  };
}

function encodeEndpoint(
  value: model.Endpoint | undefined,
): EncodedDigest[8][number][2] {
  if (!value) return null;
  const {pool, address, port, zone, isDraining, bornMs = null} = value;
  return [pool, address, port, zone, isDraining ? 1 : 0, bornMs];
}

function decodeEndpoint(
  id: string,
  encoded: EncodedDigest[8][number][2],
): model.Endpoint | undefined {
  if (!encoded) return undefined;
  const [pool, address, port, zone, drainingFlag, bornMs] = encoded;
  const isDraining = drainingFlag === 1;
  const startTime = bornMs === null ? {} : {bornMs};
  return {id, pool, address, port, zone, isDraining, ...startTime};
}

function encodeLoad(
  id: string,
  inFlight: number,
  {good, failed}: decide.Outcomes = {good: 0, failed: 0},
): EncodedDigest[7][number] {
  const hash = endpointRegistry.endpointHash(id);
  const scaledGood = Math.round(good * OUTCOME_SCALE);
  const scaledFailed = Math.round(failed * OUTCOME_SCALE);
  if (scaledGood + scaledFailed === 0) return [hash, inFlight];
  return [hash, inFlight, scaledGood, scaledFailed];
}

function decodeLoads(
  loads: EncodedDigest[7],
  findIdByHash: FindIdByHash,
): Pick<Digest, 'inFlight' | 'outcomes'> {
  const inFlight = new Map<string, number>();
  const outcomes = new Map<string, decide.Outcomes>();
  for (const [hash, requestCount, good = 0, failed = 0] of loads) {
    const id = findIdByHash(hash);
    if (id === undefined) continue;
    inFlight.set(id, requestCount);
    outcomes.set(id, {
      good: good / OUTCOME_SCALE,
      failed: failed / OUTCOME_SCALE,
    });
  }
  return {inFlight, outcomes};
}

function groupByEndpoint(
  placements: readonly decide.PrefixLocation[],
): EncodedDigest[10] {
  const prefixes = new Map<string, string[]>();
  for (const {prefix, endpoint} of placements) {
    const existing = prefixes.get(endpoint);
    if (existing) existing.push(prefix);
    else prefixes.set(endpoint, [prefix]);
  }
  return [...prefixes];
}

function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
