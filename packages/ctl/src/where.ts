/** `where`: the routers that a caller should use. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as print from './print.js';

/** Shows the addresses for a path, a chat or a key. */
export class WhereCommand extends command.OperatorCommand {
  static override paths = [['where']];
  static override usage = command.usage(
    'show the routers that a caller should use, the best first',
    'Gives what GET /where gives to callers.',
    [['A chat', 'oleanderctl where /chat --chat c-17']],
  );

  requestPath = clipanion.Option.String({name: 'PATH'});
  chat = clipanion.Option.String('--chat', {description: 'name of the chat'});
  key = clipanion.Option.String('--key', {description: 'Idempotency-Key'});
  method = clipanion.Option.String('--method', {
    description: 'method of the request; GET if not given',
  });

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const {requestPath: path, chat, key, method} = this;
    const where = await routers.call(core.whereSchema, {
      path: '/where',
      query: {path, chat, key, method},
    });
    if (!where.ok) return where;
    const lines = where.value.addresses.map(item => [
      item.name,
      `${item.address}:${item.port}`,
    ]);
    const keep = `keep for ${where.value.keep_ms} ms`;
    const text = `${print.table(['router', 'address'], lines)}\n${keep}`;
    return exits.succeed({data: where.value, text});
  }
}
