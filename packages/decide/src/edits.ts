/**
 * Edits: what one edit does to the tables. A pure function of the tables, the
 * edit and its offset, so that all readers of the log agree.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** Names that a plain object or a schema of records cannot hold as keys. */
const RESERVED_NAMES = new Set(['constructor', 'prototype', '__proto__']);

/** An edit that passed, with the tables after it, or one that did not. */
export interface Judgement {
  readonly verdict: core.Verdict;
  readonly tables: core.Tables;
}

type Version = core.Tables[core.TableName][string];
type Rows = Record<string, Version>;

interface Refusal {
  readonly outcome: 'conflict' | 'invalid';
  readonly detail: string;
}

/** Judges an edit that stands at `offset`, on the tables before it. */
export function judge(
  tables: core.Tables,
  edit: core.Edit,
  offset: number,
): Judgement {
  const conflict = findConflict(tables, edit);
  if (conflict) return refuse(tables, edit, offset, conflict);
  const next: core.Tables = {...tables};
  const copied = new Set<core.TableName>();
  for (const change of edit.changes) {
    if (!copied.has(change.table)) copyTable(next, change.table);
    copied.add(change.table);
    const fault = applyChange(next, change, offset);
    if (fault) return refuse(tables, edit, offset, invalid(fault));
  }
  const fault = findBrokenRule(next);
  if (fault) return refuse(tables, edit, offset, invalid(fault));
  return {verdict: describe(edit, offset, 'accepted', ''), tables: next};
}

/** The version of a row now; `ABSENT_VERSION` where there is none. */
export function versionOf(
  tables: core.Tables,
  table: core.TableName,
  name: string,
): number {
  const rows: Rows = tables[table];
  if (!Object.hasOwn(rows, name)) return ABSENT_VERSION;
  return rows[name]?.version ?? ABSENT_VERSION;
}

function invalid(detail: string): Refusal {
  return {outcome: 'invalid', detail};
}

function refuse(
  tables: core.Tables,
  edit: core.Edit,
  offset: number,
  refusal: Refusal,
): Judgement {
  const verdict = describe(edit, offset, refusal.outcome, refusal.detail);
  return {verdict, tables};
}

function describe(
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
): Refusal | undefined {
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
  const text = core.explain(issue);
  return path === null ? text : `${path}: ${text}`;
}

function findBrokenRule(tables: core.Tables): string | undefined {
  const seen = new Map<string, string>();
  for (const [name, {row}] of Object.entries(tables.routes)) {
    if (!Object.hasOwn(tables.pools, row.pool)) {
      return `routes/${name}: pool: there is no pool "${row.pool}"`;
    }
    const match = `${row.match.method ?? '*'} ${row.match.path_prefix}`;
    const twin = seen.get(match);
    if (twin !== undefined) {
      return `routes/${name}: match: routes/${twin} has the same match`;
    }
    seen.set(match, name);
  }
  return undefined;
}
