/**
 * The digest: one datagram with the sender's status and news. On the wire it is
 * a MessagePack array that identifies endpoints by 32-bit hashes, since a router
 * sends many digests. The sender's address is that of the datagram.
 */
import * as msgpackr from 'msgpackr';
import * as v from 'valibot';
import * as decide from '@oleanderrock/decide';
import * as crashNotes from './crashnotes.js';
import * as endpointChanges from './endpointchanges.js';
import * as endpointRegistry from './endpointregistry.js';
import type * as fleetRegistry from './fleetregistry.js';
import * as model from './model.js';

const FORMAT_VERSION = 6;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A flat array of whole numbers, checked in one pass. */
const countsSchema = v.custom<number[]>(
  value =>
    Array.isArray(value) &&
    value.every(item => Number.isSafeInteger(item) && item >= 0),
);

/** Phases of a member; on the wire, the index. */
const PHASES = ['starting', 'ready', 'leaving', 'down'] as const;
const phaseSchema = v.picklist([0, 1, 2, 3]);

const flagSchema = v.picklist([0, 1]);

/**
 * A note about a router: name, address, failure domain, epoch, phase, and 1 if
 * it cannot read the store.
 */
const memberSchema = v.tuple([
  v.string(),
  v.string(),
  v.string(),
  countSchema,
  phaseSchema,
  flagSchema,
]);

/** Schema of a digest on the wire. */
const digestSchema = v.tuple([
  v.literal(FORMAT_VERSION),
  /** The sender's note about itself. */
  memberSchema,
  /** 1 if the sender expects a digest in reply. */
  flagSchema,
  /** Version of the sender's tables. */
  v.number(),
  /** Fingerprints of the endpoints and of the members that it knows. */
  countSchema,
  countSchema,
  /** Uptime of the sender, in s. */
  countSchema,
  /**
   * Load by endpoint: hash, requests in flight, scaled counts of good and failed
   * outcomes, and scaled work left. What is 0 is left out from the end on. Null
   * if the sender does not tell its load to all routers.
   */
  v.nullable(
    v.array(
      v.union([
        v.strictTuple([countSchema, countSchema]),
        v.strictTuple([countSchema, countSchema, countSchema, countSchema]),
        v.strictTuple([
          countSchema,
          countSchema,
          countSchema,
          countSchema,
          countSchema,
        ]),
      ]),
    ),
  ),
  /** Endpoints that appeared or disappeared. */
  v.array(endpointChanges.changeSchema),
  /** Crashes of endpoints. */
  v.array(crashNotes.noteSchema),
  /** Crash keys that are proved sound, each with the age of the proof. */
  v.array(v.tuple([crashNotes.keySchema, countSchema])),
  /** Prefixes that were placed, by hash of the endpoint. */
  v.array(v.tuple([countSchema, v.array(v.string())])),
  /** Reports of endpoints, each as hash, requests in flight, and age. */
  countsSchema,
  /** Failures, each as id, hash of the endpoint, 1 if unreachable, and age. */
  countsSchema,
  /** Notes about other routers. */
  v.array(memberSchema),
  /**
   * Limits that endpoints named: hash of the endpoint, its start time, requests
   * a second or null if there is no limit any more, and age.
   */
  v.array(
    v.tuple([
      countSchema,
      v.nullable(v.number()),
      v.nullable(v.pipe(v.number(), v.finite(), v.minValue(0))),
      countSchema,
    ]),
  ),
  /**
   * Evacuations of failure domains: zone, offset of the record, and 0 if it was
   * withdrawn.
   */
  v.optional(v.array(v.tuple([v.string(), v.number(), flagSchema])), []),
  /** Cold endpoints: hash, start time, and for how long they are, in ms. */
  v.optional(
    v.array(v.tuple([countSchema, v.nullable(v.number()), countSchema])),
    [],
  ),
]);

type EncodedDigest = v.InferOutput<typeof digestSchema>;
type EncodedMember = v.InferOutput<typeof memberSchema>;
type EncodedLoad = NonNullable<EncodedDigest[7]>[number];

/** The news in a digest. */
export interface DigestNews {
  readonly endpointChanges: readonly endpointRegistry.EndpointRecord[];
  readonly crashes: readonly decide.CrashNote[];
  readonly proofs: readonly decide.ProofNote[];
  readonly placements: readonly decide.PrefixLocation[];
  readonly failures: readonly decide.FailureNote[];
  readonly limits: readonly decide.LimitNote[];
  readonly cold: readonly decide.ColdNote[];
  readonly members: readonly decide.MemberNote[];
}

/** The load that a router tells all others. */
export interface DigestLoad {
  readonly inFlight: decide.InFlightCounts;
  readonly outcomes: ReadonlyMap<string, decide.Outcomes>;
  readonly workLeft: decide.WorkByEndpoint;
}

/** The content of a digest. */
export interface Digest {
  readonly sender: decide.MemberNote;
  readonly wantsReply: boolean;
  readonly status: fleetRegistry.RouterStatus;
  /** Absent in large fleets, where a digest goes to few routers. */
  readonly load?: DigestLoad;
  readonly reports: readonly decide.EndpointReport[];
  readonly evacuations: readonly decide.EvacuationRecord[];
  readonly news: DigestNews;
}

