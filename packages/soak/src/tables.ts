/** Routes of the soak, and what its endpoints answer on them. */
import * as standins from '@oleanderrock/standins';
import type * as plan from './plan.js';

/** Host of all routes. */
export const HOST = 'soak.example';

/** The pool of all endpoints. */
export const POOL = 'pool';

/** The key of the only customer. */
export const KEY = 'key-of-acme';

/** The only customer. */
export const CUSTOMER = 'acme';

/** Kinds of request, by their path. */
export const KINDS = {
  read: {kind: 'idempotent', isResumable: false, attempts: 2},
  book: {kind: 'non_idempotent', isResumable: false, attempts: 1},
  chat: {kind: 'streaming', isResumable: true, attempts: 2},
  once: {kind: 'streaming', isResumable: false, attempts: 1},
} as const;

/** A kind of request. */
export type Kind = keyof typeof KINDS;

/** Longest time of a route, in ms. */
export const TIMEOUT_MS = 2_500;

const EVENTS = 12;
const PACE_MS = 15;

/** Path of the route that came with a version. */
export function versionPath(version: number): string {
  return `/v${version}/`;
}

/** The configuration of a version; each adds a route of its own. */
export function config(version: number): standins.HostedFields {
  const kinds = Object.entries(KINDS);
  const routes = kinds.map(([name, {kind, isResumable, attempts}]) =>
    route(`/${name}/`, kind, {resumable: isResumable, maxAttempts: attempts}),
  );
  const added = route(versionPath(version), 'idempotent');
  const customer = {name: CUSTOMER, key: KEY};
  return standins.hostedConfig(version, [...routes, added], customer);
}

function route(
  pathPrefix: string,
  kind: standins.HostedKind,
  more: standins.HostedFields = {},
): standins.HostedFields {
  const fields = {service: POOL, timeoutMs: TIMEOUT_MS, goalMs: 200, ...more};
  return standins.hostedRoute(HOST, pathPrefix, kind, fields);
}

/** Whether a path is answered by a stream. */
export function isStream(path: string): boolean {
  return path.startsWith('/chat/') || path.startsWith('/once/');
}

/** Whether a request on the path runs at most once. */
export function runsOnce(path: string): boolean {
  return path.startsWith('/book/') || path.startsWith('/once/');
}

/** What endpoints answer on a path, whole. */
export function expected(path: string): string {
  if (!isStream(path)) return `answer to ${path}`;
  const numbers = [...Array(EVENTS).keys()];
  return numbers.map(at => standins.eventText(at + 1, path)).join('');
}

/** A sound endpoint's behaviour. */
export function serve({path}: standins.SeenRun): standins.Behaviour {
  if (!isStream(path)) return {type: 'answer', body: `answer to ${path}`};
  return {type: 'stream', events: EVENTS, paceMs: PACE_MS, label: path};
}

/** An endpoint's behaviour that spoils the request. */
export function spoil(
  run: standins.SeenRun,
  how: plan.Spoil,
): standins.Behaviour {
  if (how !== 'break') return {type: how};
  const sound = serve(run);
  return sound.type === 'stream' ? {...sound, breakIn: 5} : {type: 'reset'};
}
