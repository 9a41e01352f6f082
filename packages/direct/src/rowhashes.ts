/**
 * Hashes of the rows of tables. The hash of a row is computed once: a version
 * that is reached by a patch keeps the objects of unchanged rows.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** A row of any table; rows of different tables have different fields. */
export type Row = model.Route | model.Pool | model.Customer;

const hashes = new WeakMap<Row, string>();

/** The 64-bit hash of a row, as 16 hexadecimal digits. */
export function hashOf(row: Row): string {
  let hash = hashes.get(row);
  if (hash === undefined) {
    hash = core.hash64(JSON.stringify(row));
    hashes.set(row, hash);
  }
  return hash;
}

/** All rows of the tables. */
export function allRows({routes, pools, customers = []}: model.Tables): Row[] {
  return [...routes, ...pools, ...customers];
}

/**
 * The order of the rows among which the order decides: routes of one host and
 * prefix, pools of one name, and customers with the same key. Empty if there
 * are no such rows; any other order of the rows then has the same effect.
 */
export function decidingOrder({
  routes,
  pools,
  customers = [],
}: model.Tables): string {
  const contested = [
    contestedPlaces(routes, ({host, pathPrefix}) => [
      `${host.toLowerCase()} ${pathPrefix}`,
    ]),
    contestedPlaces(pools, ({name}) => [name]),
    contestedPlaces(customers, ({keys}) => keys),
  ];
  return contested.every(places => places.length === 0)
    ? ''
    : JSON.stringify(contested);
}

/** Equal for tables that have the same effect, whatever the order of rows. */
export function fingerprintOf(tables: model.Tables): string {
  const {limits, customers} = tables;
  const rows = allRows(tables).map(hashOf).sort();
  const hasCustomers = customers !== undefined;
  const {maxBodyBytes, idleMs} = limits;
  return core.hash64(
    JSON.stringify([
      rows.join(''),
      decidingOrder(tables),
      hasCustomers,
      maxBodyBytes,
      idleMs,
    ]),
  );
}

/** The places for which several rows compete, with these rows in order. */
function contestedPlaces<T extends Row>(
  rows: readonly T[],
  placesOf: (row: T) => readonly string[],
): Array<[string, string[]]> {
  const firstRows = new Map<string, T>();
  const contested = new Map<string, string[]>();
  for (const row of rows) {
    for (const place of placesOf(row)) {
      const first = firstRows.get(place);
      const contestants = contested.get(place);
      if (contestants) contestants.push(hashOf(row));
      else if (first) contested.set(place, [hashOf(first), hashOf(row)]);
      else firstRows.set(place, row);
    }
  }
  return [...contested].sort(([a], [b]) => (a < b ? -1 : 1));
}
