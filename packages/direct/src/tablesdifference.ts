/**
 * Differences of the tables for a router whose version is not known here: in a
 * quick succession of versions, routers skip different ones. Such a router
 * sends a summary, the hashes of its rows, and receives the rows that it lacks.
 */
import * as v from 'valibot';
import * as model from './model.js';
import * as rowHashes from './rowhashes.js';

/** Size of a row's hash in a summary, in bytes. */
const HASH_BYTES = 8;

/** Maximum size of a summary, in bytes: that of 16,384 rows. */
export const MAX_SUMMARY_BYTES = HASH_BYTES * 16_384;

/** Schema of a summary; it yields the hashes of the rows. */
export const summarySchema = v.pipe(
  v.instance(Buffer),
  v.check(
    ({length}) => length <= MAX_SUMMARY_BYTES && length % HASH_BYTES === 0,
    'the summary is not a list of hashes of rows',
  ),
  v.transform(readHashes),
);

/** Schema of a difference. */
export const tablesDifferenceSchema = v.object({
  /** Version of the router that sent the summary, and the resulting one. */
  baseVersion: v.number(),
  version: v.number(),
  /** Rows that the router lacks. */
  routes: v.array(model.routeSchema),
  pools: v.array(model.poolSchema),
  /** Absent if the resulting tables have no customers. */
  customers: v.optional(v.array(model.customerSchema)),
  /** Hashes of the rows that the router has to drop. */
  dropped: v.array(v.string()),
  limits: model.limitsSchema,
  /** Of the resulting tables. */
  fingerprint: v.string(),
});

/** What leads from the rows of another router to the tables in force here. */
export type TablesDifference = v.InferOutput<typeof tablesDifferenceSchema>;

/** The hashes of all rows; undefined if there are too many for a summary. */
export function summarize(tables: model.Tables): Buffer | undefined {
  const hashes = rowHashes.allRows(tables).map(rowHashes.hashOf);
  const summary = Buffer.from(hashes.join(''), 'hex');
  return summary.length > MAX_SUMMARY_BYTES ? undefined : summary;
}

/** The difference for a router with the version and the hashes of its rows. */
export function diff(
  baseVersion: number,
  hashes: ReadonlySet<string>,
  next: model.Tables,
): TablesDifference {
  const {version, limits, customers} = next;
  const isLacking = (row: rowHashes.Row) => !hashes.has(rowHashes.hashOf(row));
  const nextHashes = new Set(rowHashes.allRows(next).map(rowHashes.hashOf));
  return {
    baseVersion,
    version,
    routes: next.routes.filter(isLacking),
    pools: next.pools.filter(isLacking),
    ...(customers ? {customers: customers.filter(isLacking)} : {}),
    dropped: [...hashes].filter(hash => !nextHashes.has(hash)),
    limits,
    fingerprint: rowHashes.fingerprintOf(next),
  };
}

/** Applies a difference; undefined if the result has another fingerprint. */
export function apply(
  base: model.Tables,
  {version, limits, dropped, fingerprint, ...lacking}: TablesDifference,
): model.Tables | undefined {
  const droppedHashes = new Set(dropped);
  const keep = <T extends rowHashes.Row>(rows: readonly T[] = []) =>
    rows.filter(row => !droppedHashes.has(rowHashes.hashOf(row)));
  const {routes, pools, customers} = lacking;
  const tables = {
    version,
    routes: [...keep(base.routes), ...routes],
    pools: [...keep(base.pools), ...pools],
    ...(customers ? {customers: [...keep(base.customers), ...customers]} : {}),
    limits,
  };
  return rowHashes.fingerprintOf(tables) === fingerprint ? tables : undefined;
}

function readHashes(summary: Buffer): ReadonlySet<string> {
  const hashes = new Set<string>();
  for (let start = 0; start < summary.length; start += HASH_BYTES) {
    hashes.add(summary.toString('hex', start, start + HASH_BYTES));
  }
  return hashes;
}
