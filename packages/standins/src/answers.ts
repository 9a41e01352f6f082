/** Checks that an answer is complete and carries the nonce of its request. */
import * as core from '@oleanderrock/core';
import type * as http from 'node:http';
import * as v from 'valibot';

const EVENT_STREAM_TYPE = 'text/event-stream';
const PROBLEM_TYPE = 'application/problem+json';
const DATA_PREFIX = 'data: ';

const bodySchema = v.looseObject({nonce: v.string()});
const tokenEventSchema = v.object({token: v.number(), nonce: v.string()});
const finalEventSchema = v.object({
  done: v.literal(true),
  nonce: v.string(),
  cached_tokens: v.number(),
  output_tokens: v.number(),
});
const eventSchema = v.union([tokenEventSchema, finalEventSchema]);

/** One event of a streamed answer. */
export type AnswerEvent = v.InferOutput<typeof eventSchema>;

/** Content of a complete answer: one JSON body, or events. */
export interface AnswerContent {
  readonly body?: Record<string, unknown>;
  readonly events?: AnswerEvent[];
}

/** Result of a call: a valid answer, an error response or a broken answer. */
export type CallResult =
  | (AnswerContent & {
      readonly type: 'answered';
      readonly status: number;
      readonly requestId: string;
      readonly endpoint: string;
      readonly reason: string;
      readonly cachedTokens: number;
      readonly firstByteMs: number;
      readonly totalMs: number;
    })
  | {readonly type: 'problem'; readonly problem: core.Problem}
  | {readonly type: 'broken'; readonly reason: string};

/** An answer as it was received, not yet checked. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

type ContentCheck = {content: AnswerContent} | {error: string};

function header(answer: RawAnswer, name: string): string {
  const value = answer.headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function checkBody(text: string, nonce: string): ContentCheck {
  const body = v.safeParse(bodySchema, parseJson(text));
  if (!body.success) return {error: 'the body is not JSON with a nonce'};
  if (body.output.nonce !== nonce) return {error: 'wrong nonce in the body'};
  return {content: {body: body.output}};
}

function checkEvents(text: string, nonce: string): ContentCheck {
  const parts = text.split('\n\n');
  if (parts.pop() !== '') return {error: 'the last event is incomplete'};
  const events: AnswerEvent[] = [];
  for (const part of parts) {
    const data = part.startsWith(DATA_PREFIX)
      ? part.slice(DATA_PREFIX.length)
      : '';
    const event = v.safeParse(eventSchema, parseJson(data));
    if (!event.success) return {error: 'an event is malformed'};
    if (event.output.nonce !== nonce) return {error: 'wrong nonce in an event'};
    events.push(event.output);
  }
  return checkTokens(events);
}

function checkTokens(events: AnswerEvent[]): ContentCheck {
  const last = events.at(-1);
  if (!last || !('done' in last)) return {error: 'the final event is missing'};
  const tokens = events.slice(0, -1);
  const isOrdered = tokens.every(
    (event, index) => 'token' in event && event.token === index,
  );
  if (!isOrdered || tokens.length !== last.output_tokens) {
    return {error: 'tokens are missing or out of order'};
  }
  return {content: {events}};
}

function checkProblem(text: string): CallResult {
  const problem = v.safeParse(core.problemSchema, parseJson(text));
  if (problem.success) return {type: 'problem', problem: problem.output};
  return {type: 'broken', reason: 'the problem response is malformed'};
}

/** Checks a raw answer; `nonce` is that of the request. */
export function check(answer: RawAnswer, nonce: string): CallResult {
  const type = header(answer, 'content-type');
  if (type.startsWith(PROBLEM_TYPE)) return checkProblem(answer.text);
  const isStream = type.startsWith(EVENT_STREAM_TYPE);
  const checked = isStream
    ? checkEvents(answer.text, nonce)
    : checkBody(answer.text, nonce);
  if ('error' in checked) return {type: 'broken', reason: checked.error};
  return {
    type: 'answered',
    status: answer.status,
    ...checked.content,
    requestId: header(answer, core.headers.REQUEST_ID),
    endpoint: header(answer, core.headers.ENDPOINT),
    reason: header(answer, core.headers.REASON),
    cachedTokens: Number(header(answer, core.headers.CACHED_TOKENS) || 0),
    firstByteMs: answer.firstByteMs,
    totalMs: answer.totalMs,
  };
}
