/** `set`: creates or changes a row of a table. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as core from '@oleanderrock/core';
import * as assignmentList from './assignments.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as results from './results.js';
import * as files from './files.js';
import * as rollout from './rollout.js';
import * as rows from './rows.js';
import * as tableCommands from './tablecommands.js';

/** The commands `routes set`, `pools set` and `customers set`. */
export class SetCommand extends command.OperatorCommand {
  static override paths = tableCommands.tableCommandPaths('set');
  static override usage = command.usage(
    'create or change a row of routes, pools or customers',
    '`field=value` changes a field of the existing row. Separate list items by commas and the names of nested fields by dots; an empty value removes the field. `--file` reads the whole row as JSON; `-` is standard input. The edit is refused if the row has changed since it was read, or is not at `--row-version`.',
    [
      [
        'Set a pool of two engines',
        'oleanderctl pools set engines endpoints=e1,e2 load_multiple=1.25',
      ],
      [
        'Set a route to this pool',
        'oleanderctl routes set chat pool=engines match.path_prefix=/chat',
      ],
      [
        'Limit a customer',
        'oleanderctl customers set acme requests_per_minute=600',
      ],
      ['Set a row from a file', 'oleanderctl routes set chat --file chat.json'],
    ],
  );

  name = clipanion.Option.String({name: 'NAME'});
  assignments = clipanion.Option.Rest({name: 'field=value'});
  file = clipanion.Option.String('--file', {
    description: 'file with the whole row as JSON; - for standard input',
  });
  rowVersion = clipanion.Option.String('--row-version', {
    description: 'version that the row must have; 0 if it must not exist',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const table = tableCommands.tableOfPath(this.path);
    const tables = await rows.readTables(admin);
    if (!tables.ok) return tables;
    const target = await this.readTargetRow(table, tables.value);
    if (!target.ok) return target;
    const [rowDiff] = diff.diffRow(tables.value, table, target.value);
    if (!rowDiff) {
      const text = `${table}/${this.name} has these fields already`;
      return results.succeed({data: {changes: []}, text});
    }
    const change = this.withExpectedVersion(rowDiff.change);
    if (!change.ok) return change;
    const verdict = await rows.submitEdit(admin, [change.value]);
    if (!verdict.ok) return verdict;
    return rollout.reportEdit(admin, verdict.value, [change.value]);
  }

  /** The row from the file or the tables, with the assignments applied. */
  private async readTargetRow(
    table: core.TableName,
    tables: core.Tables,
  ): Promise<results.Result<core.Row>> {
    const {name, file, assignments} = this;
    if (file === undefined && assignments.length === 0) {
      return results.fail('usage', 'give field=value or --file');
    }
    const baseRow = file
      ? await files.readJson(file, this.context.stdin)
      : results.succeed(rows.findRow(tables, table, name).row ?? {});
    if (!baseRow.ok) return baseRow;
    const {value} = baseRow;
    if (!isObject(value)) {
      return results.fail('usage', `${file}: must be a JSON object`);
    }
    const assignedFields = assignmentList.applyAssignments(
      table,
      {name, ...value},
      assignments,
    );
    if (!assignedFields.ok) return assignedFields;
    const row = rows.parseRow(table, assignedFields.value, `${table}/${name}`);
    if (!row.ok || row.value.name === name) return row;
    const message = `${table}/${name}: name: the row is named "${row.value.name}"`;
    return results.fail(
      'usage',
      message,
      'use the same name in the row and on the command line',
    );
  }

  private withExpectedVersion(
    change: core.Change,
  ): results.Result<core.Change> {
    if (this.rowVersion === undefined) return results.succeed(change);
    const version = Number(this.rowVersion);
    if (!Number.isSafeInteger(version) || version < 0) {
      return results.fail('usage', '--row-version: must be a whole number');
    }
    return results.succeed({...change, expected_version: version});
  }
}

function isObject(value: unknown): value is assignmentList.RowFields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
