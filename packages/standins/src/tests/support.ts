/** Small helpers of this package's tests. */
import * as timers from 'node:timers/promises';
import * as onecall from '../onecall.js';
import type * as servers from '../servers.js';

const POLL_MS = 2;

/** Resolves once `condition` holds; the test's own timeout bounds it. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await timers.setTimeout(POLL_MS);
}

/** A JSON call over a connection of its own. */
export async function json(
  method: string,
  address: string,
  body?: object,
  signal?: AbortSignal,
): Promise<{status: number; body: unknown}> {
  const answer = await fetch(address, {
    method,
    body: body && JSON.stringify(body),
    headers: {connection: 'close'},
    signal,
  });
  const text = await answer.text();
  return {status: answer.status, body: text ? JSON.parse(text) : undefined};
}

/** Posts to a stand-in endpoint, by default over a new connection. */
export function post(
  server: servers.Server,
  request: Partial<onecall.CallRequest> = {},
  agent: onecall.CallOptions['agent'] = false,
): Promise<onecall.Outcome> {
  const address = {address: '127.0.0.1', port: server.port};
  const defaults = {method: 'POST', path: '/run', customer: 'a', body: {}};
  return onecall.call(
    address,
    {...defaults, ...request},
    {nonce: 'n', agent, timeoutMs: 10_000, connectTimeoutMs: 2_000},
  );
}
