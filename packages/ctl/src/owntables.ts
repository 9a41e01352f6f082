/** Checks files with the project's own tables. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as diff from './diff.js';

/** The rows of a file, and what is wrong with it. */
export interface OwnTables {
  /** The valid rows. */
  readonly rows: diff.TargetRows;
  readonly findings: readonly core.Finding[];
}

const fileSchema = v.strictObject({
  routes: v.optional(v.array(v.unknown()), []),
  pools: v.optional(v.array(v.unknown()), []),
  customers: v.optional(v.array(v.unknown()), []),
});

/** Checks the content of a file. */
export function checkOwnTables(content: unknown): OwnTables {
  const file = v.safeParse(fileSchema, content);
  if (!file.success) {
    const rows = {routes: [], pools: [], customers: []};
    return {rows, findings: core.malformedFindings('', file.issues)};
  }
  const routes = parseRows('routes', core.routeSchema, file.output.routes);
  const pools = parseRows('pools', core.poolSchema, file.output.pools);
  const customers = parseRows(
    'customers',
    core.customerSchema,
    file.output.customers,
  );
  const findings = [
    ...routes.findings,
    ...pools.findings,
    ...customers.findings,
    ...findUnknownPools(routes.rows, pools.rows),
    ...findHiddenRoutes(routes.rows),
    ...findUnusedPools(routes.rows, pools.rows),
    ...pools.rows.flatMap(checkPool),
  ];
  const rows = {
    routes: routes.rows,
    pools: pools.rows,
    customers: customers.rows,
  };
  return {rows, findings};
}

/** The rows as tables, each in its first version. */
export function toTables(rows: diff.TargetRows): core.Tables {
  const versioned = (table: core.TableName) =>
    Object.fromEntries(
      rows[table].map(row => [row.name, {version: 1, row}]),
    ) as never;
  return {
    routes: versioned('routes'),
    pools: versioned('pools'),
    customers: versioned('customers'),
  };
}

interface ParsedRows<T> {
  readonly rows: T[];
  readonly findings: core.Finding[];
}

function parseRows<T extends {readonly name: string}>(
  table: core.TableName,
  schema: v.GenericSchema<unknown, T>,
  items: readonly unknown[],
): ParsedRows<T> {
  const rows: T[] = [];
  const findings: core.Finding[] = [];
  for (const [index, item] of items.entries()) {
    const parsed = v.safeParse(schema, item);
    if (parsed.success) rows.push(parsed.output);
    else {
      const place = `${table}[${index}]`;
      findings.push(...core.malformedFindings(place, parsed.issues));
    }
  }
  return {
    rows,
    findings: [...findings, ...core.findDuplicateNames(table, rows)],
  };
}

function findUnknownPools(
  routes: readonly core.Route[],
  pools: readonly core.Pool[],
): core.Finding[] {
  const names = new Set(pools.map(({name}) => name));
  return routes.flatMap(({name, pool}, index) =>
    names.has(pool)
      ? []
      : [
          {
            severity: 'error' as const,
            kind: 'unknown_name' as const,
            place: core.placeOf('routes', index, name, 'pool'),
            detail: `there is no pool "${pool}"`,
          },
        ],
  );
}

/** Routes with the match of an earlier one, or whose prefix cannot match. */
function findHiddenRoutes(routes: readonly core.Route[]): core.Finding[] {
  const firstByMatch = new Map<string, string>();
  const findings: core.Finding[] = [];
  for (const [index, {name, match}] of routes.entries()) {
    const key = `${match.method ?? '*'} ${match.path_prefix}`;
    const first = firstByMatch.get(key);
    if (first === undefined) firstByMatch.set(key, name);
    const detail = /[?#]/.test(match.path_prefix)
      ? `no path of a request begins with "${match.path_prefix}"`
      : first && `the route "${first}" has the same match`;
    if (!detail) continue;
    const place = core.placeOf('routes', index, name, 'match');
    findings.push({severity: 'error', kind: 'never_matches', place, detail});
  }
  return findings;
}

function findUnusedPools(
  routes: readonly core.Route[],
  pools: readonly core.Pool[],
): core.Finding[] {
  const used = new Set(routes.map(({pool}) => pool));
  return pools
    .filter(({name}) => !used.has(name))
    .map(({name}) => ({
      severity: 'warning',
      kind: 'unused',
      place: `pools (${name})`,
      detail: 'no route names the pool',
    }));
}

function checkPool(pool: core.Pool, index: number): core.Finding[] {
  const {name, endpoints, endpoint_label: label} = pool;
  const drained = new Set(pool.drained_endpoints);
  const findings: core.Finding[] = [];
  const place = core.placeOf('pools', index, name, 'endpoints');
  if (endpoints.length === 0 && label === undefined) {
    const detail = 'the pool names no endpoints and no label';
    findings.push({severity: 'warning', kind: 'never_matches', place, detail});
  } else if (label === undefined && endpoints.every(one => drained.has(one))) {
    const detail = 'all endpoints of the pool are drained';
    findings.push({severity: 'warning', kind: 'never_matches', place, detail});
  }
  return findings;
}
