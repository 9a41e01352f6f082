/** `routes list`, `pools list`, `customers list`. */
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';
import * as rows from './rows.js';
import * as words from './words.js';

const SKIPPED = ['name'];

/** Lists the rows of a table. */
export class ListCommand extends command.OperatorCommand {
  static override paths = words.paths('list');
  static override usage = command.usage(
    'list the rows of routes, pools or customers',
    'Each row stands with the version of its last edit.',
    [
      ['The routes', 'oleanderctl routes list'],
      ['The names of the pools', 'oleanderctl pools list --json | jq keys'],
    ],
  );

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const table = words.table(this.path);
    const tables = await rows.readTables(routers);
    if (!tables.ok) return tables;
    const data: Readonly<Record<string, rows.Versioned>> = tables.value[table];
    return exits.succeed({data, text: describe(table, data)});
  }
}

function describe(
  table: core.TableName,
  data: Readonly<Record<string, rows.Versioned>>,
): string {
  const lines = Object.entries(data).map(([name, {version, row}]) => [
    name,
    String(version),
    print
      .fields(row ?? {})
      .filter(([field]) => !SKIPPED.includes(field))
      .map(([field, value]) => `${field}=${value}`)
      .join(' '),
  ]);
  if (lines.length === 0) return `the table of ${table} is empty`;
  return print.table(['name', 'version', 'fields'], lines);
}
