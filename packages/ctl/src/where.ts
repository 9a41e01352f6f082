/** `where`: shows the routers that a caller should use. */
import * as clipanion from 'clipanion';
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as format from './format.js';

/** The command `where`: router addresses for a path, a chat or a key. */
export class WhereCommand extends command.OperatorCommand {
  static override paths = [['where']];
  static override usage = command.usage(
    'show the routers that a caller should use, the best first',
    'Shows the response that callers receive from GET /where.',
    [['Show the routers for a chat', 'oleanderctl where /chat --chat c-17']],
  );

  requestPath = clipanion.Option.String({name: 'PATH'});
  chat = clipanion.Option.String('--chat', {description: 'id of the chat'});
  key = clipanion.Option.String('--key', {description: 'Idempotency-Key'});
  method = clipanion.Option.String('--method', {
    description: 'HTTP method of the request; GET by default',
  });

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const {requestPath: path, chat, key, method} = this;
    const where = await admin.call(core.whereResponseSchema, {
      path: '/where',
      query: {path, chat, key, method},
    });
    if (!where.ok) return where;
    const tableRows = where.value.addresses.map(item => [
      item.name,
      `${item.address}:${item.port}`,
    ]);
    const cacheNote = `keep for ${where.value.keep_ms} ms`;
    const text = `${format.formatTable(['router', 'address'], tableRows)}\n${cacheNote}`;
    return results.succeed({data: where.value, text});
  }
}
