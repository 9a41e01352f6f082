/** `apply`: brings the tables to what a file says, by one edit. */
import * as readline from 'node:readline/promises';
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as diff from './diff.js';
import * as exits from './exits.js';
import * as files from './files.js';
import * as force from './force.js';
import * as rows from './rows.js';

const list = v.optional(v.array(v.unknown()), []);

const fileSchema = v.strictObject({routes: list, pools: list, customers: list});

/** Applies a file. */
export class ApplyCommand extends command.OperatorCommand {
  static override paths = [['apply']];
  static override usage = command.usage(
    'bring the tables to what a file says',
    'FILE is JSON: {"routes": [...], "pools": [...], "customers": [...]}, or - for standard input. Prints what changes and applies it as one edit, on the versions that it read: all of it, or nothing. Rows that the file does not have stay, unless --prune is given.',
    [
      ['See what would change', 'oleanderctl apply tables.json --dry-run'],
      ['Apply without a question', 'oleanderctl apply tables.json --yes'],
    ],
  );

  file = clipanion.Option.String({name: 'FILE'});
  isDryRun = clipanion.Option.Boolean('--dry-run', false, {
    description: 'print the changes and the verdict, and change nothing',
  });
  isSure = clipanion.Option.Boolean('--yes,-y', false, {
    description: 'do not ask',
  });
  isPruning = clipanion.Option.Boolean('--prune', false, {
    description: 'remove the rows that the file does not have',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const wanted = await this.readWanted();
    if (!wanted.ok) return wanted;
    const tables = await rows.readTables(routers);
    if (!tables.ok) return tables;
    const {isPruning} = this;
    const all = diff.compare(tables.value, wanted.value, {isPruning});
    const lines = all.flatMap(item => item.lines).join('\n');
    const changes = all.map(item => item.change);
    if (changes.length === 0) {
      return exits.succeed({data: {changes}, text: 'nothing changes'});
    }
    if (this.isDryRun) return dryRun(routers, changes, lines);
    if (!this.isJson) this.context.stdout.write(`${lines}\n`);
    const consent = await this.confirm();
    if (!consent.ok) return consent;
    const verdict = await rows.submit(routers, changes);
    if (!verdict.ok) return verdict;
    return force.report(routers, verdict.value, changes);
  }

  private async readWanted(): Promise<exits.Result<diff.Wanted>> {
    const json = await files.readJson(this.file, this.context.stdin);
    if (!json.ok) return json;
    const parsed = v.safeParse(fileSchema, json.value);
    if (!parsed.success) {
      const [issue] = parsed.issues;
      const field = v.getDotPath(issue) ?? 'the file';
      return exits.stop(
        'usage',
        `${this.file}: ${field}: ${core.explain(issue)}`,
      );
    }
    return checkRows(this.file, parsed.output);
  }

  private async confirm(): Promise<exits.Result<void>> {
    if (this.isSure) return exits.succeed(undefined);
    if (!process.stdin.isTTY) {
      return exits.stop('usage', 'nobody can be asked', 'give --yes');
    }
    const asking = readline.createInterface({
      input: process.stdin,
      output: process.stderr,
    });
    const answer = await asking.question('apply these changes? [y/N] ');
    asking.close();
    if (/^y(es)?$/i.test(answer.trim())) return exits.succeed(undefined);
    return exits.stop('refused', 'nothing was changed');
  }
}

function checkRows(
  file: string,
  content: v.InferOutput<typeof fileSchema>,
): exits.Result<diff.Wanted> {
  const wanted: Record<core.TableName, core.Row[]> = {
    routes: [],
    pools: [],
    customers: [],
  };
  for (const table of core.TABLE_NAMES) {
    const names = new Set<string>();
    for (const [index, item] of content[table].entries()) {
      const place = `${file}: ${table}[${index}]`;
      const row = rows.check(table, item, place);
      if (!row.ok) return row;
      const {name} = row.value;
      if (names.has(name)) {
        return exits.stop('usage', `${place}: name: ${name} stands twice`);
      }
      names.add(name);
      wanted[table].push(row.value);
    }
  }
  return exits.succeed(wanted);
}

async function dryRun(
  routers: client.Client,
  changes: readonly core.Change[],
  lines: string,
): Promise<exits.Result<command.Output>> {
  const verdict = await rows.submit(routers, changes, {isDryRun: true});
  if (!verdict.ok) return verdict;
  const text = `${lines}\nthe edit would be accepted; nothing was changed`;
  return exits.succeed({data: {dry_run: true, changes}, text});
}
