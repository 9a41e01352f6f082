/** `routes set`, `pools set`, `customers set`. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as core from '@oleanderrock/core';
import * as assign from './assign.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as exits from './exits.js';
import * as files from './files.js';
import * as force from './force.js';
import * as rows from './rows.js';
import * as words from './words.js';

/** Sets one row. */
export class SetCommand extends command.OperatorCommand {
  static override paths = words.paths('set');
  static override usage = command.usage(
    'create or change a row of routes, pools or customers',
    'Fields as `field=value` change the row that is there; lists take commas, nested fields dots, and an empty value clears. `--file` gives the whole row as JSON; `-` is standard input. The edit is refused when the row has changed since it was read, or since `--row-version`.',
    [
      [
        'A pool of two engines',
        'oleanderctl pools set engines endpoints=e1,e2 load_multiple=1.25',
      ],
      [
        'A route to it',
        'oleanderctl routes set chat pool=engines match.path_prefix=/chat',
      ],
      ['A limit', 'oleanderctl customers set acme requests_per_minute=600'],
      ['From a file', 'oleanderctl routes set chat --file chat.json'],
    ],
  );

  name = clipanion.Option.String({name: 'NAME'});
  assignments = clipanion.Option.Rest({name: 'field=value'});
  file = clipanion.Option.String('--file', {
    description: 'JSON of the whole row; - for standard input',
  });
  rowVersion = clipanion.Option.String('--row-version', {
    description: 'version that the row must have; 0 where it must be new',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const table = words.table(this.path);
    const tables = await rows.readTables(routers);
    if (!tables.ok) return tables;
    const wanted = await this.readRow(table, tables.value);
    if (!wanted.ok) return wanted;
    const [difference] = diff.set(tables.value, table, wanted.value);
    if (!difference) {
      const text = `${table}/${this.name} is so already`;
      return exits.succeed({data: {changes: []}, text});
    }
    const change = this.expect(difference.change);
    if (!change.ok) return change;
    const verdict = await rows.submit(routers, [change.value]);
    if (!verdict.ok) return verdict;
    return force.report(routers, verdict.value, [change.value]);
  }

  private async readRow(
    table: core.TableName,
    tables: core.Tables,
  ): Promise<exits.Result<core.Row>> {
    const {name, file, assignments} = this;
    if (file === undefined && assignments.length === 0) {
      return exits.stop('usage', 'give field=value or --file');
    }
    const base = file
      ? await files.readJson(file, this.context.stdin)
      : exits.succeed(rows.find(tables, table, name).row ?? {});
    if (!base.ok) return base;
    const {value} = base;
    if (!isObject(value)) {
      return exits.stop('usage', `${file}: must be a JSON object`);
    }
    const assigned = assign.assign(table, {name, ...value}, assignments);
    if (!assigned.ok) return assigned;
    const row = rows.check(table, assigned.value, `${table}/${name}`);
    if (!row.ok || row.value.name === name) return row;
    const line = `${table}/${name}: name: the row is named "${row.value.name}"`;
    return exits.stop('usage', line, 'give both the same name');
  }

  private expect(change: core.Change): exits.Result<core.Change> {
    if (this.rowVersion === undefined) return exits.succeed(change);
    const version = Number(this.rowVersion);
    if (!Number.isSafeInteger(version) || version < 0) {
      return exits.stop('usage', '--row-version: must be a whole number');
    }
    return exits.succeed({...change, expected_version: version});
  }
}

function isObject(value: unknown): value is assign.Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
