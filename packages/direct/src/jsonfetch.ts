/** Fetches JSON from another router or an endpoint, with limits on its time. */
import * as core from '@oleanderrock/core';

/** How long the other end may take to connect, and to answer, in ms. */
const CONNECT_TIMEOUT_MS = 300;
const ANSWER_TIMEOUT_MS = 1_000;

const MAX_BYTES = 16 * 1_024 * 1_024;

/** What to fetch. */
export interface FetchOptions {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  readonly signal: AbortSignal;
}

/** What came; errors as data. */
export type Fetched =
  | {readonly type: 'json'; readonly value: unknown}
  | {readonly type: 'failed'; readonly detail: string};

/** Fetches over a connection of its own. */
export async function fetchJson(options: FetchOptions): Promise<Fetched> {
  const sent = await core.relay.send({
    ...options,
    method: 'GET',
    headers: {},
    body: Buffer.alloc(0),
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    firstByteTimeoutMs: ANSWER_TIMEOUT_MS,
  });
  if (sent.type === 'error') return failed(sent.error.detail);
  const {statusCode} = sent.response;
  const raw = await core.relay.collect(
    sent.response,
    MAX_BYTES,
    ANSWER_TIMEOUT_MS,
  );
  if (statusCode !== 200) return failed(`answered ${statusCode}`);
  return raw ? parse(raw) : failed('the answer was cut');
}

function parse(raw: Buffer): Fetched {
  try {
    return {type: 'json', value: JSON.parse(raw.toString('utf8')) as unknown};
  } catch (error) {
    return failed(core.reason(error));
  }
}

function failed(detail: string): Fetched {
  return {type: 'failed', detail};
}
