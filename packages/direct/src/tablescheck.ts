/**
 * Checks tables before they are sent: rows that contradict themselves or one
 * another, and rows that no request can match.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** Tables with the names of all pools, those without a row included. */
export interface CheckedTables {
  readonly tables: model.Tables;
  readonly poolNames: ReadonlySet<string>;
}

type Problem = Omit<core.Finding, 'place'> & {readonly field: string};

/** Finds what is wrong with the tables, in the order of their rows. */
export function checkTables({
  tables,
  poolNames,
}: CheckedTables): core.Finding[] {
  const {routes, customers = [], limits} = tables;
  return [
    ...core.findDuplicateNames('routes', routes),
    ...routes.flatMap((route, index) => checkRoute(route, index, poolNames)),
    ...findHiddenRoutes(routes),
    ...findUnusedPools(routes, poolNames),
    ...core.findDuplicateNames('customers', customers),
    ...findKeylessCustomers(customers),
    ...findSharedKeys(customers),
    ...checkLimits(limits),
  ];
}

function checkRoute(
  route: model.Route,
  index: number,
  poolNames: ReadonlySet<string>,
): core.Finding[] {
  const problems = [
    ...findUnmatchable(route),
    ...findPoolProblems(route, poolNames),
    ...findTimeProblems(route),
    ...findRunProblems(route),
  ];
  return problems.map(({field, ...problem}) => ({
    ...problem,
    place: core.placeOf('routes', index, route.name, field),
  }));
}

function findUnmatchable({host, pathPrefix}: model.Route): Problem[] {
  const problems: Problem[] = [];
  const unmatchable = {severity: 'error', kind: 'never_matches'} as const;
  if (host === '' || /[:/\s]/.test(host)) {
    const detail = `"${host}" is no host name without a port`;
    problems.push({...unmatchable, field: 'host', detail});
  }
  if (!pathPrefix.startsWith('/') || /[?#\s]/.test(pathPrefix)) {
    const detail = `no path of a request begins with "${pathPrefix}"`;
    problems.push({...unmatchable, field: 'pathPrefix', detail});
  }
  return problems;
}

function findPoolProblems(
  {pools}: model.Route,
  poolNames: ReadonlySet<string>,
): Problem[] {
  const field = 'pools';
  const problems: Problem[] = pools
    .filter(({name}) => !poolNames.has(name))
    .map(({name}) => ({
      severity: 'error',
      kind: 'unknown_name',
      field,
      detail: `there is no pool "${name}"`,
    }));
  const totalWeight = pools.reduce((sum, {weight}) => sum + weight, 0);
  if (pools.some(({weight}) => weight < 0) || totalWeight <= 0) {
    const detail = 'weights must not be negative, and their sum not 0';
    problems.push({severity: 'error', kind: 'malformed', field, detail});
    return problems;
  }
  for (const {name, weight} of pools) {
    if (weight > 0) continue;
    const detail = `the pool "${name}" gets no requests, since its weight is 0`;
    problems.push({severity: 'warning', kind: 'never_matches', field, detail});
  }
  return problems;
}

function findTimeProblems({timeoutMs, goalMs}: model.Route): Problem[] {
  const problems: Problem[] = [];
  if (!(timeoutMs > 0)) {
    const detail = `must be positive, not ${timeoutMs}`;
    const field = 'timeoutMs';
    problems.push({severity: 'error', kind: 'malformed', field, detail});
  } else if (goalMs > timeoutMs) {
    const detail = `the goal of ${goalMs} ms is after the time-out of ${timeoutMs} ms`;
    const field = 'goalMs';
    problems.push({severity: 'error', kind: 'contradiction', field, detail});
  }
  return problems;
}

function findRunProblems({
  repeat,
  isResumable,
  maxRuns,
}: model.Route): Problem[] {
  const problems: Problem[] = [];
  const contradiction = {severity: 'warning', kind: 'contradiction'} as const;
  if (!Number.isInteger(maxRuns) || maxRuns < 1) {
    const detail = `must be a whole number from 1 on, not ${maxRuns}`;
    const field = 'maxRuns';
    problems.push({severity: 'error', kind: 'malformed', field, detail});
  }
  const isRepeatable =
    repeat === 'idempotent' || (repeat === 'stream' && isResumable);
  if (maxRuns > 1 && !isRepeatable) {
    const detail = `${maxRuns} runs are allowed, but a request runs once at most`;
    problems.push({...contradiction, field: 'maxRuns', detail});
  }
  if (isResumable && repeat !== 'stream') {
    const detail = 'only streams can be resumed';
    problems.push({...contradiction, field: 'isResumable', detail});
  }
  return problems;
}

/** Routes whose requests all match an earlier route. */
function findHiddenRoutes(routes: readonly model.Route[]): core.Finding[] {
  const firstByMatch = new Map<string, string>();
  const findings: core.Finding[] = [];
  for (const [index, {name, host, pathPrefix}] of routes.entries()) {
    const match = `${host.toLowerCase()} ${pathPrefix}`;
    const first = firstByMatch.get(match);
    if (first === undefined) {
      firstByMatch.set(match, name);
      continue;
    }
    findings.push({
      severity: 'error',
      kind: 'never_matches',
      place: core.placeOf('routes', index, name, 'pathPrefix'),
      detail: `the route "${first}" has the same host and prefix`,
    });
  }
  return findings;
}

function findUnusedPools(
  routes: readonly model.Route[],
  poolNames: ReadonlySet<string>,
): core.Finding[] {
  const used = new Set(
    routes.flatMap(({pools}) => pools.map(({name}) => name)),
  );
  return [...poolNames]
    .filter(name => !used.has(name))
    .map(name => ({
      severity: 'warning',
      kind: 'unused',
      place: `pools (${name})`,
      detail: 'no route names the pool',
    }));
}

function findKeylessCustomers(
  customers: readonly model.Customer[],
): core.Finding[] {
  return customers.flatMap(({name, keys}, index) =>
    keys.length > 0
      ? []
      : [
          {
            severity: 'warning' as const,
            kind: 'no_key' as const,
            place: core.placeOf('customers', index, name, 'keys'),
            detail: 'the customer can call public routes only',
          },
        ],
  );
}

/** Names no key, since keys are secrets. */
function findSharedKeys(customers: readonly model.Customer[]): core.Finding[] {
  const holderByKey = new Map<string, string>();
  const findings: core.Finding[] = [];
  for (const [index, {name, keys}] of customers.entries()) {
    for (const [keyIndex, key] of keys.entries()) {
      const holder = holderByKey.get(key);
      holderByKey.set(key, name);
      if (holder === undefined) continue;
      findings.push({
        severity: 'error',
        kind: 'shared_key',
        place: core.placeOf('customers', index, name, `keys[${keyIndex}]`),
        detail: `the customer "${holder}" holds the key as well`,
      });
    }
  }
  return findings;
}

function checkLimits(limits: model.Tables['limits']): core.Finding[] {
  return (['maxBodyBytes', 'idleMs'] as const)
    .filter(field => !(limits[field] > 0))
    .map(field => ({
      severity: 'error',
      kind: 'malformed',
      place: `limits: ${field}`,
      detail: `must be positive, not ${limits[field]}`,
    }));
}
