/** Reads and edits the rows of the tables. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as results from './results.js';
import * as format from './format.js';

/** A row with its version; version 0 if the row does not exist. */
export interface VersionedRow {
  readonly version: number;
  readonly row?: core.Row;
}

/** Reads all tables. */
export function readTables(
  admin: client.AdminClient,
): Promise<results.Result<core.Tables>> {
  return admin.call(core.tablesSchema, {path: '/tables'});
}

/** Finds a row by name; its version is 0 if it does not exist. */
export function findRow(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): VersionedRow {
  const rows: Readonly<Record<string, VersionedRow>> = tables[table];
  const versionedRow = Object.hasOwn(rows, name) ? rows[name] : undefined;
  return versionedRow ?? {version: 0};
}

/** Finds a row by name; fails with the list of names if it does not exist. */
export function requireRow(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): results.Result<Required<VersionedRow>> {
  const {version, row} = findRow(tables, table, name);
  if (row) return results.succeed({version, row});
  const names = format.commaSeparated(Object.keys(tables[table]));
  const message = `there is no row ${table}/${name}`;
  return results.fail('refused', message, `existing names: ${names}`);
}

/** Options of an edit. */
export interface EditOptions {
  /** Only check whether the edit would be accepted. */
  readonly isDryRun?: boolean;
}

/** Sends an edit with a new id; resolves with the verdict. */
export function submitEdit(
  admin: client.AdminClient,
  changes: readonly core.Change[],
  {isDryRun = false}: EditOptions = {},
): Promise<results.Result<core.Verdict>> {
  return admin.call(core.verdictSchema, {
    method: 'POST',
    path: '/edits',
    body: {
      edit_id: core.createId(),
      operator: admin.options.operator,
      dry_run: isDryRun,
      changes,
    },
  });
}

/**
 * Parses a row by the schema of its table, which fills in defaults.
 * @param location place of the row, for the error message
 */
export function parseRow(
  table: core.TableName,
  input: unknown,
  location: string,
): results.Result<core.Row> {
  const parsed = v.safeParse(core.ROW_SCHEMAS[table], input);
  if (parsed.success) return results.succeed(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue);
  const fieldLocation = path === null ? location : `${location}: ${path}`;
  return results.fail(
    'usage',
    `${fieldLocation}: ${core.describeIssue(issue)}`,
  );
}
