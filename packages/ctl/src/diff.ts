/** What a set of rows would change in the tables. */
import * as core from '@oleanderrock/core';
import * as print from './print.js';
import * as rows from './rows.js';

/** Rows that are wanted, by table. */
export type Wanted = Readonly<Record<core.TableName, readonly core.Row[]>>;

/** Options of a comparison. */
export interface CompareOptions {
  /** Removes the rows that are not wanted. */
  readonly isPruning: boolean;
}

/** One change with the lines that show it. */
export interface Difference {
  readonly change: core.Change;
  readonly lines: readonly string[];
}

/** Compares the tables with the wanted rows. */
export function compare(
  tables: core.Tables,
  wanted: Wanted,
  {isPruning}: CompareOptions,
): readonly Difference[] {
  return core.TABLE_NAMES.flatMap(table => {
    const changed = wanted[table].flatMap(row => set(tables, table, row));
    const names = new Set(wanted[table].map(row => row.name));
    const dropped = Object.keys(tables[table]).filter(
      name => isPruning && !names.has(name),
    );
    return [...changed, ...dropped.map(name => remove(tables, table, name))];
  });
}

/** The change that sets a row; none where the row is so already. */
export function set(
  tables: core.Tables,
  table: core.TableName,
  row: core.Row,
): readonly Difference[] {
  const {name} = row;
  const {version, row: old} = rows.find(tables, table, name);
  const next = keepDrained(old, row);
  const change = {table, name, expected_version: version, row: next};
  const after = new Map(print.fields(next));
  if (!old) {
    const all = [...after].map(([field, value]) => `    ${field}=${value}`);
    return [{change, lines: [`+ ${table}/${name}`, ...all]}];
  }
  const lines = changedFields(new Map(print.fields(old)), after);
  if (lines.length === 0) return [];
  return [{change, lines: [`~ ${table}/${name}`, ...lines]}];
}

/** The change that removes a row. */
export function remove(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): Difference {
  const {version} = rows.find(tables, table, name);
  const change = {table, name, expected_version: version, row: null};
  return {change, lines: [`- ${table}/${name}`]};
}

/** A row that says nothing of drained endpoints leaves them as they are. */
function keepDrained(old: core.Row | undefined, row: core.Row): core.Row {
  if (!old || !('drained_endpoints' in old)) return row;
  return {drained_endpoints: old.drained_endpoints, ...row};
}

function changedFields(
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): string[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names
    .filter(name => before.get(name) !== after.get(name))
    .map(name => {
      const [old = '(none)', next = '(none)'] = [
        before.get(name),
        after.get(name),
      ];
      return `    ${name}: ${old} -> ${next}`;
    });
}
