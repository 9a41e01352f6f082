/** `audit`: who changed what, when, and what became of it. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';

/** Shows the newest edits. */
export class AuditCommand extends command.OperatorCommand {
  static override paths = [['audit']];
  static override usage = command.usage(
    'show who changed what, accepted or refused, and why',
    'The newest edits come first. The audit is read from the log and so is the same at every router.',
    [['The last ten', 'oleanderctl audit --limit 10']],
  );

  limit = clipanion.Option.String('--limit', '50', {
    description: 'most edits to show',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const audit = await routers.call(core.auditSchema, {
      path: '/audit',
      query: {limit: this.limit},
    });
    if (!audit.ok) return audit;
    const {verdicts} = audit.value;
    return exits.succeed({data: audit.value, text: describe(verdicts)});
  }
}

function describe(verdicts: readonly core.Verdict[]): string {
  if (verdicts.length === 0) return 'no edits yet';
  const lines = verdicts.map(verdict => [
    print.time(verdict.at_ms),
    String(verdict.offset),
    verdict.operator,
    verdict.outcome,
    [verdict.changes.join(', '), verdict.detail].filter(Boolean).join(': '),
  ]);
  return print.table(['time', 'offset', 'operator', 'outcome', 'what'], lines);
}
