/** Publishes the operators' tables on a fleet. */
import * as core from '@oleanderrock/core';
import type * as deployment from './deployment.js';

/** Where operators reach a router, and with what. */
export interface AdminAccess {
  /** As `127.0.0.1:8082`. */
  readonly address: string;
  readonly token: string;
}

function changes(rows: deployment.Rows): core.Change[] {
  return core.TABLE_NAMES.filter(table => table !== 'customers').flatMap(
    table =>
      rows[table].map(row => ({
        table,
        name: row.name,
        expected_version: 0,
        row,
      })),
  );
}

/** Publishes new rows as one edit. Throws where it is not accepted. */
export async function publish(
  rows: deployment.Rows,
  access: AdminAccess,
): Promise<void> {
  const answer = await fetch(`http://${access.address}/admin/v1/edits`, {
    method: 'POST',
    body: JSON.stringify({operator: 'bench', changes: changes(rows)}),
    headers: {
      authorization: `Bearer ${access.token}`,
      'content-type': 'application/json',
      connection: 'close',
    },
  });
  const text = await answer.text();
  if (!answer.ok || !text.includes('accepted')) {
    throw new Error(`the tables were not accepted: ${answer.status} ${text}`);
  }
}
