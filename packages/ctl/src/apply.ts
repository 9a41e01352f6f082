/** `apply`: changes the tables to match a file, in one edit. */
import * as readline from 'node:readline/promises';
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as results from './results.js';
import * as files from './files.js';
import * as rollout from './rollout.js';
import * as rows from './rows.js';

const rowListSchema = v.optional(v.array(v.unknown()), []);

/**
 * Schema of the file. Rows are parsed separately, so that a message gives the
 * index of an invalid row.
 */
const fileSchema = v.strictObject({
  routes: rowListSchema,
  pools: rowListSchema,
  customers: rowListSchema,
});

/** The command `apply`. */
export class ApplyCommand extends command.OperatorCommand {
  static override paths = [['apply']];
  static override usage = command.usage(
    'change the tables to the content of a file',
    'FILE is JSON: {"routes": [...], "pools": [...], "customers": [...]}, or - for standard input. Prints the changes and applies them atomically in one edit, which is refused if a changed row is no longer at the version that was read. Rows that are not in the file are kept, unless --prune is given.',
    [
      ['Show the changes only', 'oleanderctl apply tables.json --dry-run'],
      ['Apply without confirmation', 'oleanderctl apply tables.json --yes'],
    ],
  );

  file = clipanion.Option.String({name: 'FILE'});
  isDryRun = clipanion.Option.Boolean('--dry-run', false, {
    description:
      'print the changes and whether they would be accepted; change nothing',
  });
  isConfirmed = clipanion.Option.Boolean('--yes,-y', false, {
    description: 'apply without asking for confirmation',
  });
  isPruning = clipanion.Option.Boolean('--prune', false, {
    description: 'remove rows that are not in the file',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const target = await this.readTargetRows();
    if (!target.ok) return target;
    const tables = await rows.readTables(admin);
    if (!tables.ok) return tables;
    const {isPruning} = this;
    const rowDiffs = diff.diffTables(tables.value, target.value, {isPruning});
    const diffLines = rowDiffs.flatMap(rowDiff => rowDiff.lines).join('\n');
    const changes = rowDiffs.map(rowDiff => rowDiff.change);
    if (changes.length === 0) {
      return results.succeed({data: {changes}, text: 'no changes'});
    }
    if (this.isDryRun) return dryRun(admin, changes, diffLines);
    if (!this.isJson) this.context.stdout.write(`${diffLines}\n`);
    const confirmation = await this.confirm();
    if (!confirmation.ok) return confirmation;
    const verdict = await rows.submitEdit(admin, changes);
    if (!verdict.ok) return verdict;
    return rollout.reportEdit(admin, verdict.value, changes);
  }

  private async readTargetRows(): Promise<results.Result<diff.TargetRows>> {
    const json = await files.readJson(this.file, this.context.stdin);
    if (!json.ok) return json;
    const parsed = v.safeParse(fileSchema, json.value);
    if (!parsed.success) {
      const [issue] = parsed.issues;
      const field = v.getDotPath(issue) ?? 'the file';
      return results.fail(
        'usage',
        `${this.file}: ${field}: ${core.describeIssue(issue)}`,
      );
    }
    return parseTargetRows(this.file, parsed.output);
  }

  private async confirm(): Promise<results.Result<void>> {
    if (this.isConfirmed) return results.succeed(undefined);
    if (!process.stdin.isTTY) {
      return results.fail(
        'usage',
        'cannot ask for confirmation: standard input is not a terminal',
        'give --yes',
      );
    }
    const prompt = readline.createInterface({
      input: process.stdin,
      output: process.stderr,
    });
    const answer = await prompt.question('apply these changes? [y/N] ');
    prompt.close();
    if (/^y(es)?$/i.test(answer.trim())) return results.succeed(undefined);
    return results.fail('refused', 'not confirmed; nothing was changed');
  }
}

/** Parses the rows of the file; fails on the first invalid or duplicate one. */
function parseTargetRows(
  file: string,
  fileContent: v.InferOutput<typeof fileSchema>,
): results.Result<diff.TargetRows> {
  const target: Record<core.TableName, core.Row[]> = {
    routes: [],
    pools: [],
    customers: [],
  };
  for (const table of core.TABLE_NAMES) {
    const names = new Set<string>();
    for (const [index, item] of fileContent[table].entries()) {
      const location = `${file}: ${table}[${index}]`;
      const row = rows.parseRow(table, item, location);
      if (!row.ok) return row;
      const {name} = row.value;
      if (names.has(name)) {
        return results.fail(
          'usage',
          `${location}: name: ${name} is used twice`,
        );
      }
      names.add(name);
      target[table].push(row.value);
    }
  }
  return results.succeed(target);
}

/** Submits the changes as a dry run, which checks them but applies nothing. */
async function dryRun(
  admin: client.AdminClient,
  changes: readonly core.Change[],
  diffLines: string,
): Promise<results.Result<command.CommandOutput>> {
  const verdict = await rows.submitEdit(admin, changes, {isDryRun: true});
  if (!verdict.ok) return verdict;
  const text = `${diffLines}\nthe edit would be accepted; nothing was changed`;
  return results.succeed({data: {dry_run: true, changes}, text});
}
