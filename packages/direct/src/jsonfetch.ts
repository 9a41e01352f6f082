/** Fetches JSON from another router or an endpoint, with time-outs. */
import * as core from '@oleanderrock/core';
import * as peerJson from './peerjson.js';

/** Time-outs of connecting, and of the response's head, in ms. */
const CONNECT_TIMEOUT_MS = 300;
const RESPONSE_TIMEOUT_MS = 1_000;

/**
 * Longest time without a further byte of the body, and for the whole body, in
 * ms: a large state takes long over the link of a small instance.
 */
const IDLE_TIMEOUT_MS = 1_000;
const BODY_TIMEOUT_MS = 2_000;

/** Maximum size of a body, before and after it is decompressed, in bytes. */
const MAX_BODY_BYTES = 16 * 1_024 * 1_024;

/** Options of a fetch. */
export interface FetchOptions {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  /** Sent with a POST; if absent, the request is a GET. */
  readonly body?: Buffer;
  readonly signal: AbortSignal;
}

/** The JSON value, or why there is none. */
export type FetchResult =
  | {readonly type: 'json'; readonly value: unknown}
  | {readonly type: 'failed'; readonly detail: string};

/** Fetches over a new connection; never rejects. */
export async function fetchJson(options: FetchOptions): Promise<FetchResult> {
  const relayResult = await core.relay.send({
    ...options,
    method: options.body ? 'POST' : 'GET',
    headers: {'accept-encoding': peerJson.CONTENT_ENCODING},
    body: options.body ?? Buffer.alloc(0),
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    firstByteTimeoutMs: RESPONSE_TIMEOUT_MS,
  });
  if (relayResult.type === 'error') return failure(relayResult.error.detail);
  const {statusCode, headers} = relayResult.response;
  const body = await core.relay.collectBody(relayResult.response, {
    maxBytes: MAX_BODY_BYTES,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    totalTimeoutMs: BODY_TIMEOUT_MS,
  });
  if (statusCode !== 200) return failure(`status ${statusCode}`);
  return body
    ? parse(body, headers['content-encoding'] === peerJson.CONTENT_ENCODING)
    : failure('the response was truncated or too large');
}

function parse(body: Buffer, isCompressed: boolean): FetchResult {
  try {
    const json = isCompressed
      ? peerJson.decompress(body, MAX_BODY_BYTES)
      : body;
    return {type: 'json', value: JSON.parse(json.toString('utf8')) as unknown};
  } catch (error) {
    return failure(core.errorMessage(error));
  }
}

function failure(detail: string): FetchResult {
  return {type: 'failed', detail};
}
