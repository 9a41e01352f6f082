/** Configuration of the soak's routes, and the endpoints' answers on them. */
import * as standins from '@oleanderrock/standins';
import type * as plan from './plan.js';

/** Host name of all routes. */
export const HOST = 'soak.example';

/** Name of the pool of all endpoints. */
export const POOL = 'pool';

/** API key of the only customer. */
export const API_KEY = 'key-of-acme';

/** Name of the only customer. */
export const CUSTOMER = 'acme';

/** Kinds of request, by the first segment of their path. */
export const REQUEST_KINDS = {
  read: {kind: 'idempotent', isResumable: false, attempts: 2},
  book: {kind: 'non_idempotent', isResumable: false, attempts: 1},
  chat: {kind: 'streaming', isResumable: true, attempts: 2},
  once: {kind: 'streaming', isResumable: false, attempts: 1},
} as const;

/** A kind of request. */
export type RequestKind = keyof typeof REQUEST_KINDS;

/** Request timeout of all routes, in ms. */
export const TIMEOUT_MS = 2_500;

const EVENTS_PER_STREAM = 12;
const EVENT_INTERVAL_MS = 15;

/** Path prefix of the route that a configuration version adds. */
export function versionPath(version: number): string {
  return `/v${version}/`;
}

/** Creates a configuration version, which has a route of its own for probes. */
export function createConfig(version: number): standins.HostedConfigFields {
  const kinds = Object.entries(REQUEST_KINDS);
  const routes = kinds.map(([name, {kind, isResumable, attempts}]) =>
    createRoute(`/${name}/`, kind, {
      resumable: isResumable,
      maxAttempts: attempts,
    }),
  );
  const versionRoute = createRoute(versionPath(version), 'idempotent');
  const customer = {name: CUSTOMER, key: API_KEY};
  return standins.hostedConfig(version, [...routes, versionRoute], customer);
}

function createRoute(
  pathPrefix: string,
  kind: standins.HostedRouteKind,
  overrides: standins.HostedConfigFields = {},
): standins.HostedConfigFields {
  const fields = {
    service: POOL,
    timeoutMs: TIMEOUT_MS,
    goalMs: 200,
    ...overrides,
  };
  return standins.hostedRoute(HOST, pathPrefix, kind, fields);
}

/** Whether requests on the path are answered by an event stream. */
export function isStreamPath(path: string): boolean {
  return path.startsWith('/chat/') || path.startsWith('/once/');
}

/** Whether a stream on the path may be taken up. */
export function isResumable(path: string): boolean {
  return path.startsWith('/chat/');
}

/** Whether requests on the path may run at most once. */
export function isAtMostOnce(path: string): boolean {
  return path.startsWith('/book/') || path.startsWith('/once/');
}

/** Versions of the endpoints' software. */
export const VERSIONS = ['v1', 'v2'];

/** The version of an endpoint, by its number. */
export function versionOf(endpoint: number): string {
  return VERSIONS[endpoint % VERSIONS.length]!;
}

/** A stream that a caller takes up. */
export interface ResumedStream {
  /** Id of the call that brought its first event, and the endpoint's version. */
  readonly id: string;
  readonly version: string;
  /** Number of events that the caller has. */
  readonly eventCount: number;
}

/** The complete body that endpoints of a version answer on a path. */
export function expectedBody(
  path: string,
  version: string,
  eventCount = 0,
): string {
  if (!isStreamPath(path)) return `answer to ${path}`;
  const numbers = [...Array(EVENTS_PER_STREAM).keys()].slice(eventCount);
  const label = labelOf(path, version);
  return numbers.map(index => standins.eventText(index + 1, label)).join('');
}

/** What the body of a stream's answer begins with; undefined without an event. */
export function streamIn(id: string, body: string): ResumedStream | undefined {
  const events = [...body.matchAll(/^id: (\d+)\ndata: \S+@(\w+) \d+\n\n/gm)];
  const [, , version] = events[0] ?? [];
  if (version === undefined) return undefined;
  return {id, version, eventCount: Number(events.at(-1)![1])};
}

/** Names the version, so that a body tells which endpoints wrote it. */
function labelOf(path: string, version: string): string {
  return `${path}@${version}`;
}

/** Behaviour of an endpoint that answers correctly. */
export function answerNormally(
  {path}: standins.RecordedRun,
  version: string,
): standins.Behaviour {
  if (!isStreamPath(path)) return {type: 'answer', body: `answer to ${path}`};
  return {
    type: 'stream',
    events: EVENTS_PER_STREAM,
    intervalMs: EVENT_INTERVAL_MS,
    label: labelOf(path, version),
  };
}

/**
 * Behaviour of an endpoint that fails the request or falsifies the answer.
 * `cutAt` is the part of a late copy after which it breaks off, from 0 to 1.
 */
export function spoilAnswer(
  run: standins.RecordedRun,
  version: string,
  how: plan.SpoilMode,
  cutAt: number,
): standins.Behaviour {
  if (how === 'copy' || how === 'cut_copy') {
    const copy = standins.refusalText(standins.readRunOrigin(run).id);
    const length = how === 'copy' ? copy.length : copy.length * cutAt;
    return {type: 'shed', late: copy.slice(0, length)};
  }
  if (how !== 'break') return {type: how};
  const normalBehaviour = answerNormally(run, version);
  return normalBehaviour.type === 'stream'
    ? {...normalBehaviour, cutInEvent: 5}
    : {type: 'reset'};
}
