/**
 * Client of the administration interface. If a router cannot be reached, the
 * next address is tried. An edit carries an id, so that it is applied once even
 * if the first router accepted it and its response was lost.
 */
import * as events from 'node:events';
import * as http from 'node:http';
import * as streamConsumers from 'node:stream/consumers';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as results from './results.js';
import type * as options from './options.js';

const API_PREFIX = '/admin/v1';
/** Time limit of a request to one router, in ms. */
const CALL_TIMEOUT_MS = 10_000;

/** A request to the administration interface. */
export interface AdminCall {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path below `/admin/v1`. */
  readonly path: string;
  readonly query?: Readonly<Record<string, string | undefined>>;
  readonly body?: unknown;
}

/** Response of one router, or why it could not be reached. */
type RouterResponse =
  | {readonly type: 'answer'; readonly status: number; readonly body: unknown}
  | {readonly type: 'unreachable'; readonly detail: string};

/** Client of the administration interface of a fleet's routers. */
export class AdminClient {
  constructor(readonly options: options.Options) {}

  /** Sends a request to the first reachable router and parses its response. */
  async call<T extends v.GenericSchema>(
    schema: T,
    call: AdminCall,
  ): Promise<results.Result<v.InferOutput<T>>> {
    const failures: string[] = [];
    for (const address of this.options.addresses) {
      const response = await this.send(address, call);
      if (response.type === 'answer') return parseResponse(schema, response);
      failures.push(`${address.host}:${address.port} ${response.detail}`);
    }
    const message = `no router can be reached: ${failures.join('; ')}`;
    const advice = 'check --address (OLEANDER_ADMIN_ADDRESS)';
    return results.fail('unreachable', message, advice);
  }

  private async send(
    address: options.Address,
    call: AdminCall,
  ): Promise<RouterResponse> {
    const {token, operator} = this.options;
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    const request = http.request({
      ...address,
      method: call.method ?? 'GET',
      path: `${API_PREFIX}${call.path}${queryString(call.query)}`,
      headers: {
        authorization: `Bearer ${token}`,
        [core.headers.OPERATOR]: operator,
        'content-length': Buffer.byteLength(body),
      },
      agent: false,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    core.responseEnds.follow(request);
    try {
      request.end(body);
      const [response] = (await events.EventEmitter.once(
        request,
        'response',
      )) as [http.IncomingMessage];
      const text = await streamConsumers.text(response);
      if (!core.responseEnds.isWhole(response)) {
        const detail = 'reset the connection during its response';
        return {type: 'unreachable', detail};
      }
      return {
        type: 'answer',
        status: response.statusCode ?? 0,
        body: parseJson(text),
      };
    } catch (error) {
      return {type: 'unreachable', detail: core.errorMessage(error)};
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function queryString(query: AdminCall['query'] = {}): string {
  const parameters = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) parameters.set(name, value);
  }
  return parameters.size === 0 ? '' : `?${parameters.toString()}`;
}

function parseResponse<T extends v.GenericSchema>(
  schema: T,
  response: {readonly status: number; readonly body: unknown},
): results.Result<v.InferOutput<T>> {
  const problem = v.safeParse(core.problemSchema, response.body);
  if (problem.success) {
    return {ok: false, failure: results.fromProblem(problem.output)};
  }
  const parsed = v.safeParse(schema, response.body);
  if (parsed.success) return results.succeed(parsed.output);
  const message = `unexpected response body with status ${response.status}`;
  const advice = 'check that --address is an admin port of a router';
  return results.fail('refused', message, advice);
}
