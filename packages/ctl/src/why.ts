/** `why`: where a request went, what was considered, and the reason. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';

/** Shows the steps of a request at all routers. */
export class WhyCommand extends command.OperatorCommand {
  static override paths = [['why']];
  static override usage = command.usage(
    'show where a request went and why',
    'REQUEST_ID is the Oleander-Request-Id of the answer. Any router can be asked; each remembers its last requests (--max-traces of oleanderrock).',
    [['A request', 'oleanderctl why 01890a5d-ac96-774b-bcce-b302099a8057']],
  );

  requestId = clipanion.Option.String({name: 'REQUEST_ID'});

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const path = `/why/${encodeURIComponent(this.requestId)}`;
    const why = await routers.call(core.whySchema, {path});
    if (!why.ok) return why;
    return exits.succeed({data: why.value, text: describe(why.value)});
  }
}

function describe(why: v.InferOutput<typeof core.whySchema>): string {
  const lines = why.steps.map(step => [
    print.time(step.at_ms),
    step.router,
    step.step,
    step.endpoint ?? '-',
    step.detail,
  ]);
  const head = ['time', 'router', 'step', 'endpoint', 'why'];
  const text = print.table(head, lines);
  if (why.silent.length === 0) return text;
  return `${text}\nnot heard: ${why.silent.join(', ')}`;
}
