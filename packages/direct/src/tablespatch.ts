/**
 * Patches of the tables: the rows that differ between two versions. A version
 * usually changes a few of many rows, so routers send each other patches
 * instead of whole tables.
 */
import * as v from 'valibot';
import * as model from './model.js';
import * as rowHashes from './rowhashes.js';

/** Schema of the changes to one table; rows are identified by their name. */
function tablePatchSchema<T extends v.GenericSchema>(rowSchema: T) {
  return v.object({changed: v.array(rowSchema), removed: v.array(v.string())});
}

/** Schema of a patch. */
export const tablesPatchSchema = v.object({
  /** Version to which the patch applies, and the version that it yields. */
  baseVersion: v.number(),
  version: v.number(),
  routes: tablePatchSchema(model.routeSchema),
  pools: tablePatchSchema(model.poolSchema),
  /** Absent if neither version has customers. */
  customers: v.optional(tablePatchSchema(model.customerSchema)),
  limits: model.limitsSchema,
});

/** The differences between two versions of the tables. */
export type TablesPatch = v.InferOutput<typeof tablesPatchSchema>;

interface TablePatch<T extends rowHashes.Row> {
  readonly changed: T[];
  readonly removed: string[];
}

/** Maximum number of rows in a patch; a larger one is no better than tables. */
const MAX_PATCH_ROWS = 200;

/**
 * The patch from `base` to `next`; undefined if it would have too many rows,
 * rows cannot be told apart by their names, the patch would not yield the order
 * of rows among which the order decides, or customers are added to tables
 * without or removed as a whole.
 */
export function diffTables(
  base: model.Tables,
  next: model.Tables,
): TablesPatch | undefined {
  if (Boolean(base.customers) !== Boolean(next.customers)) return undefined;
  const routes = diffRows(base.routes, next.routes);
  const pools = routes && diffRows(base.pools, next.pools);
  const customers =
    pools && diffRows(base.customers ?? [], next.customers ?? []);
  if (!routes || !pools || !customers) return undefined;
  const patch = {
    baseVersion: base.version,
    version: next.version,
    routes,
    pools,
    ...(next.customers ? {customers} : {}),
    limits: next.limits,
  };
  const isUsable =
    patchSize(patch) <= MAX_PATCH_ROWS && keepsOrder(base, patch, next);
  return isUsable ? patch : undefined;
}

/** Applies a patch; undefined if it is for another version. */
export function applyPatch(
  base: model.Tables,
  patch: TablesPatch,
): model.Tables | undefined {
  if (base.version !== patch.baseVersion) return undefined;
  return {
    version: patch.version,
    routes: patchRows(base.routes, patch.routes),
    pools: patchRows(base.pools, patch.pools),
    ...(patch.customers
      ? {customers: patchRows(base.customers ?? [], patch.customers)}
      : {}),
    limits: patch.limits,
  };
}

/** Number of rows in a patch. */
function patchSize({routes, pools, customers}: TablesPatch): number {
  return [routes, pools, customers].reduce(
    (sum, table) =>
      sum + (table?.changed.length ?? 0) + (table?.removed.length ?? 0),
    0,
  );
}

/**
 * Whether the patch yields the same order of rows as `next` where it decides.
 * This then also holds for other routers that apply it to tables of the base
 * version: unchanged rows keep their order, and changed ones follow in theirs.
 */
function keepsOrder(
  base: model.Tables,
  patch: TablesPatch,
  next: model.Tables,
): boolean {
  const order = rowHashes.decidingOrder(next);
  if (order === '') return true;
  const patched = applyPatch(base, patch);
  return patched !== undefined && rowHashes.decidingOrder(patched) === order;
}

/** Undefined if names are not unique, or too many rows differ. */
function diffRows<T extends rowHashes.Row>(
  base: readonly T[],
  next: readonly T[],
): TablePatch<T> | undefined {
  if (Math.abs(next.length - base.length) > MAX_PATCH_ROWS) return undefined;
  const baseRows = new Map(base.map(row => [row.name, row]));
  const nextNames = new Set(next.map(({name}) => name));
  const hasUniqueNames =
    baseRows.size === base.length && nextNames.size === next.length;
  if (!hasUniqueNames) return undefined;
  const removed = [...baseRows.keys()].filter(name => !nextNames.has(name));
  const changed: T[] = [];
  for (const row of next) {
    const baseRow = baseRows.get(row.name);
    const isUnchanged =
      baseRow && rowHashes.hashOf(baseRow) === rowHashes.hashOf(row);
    if (!isUnchanged) changed.push(row);
    if (changed.length + removed.length > MAX_PATCH_ROWS) return undefined;
  }
  return {changed, removed};
}

function patchRows<T extends rowHashes.Row>(
  base: readonly T[],
  {changed, removed}: TablePatch<T>,
): T[] {
  const rows = new Map(base.map(row => [row.name, row]));
  for (const name of removed) rows.delete(name);
  for (const row of changed) {
    rows.delete(row.name);
    rows.set(row.name, row);
  }
  return [...rows.values()];
}
