/** `check`: checks a configuration before it is sent. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import * as checkedFormats from './checkedformats.js';
import * as client from './client.js';
import * as command from './command.js';
import * as files from './files.js';
import * as options from './options.js';
import * as results from './results.js';

/** Value of `--against` that stands for what is in force at the routers. */
const LIVE = 'live';

/** Terminal colors of findings. */
const COLORS = {error: '\x1b[31m', warning: '\x1b[33m'} as const;
const COLOR_END = '\x1b[0m';

/** The command `check`. */
export class CheckCommand extends command.PrintingCommand {
  static override paths = [['check']];
  static override usage = command.usage(
    'check a configuration before it is sent',
    'FILE is the JSON of the tables, as for apply, or of the configuration on the platform; - stands for standard input. Prints errors, rows that no request can match, limits that contradict each other and, with --against, what differs and what happens to requests. Exits with 1 if there are errors. Keys are never printed.',
    [
      ['Check a file', 'oleanderctl check tables.json'],
      [
        'Compare it with an older file',
        'oleanderctl check new.json --against old.json',
      ],
      [
        'Compare it with what is in force',
        'oleanderctl check new.json --against live --address 10.0.0.1:8082',
      ],
    ],
  );

  file = clipanion.Option.String({name: 'FILE'});
  against = clipanion.Option.String('--against', {
    description: 'file to compare with, or live for what is in force',
  });

  protected async produce(): Promise<results.Result<command.CommandOutput>> {
    const content = await files.readJson(this.file, this.context.stdin);
    if (!content.ok) return content;
    const format = findFormat(content.value);
    if (!format) {
      const message = `${this.file}: is neither tables nor a configuration`;
      return results.fail('usage', message);
    }
    const checked = format.check(content.value);
    const changes = await this.readChanges(checked);
    if (!changes.ok) return changes;
    return results.succeed(this.report(checked.findings, changes.value));
  }

  private async readChanges(
    checked: checkedFormats.CheckedConfiguration,
  ): Promise<
    results.Result<readonly checkedFormats.CheckedChange[] | undefined>
  > {
    const {against} = this;
    if (against === undefined) return results.succeed(undefined);
    if (against !== LIVE) {
      const base = await files.readJson(against, this.context.stdin);
      return base.ok ? checked.changesFrom(base.value) : base;
    }
    const parsed = this.parseOptions();
    if (!parsed.ok) return parsed;
    return checked.changesFromLive(new client.AdminClient(parsed.value));
  }

  /** Routers that serve the platform's tables need no token. */
  private parseOptions(): results.Result<options.Options> {
    const {address, token = '-', operator} = this;
    return options.parseOptions({address, token, operator});
  }

  private report(
    findings: readonly core.Finding[],
    changes: readonly checkedFormats.CheckedChange[] | undefined,
  ): command.CommandOutput {
    const data = {findings, changes: changes?.map(change => change.data)};
    const findingLines = findings.map(finding => this.describe(finding));
    const changeLines = changes?.flatMap(({lines}) => lines) ?? [];
    const summary = summarize(findings, changes);
    return {
      data,
      text: [...findingLines, ...changeLines, summary].join('\n'),
      exit: core.areUsable(findings) ? 'ok' : 'refused',
    };
  }

  private describe({severity, place, kind, detail}: core.Finding): string {
    const text = `${severity}: ${place}: ${detail} (${kind})`;
    const {stdout} = this.context;
    const isTerminal = stdout === process.stdout && process.stdout.isTTY;
    return isTerminal ? `${COLORS[severity]}${text}${COLOR_END}` : text;
  }
}

function findFormat(
  content: unknown,
): checkedFormats.CheckedFormat | undefined {
  if (typeof content !== 'object' || content === null) return undefined;
  return checkedFormats.CHECKED_FORMATS.find(format =>
    format.recognizes(content),
  );
}

function summarize(
  findings: readonly core.Finding[],
  changes: readonly unknown[] | undefined,
): string {
  const count = (severity: core.Finding['severity']) =>
    findings.filter(finding => finding.severity === severity).length;
  const counts = `${count('error')} errors, ${count('warning')} warnings`;
  return changes ? `${counts}, ${changes.length} changes` : counts;
}
