/**
 * Checks the routers' guarantees against what callers and endpoints recorded.
 * Each check returns one line for each breach.
 */
import * as standins from '@oleanderrock/standins';
import * as tables from './tables.js';
import type * as traffic from './traffic.js';
import type * as environments from './environment.js';

/**
 * Time after a fault during which timing guarantees may be missed, in ms; the
 * users' `contactMs`.
 */
const SETTLE_MS = 3_000;

/** Time for which a draining endpoint may still get new requests, in ms. */
const DRAIN_MS = 2_000;

/** Time for a published version to be in force on all routers, in ms. */
const IN_FORCE_MS = 2_000;

/** Allowance of the timing checks for delays on a loaded machine, in ms. */
const TOLERANCE_MS = 500;

/** Statuses that guarantee that the request has not run and will not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Input of the checks. */
export interface Observations {
  readonly calls: readonly traffic.Call[];
  readonly environment: ObservedEnvironment;
}

/** The part of the soak environment that the checks read. */
export type ObservedEnvironment = Pick<
  environments.SoakEnvironment,
  'endpoints' | 'versions' | 'isDisturbed'
>;

/** A request as it ran on an endpoint. */
interface Run extends standins.RunOrigin {
  readonly path: string;
  readonly atMs: number;
  readonly slot: environments.EndpointSlot;
}

/** Runs all checks and returns the breaches, one line each. */
export function findBreaches(observations: Observations): string[] {
  const runs = observations.environment.endpoints.flatMap(slot =>
    slot.endpoint.runs.map(run => ({
      ...standins.readRunOrigin(run),
      path: run.path,
      atMs: run.startedMs,
      slot,
    })),
  );
  return [
    ...checkAnswerOrigin(observations.calls),
    ...checkAtMostOnce(runs),
    ...checkNotRun(observations.calls, runs),
    ...checkRunsRequested(observations.calls, runs),
    ...checkNoWorkAfterLeaving(runs, observations.environment),
    ...checkVersionsInForce(observations),
    ...checkNoTruncation(observations),
  ];
}

/**
 * Answers belong to their requests, and are of one version, that of the stream
 * which they continue; truncated ones are not marked complete.
 */
function checkAnswerOrigin(calls: readonly traffic.Call[]): string[] {
  const breaches: string[] = [];
  for (const {id, path, answer, resumed} of calls) {
    if (!answer || answer.status >= 300) continue;
    const {headers, body, isComplete} = answer;
    const version = resumed?.version ?? tables.streamIn(id, body)?.version;
    // Without a whole event, it may be of any version.
    const isOfOneVersion = (version ? [version] : tables.VERSIONS).some(
      each => {
        const expected = tables.expectedBody(path, each, resumed?.eventCount);
        return isComplete ? body === expected : expected.startsWith(body);
      },
    );
    const isValid = standins.isAnswerTo(id, headers) && isOfOneVersion;
    if (!isValid) {
      const extent = isComplete ? 'complete' : 'truncated';
      breaches.push(`${id} ${path}: wrong answer, ${extent}: ${body}`);
    }
  }
  return breaches;
}

function checkAtMostOnce(runs: readonly Run[]): string[] {
  const counts = new Map<string, number>();
  for (const {id, path} of runs) {
    if (tables.isAtMostOnce(path)) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times, may run once`);
}

function checkNotRun(
  calls: readonly traffic.Call[],
  runs: readonly Run[],
): string[] {
  const idsOfRuns = new Set(runs.map(({id}) => id));
  return calls
    .filter(({answer}) => answer && NOT_RUN_STATUSES.includes(answer.status))
    .filter(({id}) => idsOfRuns.has(id))
    .map(
      ({id, path, answer}) =>
        `${id} ${path}: answered ${answer?.status}, but ran`,
    );
}

/** Endpoints run only sent requests, with the customer's name, not its key. */
function checkRunsRequested(
  calls: readonly traffic.Call[],
  runs: readonly Run[],
): string[] {
  const pathById = new Map(calls.map(({id, path}) => [id, path]));
  const isRequested = ({id, path, customer, key}: Run) =>
    pathById.get(id) === path &&
    customer === tables.CUSTOMER &&
    key === undefined;
  return runs
    .filter(run => !isRequested(run))
    .map(
      ({id, path}) =>
        `${id} ${path}: path not sent, wrong customer or forwarded API key`,
    );
}

/** A draining endpoint gets no new requests after the drain time. */
function checkNoWorkAfterLeaving(
  runs: readonly Run[],
  environment: ObservedEnvironment,
): string[] {
  return runs
    .filter(({slot, atMs}) => {
      const {drainStartMs} = slot;
      if (drainStartMs === undefined) return false;
      const isLate = atMs > drainStartMs + DRAIN_MS + TOLERANCE_MS;
      return isLate && !environment.isDisturbed(drainStartMs - SETTLE_MS, atMs);
    })
    .map(
      ({id, slot}) => `${id}: sent to ${slot.endpoint.id} after its drain time`,
    );
}

/** Routers serve a version's route in time, until the next one is published. */
function checkVersionsInForce({calls, environment}: Observations): string[] {
  const breaches: string[] = [];
  for (const {id, path, router, sentMs, answer} of calls) {
    const version = Number(/^\/v(\d+)\//.exec(path)?.[1] ?? 0);
    if (version === 0 || answer?.status !== 404) continue;
    const published = environment.versions.find(
      item => item.version === version,
    );
    const nextVersion = environment.versions.find(
      item => item.version === version + 1,
    );
    if (!published || (nextVersion && nextVersion.atMs < sentMs)) continue;
    const isOverdue = sentMs > published.atMs + IN_FORCE_MS + TOLERANCE_MS;
    const isExcused = environment.isDisturbed(
      published.atMs - SETTLE_MS,
      sentMs,
    );
    if (isOverdue && !isExcused) {
      breaches.push(`${id}: ${router} does not serve version ${version}`);
    }
  }
  return breaches;
}

/** Without a fault, requests that are not cancelled get a complete answer. */
function checkNoTruncation({calls, environment}: Observations): string[] {
  return calls
    .filter(({isConnected, isCancelled, answer}) => {
      return isConnected && !isCancelled && !answer?.isComplete;
    })
    .filter(({sentMs, endedMs}) => {
      return !environment.isDisturbed(sentMs - SETTLE_MS, endedMs);
    })
    .map(
      ({id, path, router}) =>
        `${id} ${path}: no complete answer from ${router}`,
    );
}
