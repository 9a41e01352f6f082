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
