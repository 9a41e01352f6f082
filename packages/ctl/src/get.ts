/** `get`: shows one row of a table. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';
import * as rows from './rows.js';
import * as tableCommands from './tablecommands.js';

/** The commands `routes get`, `pools get` and `customers get`. */
export class GetCommand extends command.OperatorCommand {
  static override paths = tableCommands.tableCommandPaths('get');
  static override usage = command.usage(
    'show one row of routes, pools or customers with its version',
    'The output of --json holds the row as `set NAME --file` reads it, and its version.',
    [['Show a pool', 'oleanderctl pools get engines']],
  );

  name = clipanion.Option.String({name: 'NAME'});

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const table = tableCommands.tableOfPath(this.path);
    const tables = await rows.readTables(admin);
    if (!tables.ok) return tables;
    const versionedRow = rows.requireRow(tables.value, table, this.name);
    if (!versionedRow.ok) return versionedRow;
    const {version, row} = versionedRow.value;
    const fieldLines = format
      .flattenFields(row)
      .map(([field, value]) => `${field}=${value}`);
    const text = [`version=${version}`, ...fieldLines].join('\n');
    return results.succeed({data: versionedRow.value, text});
  }
}
