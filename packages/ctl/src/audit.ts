/** `audit`: lists recent edits with their time, operator and outcome. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';

/** The command `audit`. */
export class AuditCommand extends command.OperatorCommand {
  static override paths = [['audit']];
  static override usage = command.usage(
    'show recent edits with their operator, outcome and reason',
    'The newest edits come first. Every router shows the same audit, since it is read from the log.',
    [['The last ten edits', 'oleanderctl audit --limit 10']],
  );

  limit = clipanion.Option.String('--limit', '50', {
    description: 'maximum number of edits to show',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const audit = await admin.call(core.auditResponseSchema, {
      path: '/audit',
      query: {limit: this.limit},
    });
    if (!audit.ok) return audit;
    const {verdicts} = audit.value;
    return results.succeed({data: audit.value, text: formatVerdicts(verdicts)});
  }
}

function formatVerdicts(verdicts: readonly core.Verdict[]): string {
  if (verdicts.length === 0) return 'no edits yet';
  const tableRows = verdicts.map(verdict => [
    format.formatTime(verdict.at_ms),
    String(verdict.offset),
    verdict.operator,
    verdict.outcome,
    [verdict.changes.join(', '), verdict.detail].filter(Boolean).join(': '),
  ]);
  return format.formatTable(
    ['time', 'offset', 'operator', 'outcome', 'what'],
    tableRows,
  );
}
