/**
 * Edits of the configuration tables. The effect of an edit is a pure function
 * of the tables, the edit and its log offset, so that all readers of the log
 * reach the same tables.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** Row names that plain objects or record schemas do not accept as keys. */
const RESERVED_NAMES = new Set(['constructor', 'prototype', '__proto__']);

/** The verdict on an edit, and the tables after it; unchanged if rejected. */
export interface EditResult {
  readonly verdict: core.Verdict;
  readonly tables: core.Tables;
}

type TableRow = core.Tables[core.TableName][string];
type Rows = Record<string, TableRow>;

interface Rejection {
  readonly outcome: 'conflict' | 'invalid';
  readonly detail: string;
}

/** Validates the edit at log offset `offset` and applies it to `tables`. */
export function applyEdit(
  tables: core.Tables,
  edit: core.Edit,
  offset: number,
): EditResult {
  const conflict = findConflict(tables, edit);
  if (conflict) return reject(tables, edit, offset, conflict);
  const nextTables: core.Tables = {...tables};
  const copiedTables = new Set<core.TableName>();
  for (const change of edit.changes) {
    if (!copiedTables.has(change.table)) copyTable(nextTables, change.table);
    copiedTables.add(change.table);
    const problem = applyChange(nextTables, change, offset);
    if (problem) return reject(tables, edit, offset, asInvalid(problem));
  }
  const problem = findRuleViolation(nextTables);
  if (problem) return reject(tables, edit, offset, asInvalid(problem));
  return {
    verdict: createVerdict(edit, offset, 'accepted', ''),
    tables: nextTables,
  };
}

/** The current version of a row; `ABSENT_VERSION` if it does not exist. */
export function versionOf(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): number {
  const rows: Rows = tables[table];
  if (!Object.hasOwn(rows, name)) return ABSENT_VERSION;
  return rows[name]?.version ?? ABSENT_VERSION;
}

function asInvalid(detail: string): Rejection {
  return {outcome: 'invalid', detail};
}

function reject(
  tables: core.Tables,
  edit: core.Edit,
  offset: number,
  rejection: Rejection,
): EditResult {
  const verdict = createVerdict(
    edit,
    offset,
    rejection.outcome,
    rejection.detail,
  );
  return {verdict, tables};
}

function createVerdict(
  edit: core.Edit,
  offset: number,
  outcome: core.Verdict['outcome'],
  detail: string,
): core.Verdict {
  const changes = edit.changes.map(
    change =>
      `${change.row === null ? 'remove' : 'set'} ${change.table}/${change.name}`,
  );
  return {
    edit_id: edit.edit_id,
    operator: edit.operator,
    at_ms: edit.at_ms,
    offset,
    outcome,
    detail,
    changes,
  };
}

function findConflict(
  tables: core.Tables,
  edit: core.Edit,
): Rejection | undefined {
  for (const {table, name, expected_version: expected} of edit.changes) {
    const version = versionOf(tables, table, name);
    if (version === expected) continue;
    const detail = `${table}/${name} is at version ${version}, the edit expected ${expected}`;
    return {outcome: 'conflict', detail};
  }
  return undefined;
}

function copyTable(tables: core.Tables, table: core.TableName): void {
  Object.assign(tables, {[table]: {...tables[table]}});
}

/** Applies a change in place, or returns why it is invalid. */
function applyChange(
  tables: core.Tables,
  change: core.Change,
  offset: number,
): string | undefined {
  const {table, name} = change;
  const rows: Rows = tables[table];
  if (change.row === null) {
    delete rows[name];
    return undefined;
  }
  const label = `${table}/${name}`;
  if (RESERVED_NAMES.has(name)) return `${label}: name: the name is reserved`;
  const parsed = v.safeParse(core.ROW_SCHEMAS[table], change.row);
  if (!parsed.success) return `${label}: ${describeIssue(parsed.issues[0])}`;
  if (parsed.output.name !== name) {
    return `${label}: name: the row is named "${parsed.output.name}"`;
  }
  rows[name] = {version: offset + 1, row: parsed.output};
  return undefined;
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue);
  const text = core.describeIssue(issue);
  return path === null ? text : `${path}: ${text}`;
}

/** Returns a description of the first rule across rows that is violated. */
function findRuleViolation(tables: core.Tables): string | undefined {
  const routeByMatch = new Map<string, string>();
  for (const [name, {row}] of Object.entries(tables.routes)) {
    if (!Object.hasOwn(tables.pools, row.pool)) {
      return `routes/${name}: pool: there is no pool "${row.pool}"`;
    }
    const match = `${row.match.method ?? '*'} ${row.match.path_prefix}`;
    const duplicate = routeByMatch.get(match);
    if (duplicate !== undefined) {
      return `routes/${name}: match: routes/${duplicate} has the same match`;
    }
    routeByMatch.set(match, name);
  }
  return undefined;
}
