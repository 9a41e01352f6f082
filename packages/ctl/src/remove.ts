/** `routes remove`, `pools remove`, `customers remove`. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as exits from './exits.js';
import * as force from './force.js';
import * as rows from './rows.js';
import * as words from './words.js';

/** Removes one row. */
export class RemoveCommand extends command.OperatorCommand {
  static override paths = words.paths('remove');
  static override usage = command.usage(
    'remove a row of routes, pools or customers',
    'A pool that a route names cannot be removed.',
    [['A route', 'oleanderctl routes remove chat']],
  );

  name = clipanion.Option.String({name: 'NAME'});

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const table = words.table(this.path);
    const tables = await rows.readTables(routers);
    if (!tables.ok) return tables;
    const found = rows.demand(tables.value, table, this.name);
    if (!found.ok) return found;
    const {change} = diff.remove(tables.value, table, this.name);
    const verdict = await rows.submit(routers, [change]);
    if (!verdict.ok) return verdict;
    return force.report(routers, verdict.value);
  }
}
