/** Publishes the operators' tables on a fleet. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as deployment from './deployment.js';

/** Where operators reach a router, and with what. */
export interface AdminAccess {
  /** As `127.0.0.1:8082`. */
  readonly address: string;
  readonly token: string;
}

function call(
  access: AdminAccess,
  path: string,
  body?: object,
): Promise<Response> {
  return fetch(`http://${access.address}/admin/v1/${path}`, {
    method: body ? 'POST' : 'GET',
    body: body && JSON.stringify(body),
    headers: {
      authorization: `Bearer ${access.token}`,
      'content-type': 'application/json',
      connection: 'close',
    },
  });
}

async function readTables(access: AdminAccess): Promise<core.Tables> {
  const answer = await call(access, 'tables');
  if (!answer.ok) throw new Error(`the tables: status ${answer.status}`);
  return v.parse(core.tablesSchema, await answer.json());
}

function changes(rows: deployment.Rows, now: core.Tables): core.Change[] {
  return (['pools', 'routes'] as const).flatMap(table =>
    rows[table].map(row => ({
      table,
      name: row.name,
      expected_version: now[table][row.name]?.version ?? 0,
      row,
    })),
  );
}

/** Sets rows in one edit. Throws where it is not accepted. */
export async function publish(
  rows: deployment.Rows,
  access: AdminAccess,
): Promise<void> {
  const edit = {
    operator: 'bench',
    changes: changes(rows, await readTables(access)),
  };
  const answer = await call(access, 'edits', edit);
  const text = await answer.text();
  if (!answer.ok || !text.includes('accepted')) {
    throw new Error(`the tables were not accepted: ${answer.status} ${text}`);
  }
}
