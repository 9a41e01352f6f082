/** `drain`: takes a router or an endpoint out of service gracefully. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as rollout from './rollout.js';

const drainRouterResponseSchema = v.object({
  router: v.string(),
  is_draining: v.boolean(),
});

const drainEndpointResponseSchema = v.union([
  core.verdictSchema,
  v.object({endpoint: v.string()}),
]);

/** The command `drain router`. */
export class DrainRouterCommand extends command.OperatorCommand {
  static override paths = [['drain', 'router']];
  static override usage = command.usage(
    'shut a router down gracefully',
    'The router accepts no new requests, hands its record of chat placements over to other routers, completes the running requests and exits. --address may be that of any router.',
    [['Shut down a router', 'oleanderctl drain router r1']],
  );

  name = clipanion.Option.String({name: 'NAME'});

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const reply = await admin.call(drainRouterResponseSchema, {
      method: 'POST',
      path: `/drain/router/${encodeURIComponent(this.name)}`,
    });
    if (!reply.ok) return reply;
    const text = `${this.name} is draining and will exit`;
    return results.succeed({data: reply.value, text});
  }
}

/** The command `drain endpoint`. */
export class DrainEndpointCommand extends command.OperatorCommand {
  static override paths = [['drain', 'endpoint']];
  static override usage = command.usage(
    'take an endpoint out of service, or put it back into service',
    'No router sends new requests to the endpoint; its running requests complete. This is an edit of the pools, so it stays in effect across restarts until --undo.',
    [
      ['Take out of service', 'oleanderctl drain endpoint e1'],
      ['Put back into service', 'oleanderctl drain endpoint e1 --undo'],
    ],
  );

  name = clipanion.Option.String({name: 'NAME'});
  isUndo = clipanion.Option.Boolean('--undo', false, {
    description: 'put the endpoint back into service',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const reply = await admin.call(drainEndpointResponseSchema, {
      method: this.isUndo ? 'DELETE' : 'POST',
      path: `/drain/endpoint/${encodeURIComponent(this.name)}`,
    });
    if (!reply.ok) return reply;
    if ('edit_id' in reply.value) return rollout.reportEdit(admin, reply.value);
    const text = `${this.name} is in this state already`;
    return results.succeed({data: reply.value, text});
  }
}
