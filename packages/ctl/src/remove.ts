/** `remove`: removes a row of a table. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as results from './results.js';
import * as rollout from './rollout.js';
import * as rows from './rows.js';
import * as tableCommands from './tablecommands.js';

/** The commands `routes remove`, `pools remove` and `customers remove`. */
export class RemoveCommand extends command.OperatorCommand {
  static override paths = tableCommands.tableCommandPaths('remove');
  static override usage = command.usage(
    'remove a row of routes, pools or customers',
    'A pool that a route refers to cannot be removed.',
    [['Remove a route', 'oleanderctl routes remove chat']],
  );

  name = clipanion.Option.String({name: 'NAME'});

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const table = tableCommands.tableOfPath(this.path);
    const tables = await rows.readTables(admin);
    if (!tables.ok) return tables;
    const row = rows.requireRow(tables.value, table, this.name);
    if (!row.ok) return row;
    const {change} = diff.diffRemoval(tables.value, table, this.name);
    const verdict = await rows.submitEdit(admin, [change]);
    if (!verdict.ok) return verdict;
    return rollout.reportEdit(admin, verdict.value);
  }
}