/**
 * Factor by which decayed outcome counts are multiplied before they are rounded
 * to integers.
 */
const OUTCOME_SCALE = 10;

/** Unit of work left, in ms. */
const WORK_UNIT_MS = 4;

/** Numbers per report and per failure. */
const REPORT_FIELDS = 3;
const FAILURE_FIELDS = 4;

/** Encodes a digest. Ages are counted up to `nowMs`. */
export function encode(digest: Digest, nowMs: number): Buffer {
  const {sender, wantsReply, status, load, reports, evacuations, news} = digest;
  const ageOf = (atMs: number) => crashNotes.encodeAge(atMs, nowMs);
  const encoded: EncodedDigest = [
    FORMAT_VERSION,
    encodeMember(sender),
    wantsReply ? 1 : 0,
    status.version,
    status.endpointsFingerprint,
    status.membersFingerprint,
    status.uptimeS,
    load ? encodeLoads(load) : null,
    news.endpointChanges.map(endpointChanges.encode),
    news.crashes.map(note => crashNotes.encodeNote(note, nowMs)),
    news.proofs.map(({key, atMs}) => [key, ageOf(atMs)]),
    groupByEndpoint(news.placements),
    reports.flatMap(({endpoint, inFlight, observedAtMs}) => [
      endpointRegistry.endpointHash(endpoint),
      inFlight,
      ageOf(observedAtMs),
    ]),
    news.failures.flatMap(({id, endpoint, isUnreachable, observedAtMs}) => [
      id,
      endpointRegistry.endpointHash(endpoint),
      isUnreachable ? 1 : 0,
      ageOf(observedAtMs),
    ]),
    news.members.map(encodeMember),
    news.limits.map(({id, bornMs = null, perSecond = null, observedAtMs}) => [
      endpointRegistry.endpointHash(id),
      bornMs,
      perSecond,
      ageOf(observedAtMs),
    ]),
    evacuations.map(({zone, offset, isEvacuated}) => [
      zone,
      offset,
      isEvacuated ? 1 : 0,
    ]),
    news.cold.map(({id, bornMs = null, untilMs}) => [
      endpointRegistry.endpointHash(id),
      bornMs,
      Math.max(0, Math.ceil(untilMs - nowMs)),
    ]),
  ];
  return msgpackr.pack(encoded);
}

/** Options for decoding a digest. */
export interface DecodeOptions {
  /** IP address of the sender. */
  readonly senderAddress: string;
  readonly findIdByHash: endpointChanges.FindIdByHash;
  readonly findEndpoint: endpointChanges.FindEndpoint;
  /** Time from which ages are counted back, in ms. */
  readonly nowMs: number;
}

/**
 * Decodes a digest; undefined if the bytes are not a valid digest. News of
 * endpoints unknown to this router are left out.
 */
export function decode(
  bytes: Buffer,
  {senderAddress, findIdByHash, findEndpoint, nowMs}: DecodeOptions,
): Digest | undefined {
  const parsed = v.safeParse(digestSchema, unpackOrUndefined(bytes));
  if (!parsed.success) return undefined;
  const [
    ,
    sender,
    wantsReplyFlag,
    version,
    endpointsFingerprint,
    membersFingerprint,
    uptimeS,
    loads,
    changes,
    crashes,
    proofs,
    placements,
    reports,
    failures,
    members,
    limits,
    evacuations,
    cold,
  ] = parsed.output;
  const note = decodeMember(sender);
  const timeOf = (age: number) => nowMs - age * crashNotes.AGE_UNIT_MS;
  return {
    sender: {...note, router: {...note.router, address: senderAddress}},
    wantsReply: wantsReplyFlag === 1,
    status: {version, endpointsFingerprint, membersFingerprint, uptimeS},
    ...(loads ? {load: decodeLoads(loads, findIdByHash)} : {}),
    reports: decodeReports(reports, findIdByHash, nowMs),
    evacuations: evacuations.map(([zone, offset, flag]) => {
      return {zone, offset, isEvacuated: flag === 1};
    }),
    news: {
      endpointChanges: changes.flatMap(
        change =>
          endpointChanges.decode(change, findIdByHash, findEndpoint) ?? [],
      ),
      crashes: crashes.map(note => crashNotes.decodeNote(note, nowMs)),
      proofs: proofs.map(([key, age]) => ({key, atMs: timeOf(age)})),
      placements: placements.flatMap(([hash, prefixes]) => {
        const endpoint = findIdByHash(hash);
        if (endpoint === undefined) return [];
        return prefixes.map(prefix => ({prefix, endpoint}));
      }),
      failures: decodeFailures(failures, findIdByHash, nowMs),
      limits: decodeLimits(limits, findIdByHash, timeOf),
      cold: cold.flatMap(([hash, bornMs, leftMs]) => {
        const id = findIdByHash(hash);
        if (id === undefined) return [];
        return [{id, bornMs: bornMs ?? undefined, untilMs: nowMs + leftMs}];
      }),
      members: members
        .map(decodeMember)
        .filter(({router}) => v.is(model.routerSchema, router)),
    },
  };
}

