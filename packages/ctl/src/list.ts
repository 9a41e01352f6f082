/** `list`: lists the rows of a table. */
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';
import * as rows from './rows.js';
import * as tableCommands from './tablecommands.js';

/** Fields left out of the column `fields`: they have their own column. */
const HIDDEN_FIELDS = ['name'];

/** The commands `routes list`, `pools list` and `customers list`. */
export class ListCommand extends command.OperatorCommand {
  static override paths = tableCommands.tableCommandPaths('list');
  static override usage = command.usage(
    'list the rows of routes, pools or customers',
    'Prints each row with its version and fields.',
    [
      ['List the routes', 'oleanderctl routes list'],
      [
        'List the names of the pools',
        'oleanderctl pools list --json | jq keys',
      ],
    ],
  );

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const table = tableCommands.tableOfPath(this.path);
    const tables = await rows.readTables(admin);
    if (!tables.ok) return tables;
    const versionedRows: Readonly<Record<string, rows.VersionedRow>> =
      tables.value[table];
    return results.succeed({
      data: versionedRows,
      text: formatRows(table, versionedRows),
    });
  }
}

function formatRows(
  table: core.TableName,
  versionedRows: Readonly<Record<string, rows.VersionedRow>>,
): string {
  const tableRows = Object.entries(versionedRows).map(
    ([name, {version, row}]) => [
      name,
      String(version),
      format
        .flattenFields(row ?? {})
        .filter(([field]) => !HIDDEN_FIELDS.includes(field))
        .map(([field, value]) => `${field}=${value}`)
        .join(' '),
    ],
  );
  if (tableRows.length === 0) return `the table of ${table} is empty`;
  return format.formatTable(['name', 'version', 'fields'], tableRows);
}
