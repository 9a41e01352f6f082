/**
 * Digests: what routers tell each other about once a second, in one datagram.
 * On the wire a digest is an array packed by msgpackr, with names as 32-bit
 * hashes, followed by a truncated HMAC under the peers' secret.
 */
import * as nodeCrypto from 'node:crypto';
import * as core from '@oleanderrock/core';
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';

const MAC_BYTES = 8;
const FORMAT = 1;

/** Bytes of the IPv4 and UDP headers around a digest. */
export const DATAGRAM_HEADER_BYTES = 28;

const hashSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const suspectStateSchema = v.picklist(['suspect', 'condemned', 'cleared']);

/** Schema of a digest, as it stands on the wire. */
export const digestSchema = v.tuple([
  v.literal(FORMAT),
  /** The sending router. */
  hashSchema,
  /** Start of the sender's run, seconds since 1970, plus its refutations. */
  countSchema,
  /** Number of the digest within the run. */
  countSchema,
  /** Next offset of the configuration. */
  countSchema,
  /** 1 while the sender drains. */
  v.picklist([0, 1]),
  /** Counts: endpoint, requests in flight, 1 where it is usable. */
  v.array(v.tuple([hashSchema, countSchema, v.picklist([0, 1])])),
  /** Routers that are gone, with their run. */
  v.array(v.tuple([hashSchema, countSchema])),
  /** Suspect requests: signature, state, milliseconds it holds. */
  v.array(v.tuple([v.string(), suspectStateSchema, countSchema])),
  /** Use of limited customers in this minute: name, requests, tokens. */
  v.array(v.tuple([v.string(), countSchema, countSchema])),
]);

type Wire = v.InferOutput<typeof digestSchema>;

/** One endpoint's entry in a digest. */
export interface EndpointCount {
  readonly endpointHash: number;
  readonly inFlight: number;
  readonly isUsable: boolean;
}

/** A digest, names as hashes. */
export interface Digest {
  readonly routerHash: number;
  readonly incarnation: number;
  readonly sequence: number;
  readonly nextOffset: number;
  readonly isDraining: boolean;
  readonly counts: readonly EndpointCount[];
  readonly down: ReadonlyArray<{routerHash: number; incarnation: number}>;
  readonly suspects: ReadonlyArray<{
    signature: string;
    state: v.InferOutput<typeof suspectStateSchema>;
    validMs: number;
  }>;
  readonly uses: ReadonlyArray<{
    customer: string;
    requests: number;
    tokens: number;
  }>;
}

function mac(secret: string, packed: Buffer): Buffer {
  return nodeCrypto
    .createHmac('sha256', secret)
    .update(packed)
    .digest()
    .subarray(0, MAC_BYTES);
}

function toWire(digest: Digest): Wire {
  return [
    FORMAT,
    digest.routerHash,
    digest.incarnation,
    digest.sequence,
    digest.nextOffset,
    digest.isDraining ? 1 : 0,
    digest.counts.map(item => [
      item.endpointHash,
      item.inFlight,
      item.isUsable ? 1 : 0,
    ]),
    digest.down.map(item => [item.routerHash, item.incarnation]),
    digest.suspects.map(item => [item.signature, item.state, item.validMs]),
    digest.uses.map(item => [item.customer, item.requests, item.tokens]),
  ];
}

function fromWire(wire: Wire): Digest {
  const [, routerHash, incarnation, sequence, nextOffset, draining] = wire;
  const [, , , , , , counts, down, suspects, uses] = wire;
  return {
    routerHash,
    incarnation,
    sequence,
    nextOffset,
    isDraining: draining === 1,
    counts: counts.map(([endpointHash, inFlight, usable]) => ({
      endpointHash,
      inFlight,
      isUsable: usable === 1,
    })),
    down: down.map(([router, run]) => ({
      routerHash: router,
      incarnation: run,
    })),
    suspects: suspects.map(([signature, state, validMs]) => ({
      signature,
      state,
      validMs,
    })),
    uses: uses.map(([customer, requests, tokens]) => ({
      customer,
      requests,
      tokens,
    })),
  };
}

/** Packs and signs a digest. */
export function encode(digest: Digest, secret: string): Buffer {
  const packed = msgpackr.pack(toWire(digest));
  return Buffer.concat([packed, mac(secret, packed)]);
}

/** Checks and unpacks a datagram; undefined where it is not a digest. */
export function decode(datagram: Buffer, secret: string): Digest | undefined {
  if (datagram.length <= MAC_BYTES) return undefined;
  const packed = datagram.subarray(0, -MAC_BYTES);
  const given = datagram.subarray(-MAC_BYTES);
  if (!nodeCrypto.timingSafeEqual(given, mac(secret, packed))) return undefined;
  const parsed = v.safeParse(digestSchema, unpack(packed));
  return parsed.success ? fromWire(parsed.output) : undefined;
}

function unpack(packed: Buffer): unknown {
  try {
    return msgpackr.unpack(packed);
  } catch {
    return undefined;
  }
}

/** Tells digests that came late or twice from those that tell something new. */
export class OrderGuard {
  private readonly newest = new Map<number, [number, number]>();

  /** Whether the digest is newer than all others of its router so far. */
  accepts({routerHash, incarnation, sequence}: Digest): boolean {
    const [lastRun, lastSequence] = this.newest.get(routerHash) ?? [-1, -1];
    const isOld =
      incarnation < lastRun ||
      (incarnation === lastRun && sequence <= lastSequence);
    if (!isOld) this.newest.set(routerHash, [incarnation, sequence]);
    return !isOld;
  }
}

/** Finds names by their hashes. */
export class NameIndex {
  private names = new Map<number, string>();
  private source: readonly string[] = [];

  /** Replaces the names that can be found. */
  update(names: readonly string[]): void {
    if (names.length === this.source.length) {
      const isSame = names.every((name, index) => name === this.source[index]);
      if (isSame) return;
    }
    this.source = names;
    this.names = new Map(names.map(name => [core.hash32(name), name]));
  }

  find(hash: number): string | undefined {
    return this.names.get(hash);
  }
}