function encodeMember(note: decide.MemberNote): EncodedMember {
  const {router, epoch, phase, isStoreLost} = note;
  const {name, address, zone} = router;
  const phaseIndex = PHASES.indexOf(phase) as EncodedMember[4];
  return [name, address, zone, epoch, phaseIndex, isStoreLost ? 1 : 0];
}

function decodeMember(encoded: EncodedMember): decide.MemberNote {
  const [name, address, zone, epoch, phaseIndex, storeLostFlag] = encoded;
  return {
    router: {name, address, zone},
    epoch,
    phase: PHASES[phaseIndex],
    isStoreLost: storeLostFlag === 1,
  };
}

function encodeLoads(load: DigestLoad): EncodedLoad[] {
  const {inFlight, outcomes, workLeft} = load;
  const ids = new Set([
    ...inFlight.keys(),
    ...outcomes.keys(),
    ...workLeft.keys(),
  ]);
  return [...ids].map(id => encodeLoad(id, load));
}

function encodeLoad(
  id: string,
  {inFlight, outcomes, workLeft}: DigestLoad,
): EncodedLoad {
  const hash = endpointRegistry.endpointHash(id);
  const requestCount = inFlight.get(id) ?? 0;
  const {good, failed} = outcomes.get(id) ?? {good: 0, failed: 0};
  const scaledWork = Math.round((workLeft.get(id) ?? 0) / WORK_UNIT_MS);
  const scaledGood = Math.round(good * OUTCOME_SCALE);
  const scaledFailed = Math.round(failed * OUTCOME_SCALE);
  if (scaledWork > 0) {
    return [hash, requestCount, scaledGood, scaledFailed, scaledWork];
  }
  if (scaledGood + scaledFailed === 0) return [hash, requestCount];
  return [hash, requestCount, scaledGood, scaledFailed];
}

function decodeLoads(
  loads: readonly EncodedLoad[],
  findIdByHash: endpointChanges.FindIdByHash,
): DigestLoad {
  const inFlight = new Map<string, number>();
  const outcomes = new Map<string, decide.Outcomes>();
  const workLeft = new Map<string, number>();
  for (const [hash, requestCount, good = 0, failed = 0, work = 0] of loads) {
    const id = findIdByHash(hash);
    if (id === undefined) continue;
    inFlight.set(id, requestCount);
    if (work > 0) workLeft.set(id, work * WORK_UNIT_MS);
    outcomes.set(id, {
      good: good / OUTCOME_SCALE,
      failed: failed / OUTCOME_SCALE,
    });
  }
  return {inFlight, outcomes, workLeft};
}

function groupByEndpoint(
  placements: readonly decide.PrefixLocation[],
): EncodedDigest[11] {
  const prefixes = new Map<string, string[]>();
  for (const {prefix, endpoint} of placements) {
    const existing = prefixes.get(endpoint);
    if (existing) existing.push(prefix);
    else prefixes.set(endpoint, [prefix]);
  }
  return [...prefixes].map(([endpoint, names]) => [
    endpointRegistry.endpointHash(endpoint),
    names,
  ]);
}

function decodeReports(
  fields: readonly number[],
  findIdByHash: endpointChanges.FindIdByHash,
  nowMs: number,
): decide.EndpointReport[] {
  const reports: decide.EndpointReport[] = [];
  for (let at = 0; at + REPORT_FIELDS <= fields.length; at += REPORT_FIELDS) {
    const endpoint = findIdByHash(fields[at]!);
    if (endpoint === undefined) continue;
    const inFlight = fields[at + 1]!;
    const observedAtMs = nowMs - fields[at + 2]! * crashNotes.AGE_UNIT_MS;
    reports.push({endpoint, inFlight, observedAtMs});
  }
  return reports;
}

function decodeFailures(
  fields: readonly number[],
  findIdByHash: endpointChanges.FindIdByHash,
  nowMs: number,
): decide.FailureNote[] {
  const failures: decide.FailureNote[] = [];
  for (let at = 0; at + FAILURE_FIELDS <= fields.length; at += FAILURE_FIELDS) {
    const endpoint = findIdByHash(fields[at + 1]!);
    if (endpoint === undefined) continue;
    failures.push({
      id: fields[at]!,
      endpoint,
      isUnreachable: fields[at + 2] === 1,
      observedAtMs: nowMs - fields[at + 3]! * crashNotes.AGE_UNIT_MS,
    });
  }
  return failures;
}

function decodeLimits(
  encoded: EncodedDigest[15],
  findIdByHash: endpointChanges.FindIdByHash,
  timeOf: (age: number) => number,
): decide.LimitNote[] {
  return encoded.flatMap(([hash, bornMs, perSecond, age]) => {
    const id = findIdByHash(hash);
    if (id === undefined) return [];
    return [
      {
        id,
        bornMs: bornMs ?? undefined,
        perSecond: perSecond ?? undefined,
        observedAtMs: timeOf(age),
      },
    ];
  });
}

function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return msgpackr.unpack(bytes);
  } catch {
    return undefined;
  }
}
