/**
 * The administration interface free of HTTP: what a call asks, what it gets,
 * and the contract of a group of resources.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** One call of an operator who has shown the token. */
export interface Ask {
  /** Id of the call; an edit without an id of its own takes it. */
  readonly id: string;
  readonly method: string;
  /** Parts of the path after the group's name, decoded. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  /** The header's value, where it is given once. */
  header(name: string): string | undefined;
  /** The body as JSON; undefined where there is none. */
  readonly body: unknown;
}

/** What a call gets where it does not fail. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
  /** Version of the row in the body. */
  readonly version?: number;
}

/** A group of resources under one name. */
export interface Resource {
  answer(ask: Ask): Promise<core.Result<Reply>>;
}

/** A reply with status 200. */
export function reply(body: unknown, version?: number): core.Result<Reply> {
  return core.succeed({status: 200, body, version});
}

/** The failure of a call that no resource takes. */
export function missing(ask: Ask): core.Result<Reply> {
  const place = ask.path.length > 0 ? ask.path.join('/') : 'this path';
  return core.fail('not_found', `there is no ${ask.method} of ${place}`);
}

/** The failure of a method that a resource does not have. */
export function wrongMethod(
  ask: Ask,
  ...allowed: string[]
): core.Result<Reply> {
  const detail = `${ask.method} is not one of ${allowed.join(', ')}`;
  return core.fail('method_not_allowed', detail);
}

/** Reads a value by a schema; the failure is one line that names the field. */
export function read<T extends v.GenericSchema>(
  schema: T,
  value: unknown,
): core.Result<v.InferOutput<T>> {
  const parsed = v.safeParse(schema, value);
  if (parsed.success) return core.succeed(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue);
  const place = path === null ? 'the body' : path;
  return core.fail('bad_request', `${place}: ${core.explain(issue)}`);
}

/** A whole number of the query. */
export interface NumberOptions {
  readonly fallback: number;
  readonly min: number;
  readonly max: number;
}

/** Reads a whole number of the query within bounds. */
export function readNumber(
  ask: Ask,
  name: string,
  {fallback, min, max}: NumberOptions,
): core.Result<number> {
  const text = ask.query.get(name) ?? String(fallback);
  const parsed = v.safeParse(core.wholeNumber(min, max), text);
  if (parsed.success) return core.succeed(parsed.output);
  return core.fail('bad_request', `${name}: ${parsed.issues[0].message}`);
}

/** The operator's name by the header, or else by the body. */
export function readOperator(ask: Ask): core.Result<string> {
  const inBody = (ask.body as {operator?: unknown} | undefined)?.operator;
  const given = ask.header(core.headers.OPERATOR) ?? inBody;
  const parsed = v.safeParse(core.nameSchema, given);
  if (parsed.success) return core.succeed(parsed.output);
  const detail = `operator: name yourself in ${core.headers.OPERATOR}; ${parsed.issues[0].message}`;
  return core.fail('bad_request', detail);
}
