/**
 * Digests: the state that routers send each other about once a second, in one
 * UDP datagram. On the wire a digest is an array encoded as MessagePack, with
 * names as 32-bit hashes, followed by a truncated HMAC under the peer token.
 */
import * as nodeCrypto from 'node:crypto';
import * as core from '@oleanderrock/core';
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';

const MAC_BYTES = 8;
const FORMAT_VERSION = 1;

/** Size of the IPv4 and UDP headers of a digest, in bytes. */
export const DATAGRAM_HEADER_BYTES = 28;

const hashSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const suspectStateSchema = v.picklist(['suspect', 'condemned', 'cleared']);

/** Endpoint: name hash, requests in flight, 1 where it is usable. */
const endpointSchema = v.tuple([hashSchema, countSchema, v.picklist([0, 1])]);
/** Router that is down: name hash, incarnation. */
const downSchema = v.tuple([hashSchema, countSchema]);
/** Suspect request: signature, state, validity in ms. */
const suspectSchema = v.tuple([v.string(), suspectStateSchema, countSchema]);
/** Usage of a limited customer in this minute: name, requests, tokens. */
const usageSchema = v.tuple([v.string(), countSchema, countSchema]);

/** Schema of the wire form of a digest. */
export const digestSchema = v.tuple([
  v.literal(FORMAT_VERSION),
  /** Hash of the sending router's name. */
  hashSchema,
  /** Incarnation: start of the sender in Unix seconds, plus its refutations. */
  countSchema,
  /** Sequence number of the digest within the incarnation. */
  countSchema,
  /** The sender's next offset in the configuration log. */
  countSchema,
  /** 1 while the sender drains. */
  v.picklist([0, 1]),
  core.validItems(endpointSchema),
  core.validItems(downSchema),
  core.validItems(suspectSchema),
  core.validItems(usageSchema),
]);

type WireDigest = v.InferOutput<typeof digestSchema>;

/** One endpoint's entry in a digest. */
export interface EndpointCount {
  readonly endpointHash: number;
  readonly inFlight: number;
  readonly isUsable: boolean;
}

/** A decoded digest; names are still hashes. */
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
  readonly usage: ReadonlyArray<{
    customer: string;
    requests: number;
    tokens: number;
  }>;
}

function sign(secret: string, packed: Buffer): Buffer {
  return nodeCrypto
    .createHmac('sha256', secret)
    .update(packed)
    .digest()
    .subarray(0, MAC_BYTES);
}

/** The nearest count; remaining times are fractions of milliseconds. */
function toCount(value: number): number {
  return Number.isFinite(value) ? Math.max(0, Math.round(value)) : 0;
}

function toWire(digest: Digest): WireDigest {
  return [
    FORMAT_VERSION,
    digest.routerHash,
    digest.incarnation,
    digest.sequence,
    digest.nextOffset,
    digest.isDraining ? 1 : 0,
    digest.counts.map(item => [
      item.endpointHash,
      toCount(item.inFlight),
      item.isUsable ? 1 : 0,
    ]),
    digest.down.map(item => [item.routerHash, item.incarnation]),
    digest.suspects.map(({signature, state, validMs}) => [
      signature,
      state,
      toCount(validMs),
    ]),
    digest.usage.map(({customer, requests, tokens}) => [
      customer,
      toCount(requests),
      toCount(tokens),
    ]),
  ];
}

function fromWire(wire: WireDigest): Digest {
  const [, routerHash, incarnation, sequence, nextOffset, draining] = wire;
  const [, , , , , , counts, down, suspects, usage] = wire;
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
    down: down.map(([downHash, downIncarnation]) => ({
      routerHash: downHash,
      incarnation: downIncarnation,
    })),
    suspects: suspects.map(([signature, state, validMs]) => ({
      signature,
      state,
      validMs,
    })),
    usage: usage.map(([customer, requests, tokens]) => ({
      customer,
      requests,
      tokens,
    })),
  };
}

/** Encodes a digest and appends its MAC. */
export function encode(digest: Digest, secret: string): Buffer {
  const packed = msgpackr.pack(toWire(digest));
  return Buffer.concat([packed, sign(secret, packed)]);
}

/** Verifies and decodes a datagram; undefined where it is no valid digest. */
export function decode(datagram: Buffer, secret: string): Digest | undefined {
  if (datagram.length <= MAC_BYTES) return undefined;
  const packed = datagram.subarray(0, -MAC_BYTES);
  const mac = datagram.subarray(-MAC_BYTES);
  if (!nodeCrypto.timingSafeEqual(mac, sign(secret, packed))) return undefined;
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

/** Rejects digests that arrive out of order or twice. */
export class SequenceFilter {
  private readonly newestByRouter = new Map<number, [number, number]>();

  /** Whether the digest is its router's newest so far; if so, records it. */
  accept({routerHash, incarnation, sequence}: Digest): boolean {
    const [lastIncarnation, lastSequence] = this.newestByRouter.get(
      routerHash,
    ) ?? [-1, -1];
    const isOld =
      incarnation < lastIncarnation ||
      (incarnation === lastIncarnation && sequence <= lastSequence);
    if (!isOld) this.newestByRouter.set(routerHash, [incarnation, sequence]);
    return !isOld;
  }
}

/** Finds names by their 32-bit hash. */
export class NameIndex {
  private namesByHash = new Map<number, string>();
  private indexedNames: readonly string[] = [];

  /** Replaces the indexed names. */
  update(names: readonly string[]): void {
    if (names.length === this.indexedNames.length) {
      const isSame = names.every(
        (name, index) => name === this.indexedNames[index],
      );
      if (isSame) return;
    }
    this.indexedNames = names;
    this.namesByHash = new Map(names.map(name => [core.hash32(name), name]));
  }

  find(hash: number): string | undefined {
    return this.namesByHash.get(hash);
  }
}
