/** Differences between the tables and a set of target rows. */
import * as core from '@oleanderrock/core';
import * as format from './format.js';
import * as rows from './rows.js';

/** Rows that the tables should have, by table. */
export type TargetRows = Readonly<Record<core.TableName, readonly core.Row[]>>;

/** Options of `diffTables`. */
export interface DiffOptions {
  /** Whether to remove rows that are not in the target. */
  readonly isPruning: boolean;
}

/** A change to a row, with the lines that show it. */
export interface RowDiff {
  readonly change: core.Change;
  readonly lines: readonly string[];
}

/** The changes that make the tables match the target rows. */
export function diffTables(
  tables: core.Tables,
  target: TargetRows,
  {isPruning}: DiffOptions,
): readonly RowDiff[] {
  return core.TABLE_NAMES.flatMap(table => {
    const changes = target[table].flatMap(row => diffRow(tables, table, row));
    const targetNames = new Set(target[table].map(row => row.name));
    const removedNames = Object.keys(tables[table]).filter(
      name => isPruning && !targetNames.has(name),
    );
    return [
      ...changes,
      ...removedNames.map(name => diffRemoval(tables, table, name)),
    ];
  });
}

/** The change that sets a row; empty if the row has these fields already. */
export function diffRow(
  tables: core.Tables,
  table: core.TableName,
  row: core.Row,
): readonly RowDiff[] {
  const {name} = row;
  const {version, row: currentRow} = rows.findRow(tables, table, name);
  const newRow = withDrainedEndpoints(currentRow, row);
  const change = {table, name, expected_version: version, row: newRow};
  const newFields = new Map(format.flattenFields(newRow));
  if (!currentRow) {
    const fieldLines = [...newFields].map(
      ([field, value]) => `    ${field}=${value}`,
    );
    return [{change, lines: [`+ ${table}/${name}`, ...fieldLines]}];
  }
  const lines = changedFieldLines(
    new Map(format.flattenFields(currentRow)),
    newFields,
  );
  if (lines.length === 0) return [];
  return [{change, lines: [`~ ${table}/${name}`, ...lines]}];
}

/** The change that removes a row. */
export function diffRemoval(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): RowDiff {
  const {version} = rows.findRow(tables, table, name);
  const change = {table, name, expected_version: version, row: null};
  return {change, lines: [`- ${table}/${name}`]};
}

/**
 * Copies the drained endpoints of the current row unless the new row gives its
 * own, so that a file without them does not undo a drain.
 */
function withDrainedEndpoints(
  currentRow: core.Row | undefined,
  row: core.Row,
): core.Row {
  if (!currentRow || !('drained_endpoints' in currentRow)) return row;
  return {drained_endpoints: currentRow.drained_endpoints, ...row};
}

/** One line for each field that differs, with its old and new value. */
function changedFieldLines(
  currentFields: ReadonlyMap<string, string>,
  newFields: ReadonlyMap<string, string>,
): string[] {
  const fieldNames = [
    ...new Set([...currentFields.keys(), ...newFields.keys()]),
  ];
  return fieldNames
    .filter(name => currentFields.get(name) !== newFields.get(name))
    .map(name => {
      const [currentValue = '(none)', newValue = '(none)'] = [
        currentFields.get(name),
        newFields.get(name),
      ];
      return `    ${name}: ${currentValue} -> ${newValue}`;
    });
}
