/**
 * What the routers promise, checked on what callers and endpoints saw. Each
 * check returns a line for each breach that it finds.
 */
import * as standins from '@oleanderrock/standins';
import * as tables from './tables.js';
import type * as traffic from './traffic.js';
import type * as worlds from './world.js';

/**
 * How long after a fault its effects still excuse what depends on time, in ms:
 * the users' `contactMs`.
 */
const CONTACT_MS = 3_000;

/** Time from an endpoint's word that it leaves to its last new request, in ms. */
const DRAIN_MS = 2_000;

/** Time from a new version to its being in force everywhere, in ms. */
const IN_FORCE_MS = 2_000;

/** Delay of a busy machine that the checks of time allow, in ms. */
const SLACK_MS = 500;

/** Statuses that say that the request did not and will not run. */
const NOT_RUN: readonly number[] = [408, 421, 429, 503];

/** What was seen. */
export interface Seen {
  readonly calls: readonly traffic.Call[];
  readonly world: SeenWorld;
}

/** What the checks need to know of the world. */
export type SeenWorld = Pick<
  worlds.World,
  'endpoints' | 'versions' | 'isDisturbed'
>;

/** A request that ran, with the endpoint. */
interface Run extends standins.RanFor {
  readonly path: string;
  readonly atMs: number;
  readonly slot: worlds.EndpointSlot;
}

/** All breaches. */
export function check(seen: Seen): string[] {
  const runs = seen.world.endpoints.flatMap(slot =>
    slot.endpoint.runs.map(run => ({
      ...standins.ranFor(run),
      path: run.path,
      atMs: run.atMs,
      slot,
    })),
  );
  return [
    ...ownAnswers(seen.calls),
    ...atMostOnce(runs),
    ...notRun(seen.calls, runs),
    ...asked(seen.calls, runs),
    ...drained(runs, seen.world),
    ...inForce(seen),
    ...cutOff(seen),
  ];
}

/** Each caller gets its own answer; one that is cut does not look whole. */
function ownAnswers(calls: readonly traffic.Call[]): string[] {
  const breaches: string[] = [];
  for (const {id, path, answer} of calls) {
    if (!answer || answer.status >= 300) continue;
    const {headers, body, isWhole} = answer;
    const whole = tables.expected(path);
    const isOwn =
      standins.isAnswerTo(id, headers) &&
      (isWhole ? body === whole : whole.startsWith(body));
    if (!isOwn) {
      const end = isWhole ? 'whole' : 'cut';
      breaches.push(`${id} ${path}: not its answer, ${end}: ${body}`);
    }
  }
  return breaches;
}

function atMostOnce(runs: readonly Run[]): string[] {
  const counts = new Map<string, number>();
  for (const {id, path} of runs) {
    if (tables.runsOnce(path)) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
}

function notRun(
  calls: readonly traffic.Call[],
  runs: readonly Run[],
): string[] {
  const ran = new Set(runs.map(({id}) => id));
  return calls
    .filter(({answer}) => answer && NOT_RUN.includes(answer.status))
    .filter(({id}) => ran.has(id))
    .map(({id, path, answer}) => `${id} ${path}: ${answer?.status}, and ran`);
}

/** Endpoints run only what was asked, for the customer, without its key. */
function asked(calls: readonly traffic.Call[], runs: readonly Run[]): string[] {
  const paths = new Map(calls.map(({id, path}) => [id, path]));
  const isAsked = ({id, path, customer, key}: Run) =>
    paths.get(id) === path && customer === tables.CUSTOMER && key === undefined;
  return runs
    .filter(run => !isAsked(run))
    .map(({id, path}) => `${id} ${path}: ran, and was not asked so`);
}

/** An endpoint that leaves gets no new work after a while. */
function drained(runs: readonly Run[], world: SeenWorld): string[] {
  return runs
    .filter(({slot, atMs}) => {
      const {drainedMs} = slot;
      if (drainedMs === undefined) return false;
      const isLate = atMs > drainedMs + DRAIN_MS + SLACK_MS;
      return isLate && !world.isDisturbed(drainedMs - CONTACT_MS, atMs);
    })
    .map(({id, slot}) => `${id}: sent to ${slot.endpoint.id}, which left`);
}

/** Routers know a version in time, and never forget a later one. */
function inForce({calls, world}: Seen): string[] {
  const breaches: string[] = [];
  for (const {id, path, router, sentMs, answer} of calls) {
    const version = Number(/^\/v(\d+)\//.exec(path)?.[1] ?? 0);
    if (version === 0 || answer?.status !== 404) continue;
    const taken = world.versions.find(item => item.version === version);
    const next = world.versions.find(item => item.version === version + 1);
    if (!taken || (next && next.atMs < sentMs)) continue;
    const isDue = sentMs > taken.atMs + IN_FORCE_MS + SLACK_MS;
    const isExcused = world.isDisturbed(taken.atMs - CONTACT_MS, sentMs);
    if (isDue && !isExcused) {
      breaches.push(`${id}: ${router} lacks version ${version}`);
    }
  }
  return breaches;
}

/** Where nothing is wrong, no request ends without a whole answer. */
function cutOff({calls, world}: Seen): string[] {
  return calls
    .filter(({isConnected, isGivenUp, answer}) => {
      return isConnected && !isGivenUp && !answer?.isWhole;
    })
    .filter(({sentMs, endedMs}) => {
      return !world.isDisturbed(sentMs - CONTACT_MS, endedMs);
    })
    .map(({id, path, router}) => `${id} ${path}: cut off at ${router}`);
}
