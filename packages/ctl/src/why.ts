/** `why`: shows the routing decisions for a request. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';

/** The command `why`: the steps of a request at all routers. */
export class WhyCommand extends command.OperatorCommand {
  static override paths = [['why']];
  static override usage = command.usage(
    'show where a request went and why',
    'REQUEST_ID is the Oleander-Request-Id header of the response. --address may be that of any router. Each router keeps the traces of its last requests (--max-traces of oleanderrock).',
    [
      [
        'Show a request',
        'oleanderctl why 01890a5d-ac96-774b-bcce-b302099a8057',
      ],
    ],
  );

  requestId = clipanion.Option.String({name: 'REQUEST_ID'});

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const path = `/why/${encodeURIComponent(this.requestId)}`;
    const trace = await admin.call(core.whyResponseSchema, {path});
    if (!trace.ok) return trace;
    return results.succeed({data: trace.value, text: formatTrace(trace.value)});
  }
}

function formatTrace(
  trace: v.InferOutput<typeof core.whyResponseSchema>,
): string {
  const tableRows = trace.steps.map(step => [
    format.formatTime(step.at_ms),
    step.router,
    step.step,
    step.endpoint ?? '-',
    step.detail,
  ]);
  const header = ['time', 'router', 'step', 'endpoint', 'why'];
  const text = format.formatTable(header, tableRows);
  if (trace.silent.length === 0) return text;
  return `${text}\nno answer from: ${trace.silent.join(', ')}`;
}
