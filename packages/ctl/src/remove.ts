/** `routes remove`, `pools remove`, `customers remove`. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as exits from './exits.js';
import * as force from './force.js';
import * as print from './print.js';
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
    if (!rows.find(tables.value, table, this.name).row) {
      const known = print.words(Object.keys(tables.value[table]));
      const line = `there is no row ${table}/${this.name}`;
      return exits.stop('refused', line, `there are: ${known}`);
    }
    const {change} = diff.remove(tables.value, table, this.name);
    const verdict = await rows.submit(routers, [change]);
    if (!verdict.ok) return verdict;
    return force.report(routers, verdict.value);
  }
}
