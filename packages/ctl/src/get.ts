/** `routes get`, `pools get`, `customers get`. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';
import * as rows from './rows.js';
import * as words from './words.js';

/** Shows one row. */
export class GetCommand extends command.OperatorCommand {
  static override paths = words.paths('get');
  static override usage = command.usage(
    'show one row of routes, pools or customers with its version',
    'With --json the row stands as `set NAME --file` takes it, with a version.',
    [['A pool', 'oleanderctl pools get engines']],
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
    const {version, row} = found.value;
    const lines = print
      .fields(row)
      .map(([field, value]) => `${field}=${value}`);
    const text = [`version=${version}`, ...lines].join('\n');
    return exits.succeed({data: found.value, text});
  }
}
