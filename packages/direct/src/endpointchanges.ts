/**
 * The encoding of changes of endpoints in digests. An endpoint that drains is
 * known to the receivers, so it is told by its hash, and many fit in a datagram.
 */
import * as v from 'valibot';
import * as endpointRegistry from './endpointregistry.js';
import * as model from './model.js';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/**
 * An endpoint: pool, address, port, failure domain, 1 if it is draining, start
 * time, for how long it is still cold, in ms, and the version of its software.
 */
const endpointSchema = v.tuple([
  v.string(),
  v.string(),
  countSchema,
  v.string(),
  v.picklist([0, 1]),
  v.nullable(v.number()),
  v.optional(countSchema, 0),
  v.optional(v.nullable(v.string()), null),
]);

/**
 * A change: key, offset, and the endpoint or null; of one that drains only its
 * hash, the offset and its start time.
 */
export const changeSchema = v.union([
  v.strictTuple([v.string(), v.number(), v.nullable(endpointSchema)]),
  v.strictTuple([countSchema, v.number(), v.nullable(v.number())]),
]);

type EncodedEndpoint = v.InferOutput<typeof endpointSchema>;
type EncodedChange = v.InferOutput<typeof changeSchema>;

/** Finds the id of the endpoint with the hash; undefined if none has it. */
export type FindIdByHash = (hash: number) => string | undefined;

/** Finds the endpoint with the id; undefined if there is none. */
export type FindEndpoint = (id: string) => model.Endpoint | undefined;

/** Encodes a change. */
export function encode({
  key,
  offset,
  value,
}: endpointRegistry.EndpointRecord): EncodedChange {
  if (!value?.isDraining) return [key, offset, encodeEndpoint(value)];
  return [endpointRegistry.endpointHash(key), offset, value.bornMs ?? null];
}

/**
 * Decodes a change; undefined if its endpoint cannot be used, or if it is that a
 * lifetime drains which is not known here, and so gets no requests.
 */
export function decode(
  change: EncodedChange,
  findIdByHash: FindIdByHash,
  findEndpoint: FindEndpoint,
): endpointRegistry.EndpointRecord | undefined {
  const [key, offset] = change;
  if (typeof key === 'string') {
    const encoded = change[2] as EncodedEndpoint | null;
    if (!encoded) return {key, offset, value: undefined};
    const value = decodeEndpoint(key, encoded);
    return value && {key, offset, value};
  }
  const id = findIdByHash(key);
  const known = id === undefined ? undefined : findEndpoint(id);
  if (!known || (known.bornMs ?? null) !== change[2]) return undefined;
  return {key: known.id, offset, value: {...known, isDraining: true}};
}

function encodeEndpoint(
  value: model.Endpoint | undefined,
): EncodedEndpoint | null {
  if (!value) return null;
  const {pool, address, port, zone, isDraining, bornMs = null} = value;
  const warmupLeftMs = Math.ceil(value.warmupLeftMs ?? 0);
  const draining = isDraining ? 1 : 0;
  const version = value.softwareVersion ?? null;
  return [pool, address, port, zone, draining, bornMs, warmupLeftMs, version];
}

function decodeEndpoint(
  id: string,
  encoded: EncodedEndpoint,
): model.Endpoint | undefined {
  const [pool, address, port, zone, drainingFlag, bornMs, leftMs, version] =
    encoded;
  const isDraining = drainingFlag === 1;
  const startTime = bornMs === null ? {} : {bornMs};
  const parsed = v.safeParse(model.endpointSchema, {
    id,
    pool,
    address,
    port,
    zone,
    isDraining,
    ...startTime,
    ...(leftMs > 0 ? {warmupLeftMs: leftMs} : {}),
    ...(version === null ? {} : {softwareVersion: version}),
  });
  return parsed.success ? parsed.output : undefined;
}
