/** `usage`: requests and tokens by customer, route and pool. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';

/** Shows what customers used since the routers' starts. */
export class UsageCommand extends command.OperatorCommand {
  static override paths = [['usage']];
  static override usage = command.usage(
    'show requests and tokens by customer, route and pool',
    'Sums what all routers counted since their starts, the largest first.',
    [['The ten largest', 'oleanderctl usage --limit 10']],
  );

  limit = clipanion.Option.String('--limit', '50', {
    description: 'most rows to show',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const usage = await routers.call(core.usageSchema, {
      path: '/usage',
      query: {limit: this.limit},
    });
    if (!usage.ok) return usage;
    const lines = usage.value.usage.map(row => [
      row.customer,
      row.route,
      row.pool,
      String(row.requests),
      String(row.tokens),
    ]);
    const head = ['customer', 'route', 'pool', 'requests', 'tokens'];
    const silent = usage.value.silent.join(', ');
    const rest = silent === '' ? '' : `\nnot heard: ${silent}`;
    const text = `${print.table(head, lines)}${rest}`;
    return exits.succeed({data: usage.value, text});
  }
}
