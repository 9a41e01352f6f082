/** Helpers of this package's tests. */
import * as timers from 'node:timers/promises';
import * as httpCall from '../httpcall.js';
import type * as servers from '../servers.js';

const POLL_MS = 2;

/** Resolves once `condition` holds; only the test's time-out bounds it. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await timers.setTimeout(POLL_MS);
}

/** Sends a request over a new connection and reads the JSON response. */
export async function requestJson(
  method: string,
  address: string,
  body?: object,
  signal?: AbortSignal,
): Promise<{status: number; body: unknown}> {
  const response = await fetch(address, {
    method,
    body: body && JSON.stringify(body),
    headers: {connection: 'close'},
    signal,
  });
  const text = await response.text();
  return {status: response.status, body: text ? JSON.parse(text) : undefined};
}

/** Sends a request to an endpoint, by default a POST over a new connection. */
export function sendRequest(
  server: servers.StandInServer,
  request: Partial<httpCall.CallRequest> = {},
  agent: httpCall.CallOptions['agent'] = false,
): Promise<httpCall.CallOutcome> {
  const address = {address: '127.0.0.1', port: server.port};
  const defaults = {method: 'POST', path: '/run', customer: 'a', body: {}};
  return httpCall.sendCall(
    address,
    {...defaults, ...request},
    {nonce: 'n', agent, timeoutMs: 10_000, connectTimeoutMs: 2_000},
  );
}
