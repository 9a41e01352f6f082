/**
 * Client of the administration interface. Where a router cannot be reached,
 * the next address is tried; an edit carries an id, so that it counts once
 * even if the first router took it and its answer was lost.
 */
import * as events from 'node:events';
import * as http from 'node:http';
import * as streamConsumers from 'node:stream/consumers';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as exits from './exits.js';
import type * as options from './options.js';

const PREFIX = '/admin/v1';
const CALL_TIMEOUT_MS = 10_000;

/** One call. */
export interface Call {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path after the version. */
  readonly path: string;
  readonly query?: Readonly<Record<string, string | undefined>>;
  readonly body?: unknown;
}

type Answer =
  | {readonly type: 'answer'; readonly status: number; readonly body: unknown}
  | {readonly type: 'unreachable'; readonly detail: string};

/** Client of a fleet's routers. */
export class Client {
  constructor(readonly options: options.Options) {}

  /** Makes a call and reads its answer by a schema. */
  async call<T extends v.GenericSchema>(
    schema: T,
    call: Call,
  ): Promise<exits.Result<v.InferOutput<T>>> {
    const failures: string[] = [];
    for (const address of this.options.addresses) {
      const answer = await this.send(address, call);
      if (answer.type === 'answer') return read(schema, answer);
      failures.push(`${address.host}:${address.port} ${answer.detail}`);
    }
    const line = `no router can be reached: ${failures.join('; ')}`;
    const advice = 'check --address (OLEANDER_ADMIN_ADDRESS)';
    return exits.stop('unreachable', line, advice);
  }

  private async send(address: options.Address, call: Call): Promise<Answer> {
    const {token, operator} = this.options;
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    const request = http.request({
      ...address,
      method: call.method ?? 'GET',
      path: `${PREFIX}${call.path}${search(call.query)}`,
      headers: {
        authorization: `Bearer ${token}`,
        [core.headers.OPERATOR]: operator,
        'content-length': Buffer.byteLength(body),
      },
      agent: false,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    try {
      request.end(body);
      const [response] = (await events.EventEmitter.once(
        request,
        'response',
      )) as [http.IncomingMessage];
      const text = await streamConsumers.text(response);
      return {
        type: 'answer',
        status: response.statusCode ?? 0,
        body: parse(text),
      };
    } catch (error) {
      return {type: 'unreachable', detail: core.reason(error)};
    }
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function search(query: Call['query'] = {}): string {
  const given = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) given.set(name, value);
  }
  return given.size === 0 ? '' : `?${given.toString()}`;
}

function read<T extends v.GenericSchema>(
  schema: T,
  answer: {readonly status: number; readonly body: unknown},
): exits.Result<v.InferOutput<T>> {
  const problem = v.safeParse(core.problemSchema, answer.body);
  if (problem.success) {
    return {ok: false, trouble: exits.refusal(problem.output)};
  }
  const parsed = v.safeParse(schema, answer.body);
  if (parsed.success) return exits.succeed(parsed.output);
  const line = `status ${answer.status} with a body that is not of this version`;
  const advice = 'check that --address is an admin port of a router';
  return exits.stop('refused', line, advice);
}
