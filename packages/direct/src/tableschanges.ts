/**
 * What a new version of the tables changes for callers, for operators to read
 * before they send it.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as model from './model.js';

/** Schema of a change to a row. */
export const tablesChangeSchema = v.object({
  type: v.picklist(['added', 'removed', 'changed']),
  /** Table and name of the row, such as `routes/drafts`. */
  row: v.string(),
  /** Fields with their old and new values; keys are only counted. */
  fields: v.array(
    v.object({field: v.string(), from: v.string(), to: v.string()}),
  ),
  /** What becomes of requests; absent if nothing. */
  effect: v.optional(v.string()),
});

/** A change to a row. */
export type TablesChange = v.InferOutput<typeof tablesChangeSchema>;

interface NamedRow {
  readonly name: string;
}

/** The changes from one version of the tables to another. */
export function compareTables(
  before: model.Tables,
  after: model.Tables,
): TablesChange[] {
  return [
    ...compareRows('routes', before.routes, after.routes, {
      added: route => addedRouteEffect(route, before.routes),
      removed: route => removedRouteEffect(route, after.routes),
      changed: changedRouteEffect,
    }),
    ...compareRows('pools', before.pools, after.pools, {}),
    ...compareRows(
      'customers',
      (before.customers ?? []).map(toShownCustomer),
      (after.customers ?? []).map(toShownCustomer),
      {changed: changedKeysEffect, removed: removedCustomerEffect},
    ),
    ...compareRows('limits', [toRow(before.limits)], [toRow(after.limits)], {}),
  ];
}

function toRow(limits: model.Tables['limits']): NamedRow {
  return {name: 'callers', ...limits};
}

/** Effects on requests, by the type of change. */
interface Effects<T> {
  added?(row: T): string | undefined;
  removed?(row: T): string | undefined;
  changed?(before: T, after: T): string | undefined;
}

function compareRows<T extends NamedRow>(
  table: string,
  before: readonly T[],
  after: readonly T[],
  effects: Effects<T>,
): TablesChange[] {
  const beforeByName = new Map(before.map(row => [row.name, row]));
  const afterNames = new Set(after.map(({name}) => name));
  const changes: TablesChange[] = [];
  for (const next of after) {
    const row = `${table}/${next.name}`;
    const previous = beforeByName.get(next.name);
    if (!previous) {
      const effect = effects.added?.(next);
      changes.push({type: 'added', row, fields: [], effect});
      continue;
    }
    const fields = changedFields(previous, next);
    if (fields.length === 0) continue;
    const effect = effects.changed?.(previous, next);
    changes.push({type: 'changed', row, fields, effect});
  }
  const removed = before.filter(({name}) => !afterNames.has(name));
  for (const previous of removed) {
    const row = `${table}/${previous.name}`;
    const effect = effects.removed?.(previous);
    changes.push({type: 'removed', row, fields: [], effect});
  }
  return changes;
}

function changedFields(before: object, after: object): TablesChange['fields'] {
  const texts = (row: object) =>
    new Map(
      Object.entries(row)
        .filter(([field]) => !isHidden(field))
        .map(([field, value]) => [field, JSON.stringify(value) ?? '(none)']),
    );
  const [from, to] = [texts(before), texts(after)];
  return [...new Set([...from.keys(), ...to.keys()])]
    .map(field => ({
      field,
      from: from.get(field) ?? '(none)',
      to: to.get(field) ?? '(none)',
    }))
    .filter(change => change.from !== change.to);
}

/** A customer whose keys are counted, and compared but not shown. */
interface ShownCustomer extends NamedRow {
  readonly priority?: number;
  readonly keyCount: number;
  /** Hash of the keys, so that a replaced key shows as a change. */
  readonly keysHash: number;
  readonly hiddenKeys: ReadonlySet<string>;
}

function isHidden(field: string): boolean {
  return field === 'hiddenKeys';
}

function toShownCustomer({
  name,
  priority,
  keys,
}: model.Customer): ShownCustomer {
  return {
    name,
    priority,
    keyCount: keys.length,
    keysHash: core.hash32([...keys].sort().join(' ')),
    hiddenKeys: new Set(keys),
  };
}

function changedKeysEffect(
  before: ShownCustomer,
  after: ShownCustomer,
): string | undefined {
  const goneCount = [...before.hiddenKeys].filter(
    key => !after.hiddenKeys.has(key),
  ).length;
  const newCount = [...after.hiddenKeys].filter(
    key => !before.hiddenKeys.has(key),
  ).length;
  if (goneCount === 0 && newCount === 0) return undefined;
  return `${goneCount} of ${before.keyCount} keys go, ${newCount} come`;
}

function removedCustomerEffect({keyCount}: ShownCustomer): string {
  return `${keyCount} keys go`;
}

function addedRouteEffect(
  route: model.Route,
  others: readonly model.Route[],
): string | undefined {
  const previous = findCovering(route, others);
  return previous && `takes requests of routes/${previous.name}`;
}

function removedRouteEffect(
  route: model.Route,
  others: readonly model.Route[],
): string {
  const next = findCovering(route, others);
  return next
    ? `its requests match routes/${next.name}`
    : 'its requests are refused, since no other route matches';
}

/** The route that takes the requests of another one if that does not exist. */
function findCovering(
  {name, host, pathPrefix}: model.Route,
  routes: readonly model.Route[],
): model.Route | undefined {
  let longest: model.Route | undefined;
  for (const route of routes) {
    if (route.name === name || !isSameHost(route.host, host)) continue;
    if (!pathPrefix.startsWith(route.pathPrefix)) continue;
    const length = longest?.pathPrefix.length ?? -1;
    if (route.pathPrefix.length > length) longest = route;
  }
  return longest;
}

function isSameHost(left: string, right: string): boolean {
  return left.toLowerCase() === right.toLowerCase();
}

/** How much of a route's traffic goes to other pools. */
function changedRouteEffect(
  before: model.Route,
  after: model.Route,
): string | undefined {
  const [from, to] = [sharesOf(before), sharesOf(after)];
  const names = [...new Set([...from.keys(), ...to.keys()])].sort();
  const shareOf = (shares: ReadonlyMap<string, number>, name: string) =>
    shares.get(name) ?? 0;
  const moves = names
    .filter(name => shareOf(from, name) !== shareOf(to, name))
    .map(
      name =>
        `${name} ${percent(shareOf(from, name))} -> ${percent(shareOf(to, name))}`,
    );
  return moves.length === 0 ? undefined : `requests move: ${moves.join(', ')}`;
}

function sharesOf({pools}: model.Route): Map<string, number> {
  const total = pools.reduce((sum, {weight}) => sum + weight, 0);
  const shares = new Map<string, number>();
  for (const {name, weight} of pools) {
    shares.set(name, (shares.get(name) ?? 0) + weight / total);
  }
  return shares;
}

function percent(share: number): string {
  return `${Math.round(share * 1_000) / 10}%`;
}
