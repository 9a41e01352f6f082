/** `drain`: takes a router or an endpoint out of service gracefully. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as force from './force.js';

const drainingSchema = v.object({router: v.string(), is_draining: v.boolean()});

const editedSchema = v.union([
  core.verdictSchema,
  v.object({endpoint: v.string()}),
]);

/** Lets a router end gracefully. */
export class DrainRouterCommand extends command.OperatorCommand {
  static override paths = [['drain', 'router']];
  static override usage = command.usage(
    'let a router drain and end',
    'The router takes no new work, hands its memory over, ends what runs and exits. Any router can be asked.',
    [['A router', 'oleanderctl drain router r1']],
  );

  name = clipanion.Option.String({name: 'NAME'});

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const drained = await routers.call(drainingSchema, {
      method: 'POST',
      path: `/drain/router/${encodeURIComponent(this.name)}`,
    });
    if (!drained.ok) return drained;
    const text = `${this.name} drains and then ends`;
    return exits.succeed({data: drained.value, text});
  }
}

/** Takes an endpoint out of service, or back into it. */
export class DrainEndpointCommand extends command.OperatorCommand {
  static override paths = [['drain', 'endpoint']];
  static override usage = command.usage(
    'take an endpoint out of service, or back into it',
    'No router gives it new work; what runs there ends. It holds until it is undone, also over restarts, for it is an edit of the pools.',
    [
      ['An endpoint', 'oleanderctl drain endpoint e1'],
      ['Back into service', 'oleanderctl drain endpoint e1 --undo'],
    ],
  );

  name = clipanion.Option.String({name: 'NAME'});
  isUndone = clipanion.Option.Boolean('--undo', false, {
    description: 'take the endpoint back into service',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const drained = await routers.call(editedSchema, {
      method: this.isUndone ? 'DELETE' : 'POST',
      path: `/drain/endpoint/${encodeURIComponent(this.name)}`,
    });
    if (!drained.ok) return drained;
    if ('edit_id' in drained.value) return force.report(routers, drained.value);
    const text = `${this.name} is so already`;
    return exits.succeed({data: drained.value, text});
  }
}
