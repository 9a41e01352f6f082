/**
 * The administration interface without HTTP: requests, replies, and the
 * interface that each resource implements.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** An authenticated request of an operator. */
export interface AdminRequest {
  /** Request id; also the id of an edit that is sent without one. */
  readonly id: string;
  readonly method: string;
  /** Decoded path segments after the resource's name. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  /** Value of a header; undefined where it is absent or repeated. */
  header(name: string): string | undefined;
  /** Parsed JSON body; undefined where there is none. */
  readonly body: unknown;
}

/** A successful reply. */
export interface AdminReply {
  readonly status: number;
  readonly body: unknown;
  /** Version of the row in the body, sent as its ETag. */
  readonly version?: number;
}

/** Handles all requests below one path segment, such as `tables`. */
export interface Resource {
  handle(request: AdminRequest): Promise<core.Result<AdminReply>>;
}

/** Returns a reply with status 200. */
export function reply(
  body: unknown,
  version?: number,
): core.Result<AdminReply> {
  return core.succeed({status: 200, body, version});
}

/** Returns the failure for a path that the resource does not have. */
export function notFound(request: AdminRequest): core.Result<AdminReply> {
  const path =
    request.segments.length > 0 ? request.segments.join('/') : 'this path';
  return core.fail('not_found', `no resource for ${request.method} ${path}`);
}

/** Returns the failure for a method that the path does not support. */
export function badMethod(
  request: AdminRequest,
  ...allowed: string[]
): core.Result<AdminReply> {
  const detail = `${request.method} is not supported; allowed are ${allowed.join(', ')}`;
  return core.fail('method_not_allowed', detail);
}

/** Parses a value by a schema; a failure names the field, in one line. */
export function parseValue<T extends v.GenericSchema>(
  schema: T,
  value: unknown,
): core.Result<v.InferOutput<T>> {
  const parsed = v.safeParse(schema, value);
  if (parsed.success) return core.succeed(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue);
  const location = path === null ? 'the body' : path;
  return core.fail('bad_request', `${location}: ${core.describeIssue(issue)}`);
}

/** Default and bounds of an integer query parameter. */
export interface NumberParameterOptions {
  readonly fallback: number;
  readonly min: number;
  readonly max: number;
}

/** Reads an integer query parameter; fails where it is out of bounds. */
export function readNumberParameter(
  request: AdminRequest,
  name: string,
  {fallback, min, max}: NumberParameterOptions,
): core.Result<number> {
  const text = request.query.get(name) ?? String(fallback);
  const parsed = v.safeParse(core.wholeNumberSchema(min, max), text);
  if (parsed.success) return core.succeed(parsed.output);
  return core.fail('bad_request', `${name}: ${parsed.issues[0].message}`);
}

/** Reads the operator's name from the header, or else from the body. */
export function readOperator(request: AdminRequest): core.Result<string> {
  const inBody = (request.body as {operator?: unknown} | undefined)?.operator;
  const operator = request.header(core.headers.OPERATOR) ?? inBody;
  const parsed = v.safeParse(core.nameSchema, operator);
  if (parsed.success) return core.succeed(parsed.output);
  const detail = `operator: send your name in ${core.headers.OPERATOR}; ${parsed.issues[0].message}`;
  return core.fail('bad_request', detail);
}
