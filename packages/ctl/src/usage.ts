/** `usage`: shows requests and tokens by customer, route and pool. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';

/** The command `usage`. */
export class UsageCommand extends command.OperatorCommand {
  static override paths = [['usage']];
  static override usage = command.usage(
    'show requests and tokens by customer, route and pool',
    'Sums the counts of all routers since their starts, the largest first.',
    [['Show the ten largest', 'oleanderctl usage --limit 10']],
  );

  limit = clipanion.Option.String('--limit', '50', {
    description: 'maximum number of rows to show',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const usage = await admin.call(core.usageResponseSchema, {
      path: '/usage',
      query: {limit: this.limit},
    });
    if (!usage.ok) return usage;
    const tableRows = usage.value.usage.map(row => [
      row.customer,
      row.route,
      row.pool,
      String(row.requests),
      String(row.tokens),
    ]);
    const header = ['customer', 'route', 'pool', 'requests', 'tokens'];
    const silentRouters = usage.value.silent.join(', ');
    const silentNote =
      silentRouters === '' ? '' : `\nno answer from: ${silentRouters}`;
    const text = `${format.formatTable(header, tableRows)}${silentNote}`;
    return results.succeed({data: usage.value, text});
  }
}
