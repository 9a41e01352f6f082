/** The rows of the tables: reading them and sending edits of them. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as exits from './exits.js';
import * as print from './print.js';

/** A row with the version of its last edit; 0 where it does not exist. */
export interface Versioned {
  readonly version: number;
  readonly row?: core.Row;
}

/** Reads all tables. */
export function readTables(
  routers: client.Client,
): Promise<exits.Result<core.Tables>> {
  return routers.call(core.tablesSchema, {path: '/tables'});
}

/** The row of the name, or none at version 0. */
export function find(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): Versioned {
  const rows: Readonly<Record<string, Versioned>> = tables[table];
  const found = Object.hasOwn(rows, name) ? rows[name] : undefined;
  return found ?? {version: 0};
}

/** A row that exists, or what to tell of one that does not. */
export function demand(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): exits.Result<Required<Versioned>> {
  const {version, row} = find(tables, table, name);
  if (row) return exits.succeed({version, row});
  const known = print.words(Object.keys(tables[table]));
  const line = `there is no row ${table}/${name}`;
  return exits.stop('refused', line, `there are: ${known}`);
}

/** Options of an edit. */
export interface SubmitOptions {
  /** Asks for the verdict without an edit. */
  readonly isDryRun?: boolean;
}

/** Sends an edit under a fresh id. */
export function submit(
  routers: client.Client,
  changes: readonly core.Change[],
  {isDryRun = false}: SubmitOptions = {},
): Promise<exits.Result<core.Verdict>> {
  return routers.call(core.verdictSchema, {
    method: 'POST',
    path: '/edits',
    body: {
      edit_id: core.createId(),
      operator: routers.options.operator,
      dry_run: isDryRun,
      changes,
    },
  });
}

/** Checks a row by its table's schema; defaults are filled in. */
export function check(
  table: core.TableName,
  content: unknown,
  place: string,
): exits.Result<core.Row> {
  const parsed = v.safeParse(core.ROW_SCHEMAS[table], content);
  if (parsed.success) return exits.succeed(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue);
  const field = path === null ? place : `${place}: ${path}`;
  return exits.stop('usage', `${field}: ${core.explain(issue)}`);
}
