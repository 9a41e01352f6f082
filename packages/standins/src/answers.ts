/** Reads a whole answer and checks that it is complete and the caller's own. */
import * as core from '@oleanderrock/core';
import type * as http from 'node:http';
import * as v from 'valibot';

const EVENT_STREAM = 'text/event-stream';
const PROBLEM = 'application/problem+json';
const DATA = 'data: ';

const ownSchema = v.looseObject({nonce: v.string()});
const tokenSchema = v.object({token: v.number(), nonce: v.string()});
const lastSchema = v.object({
  done: v.literal(true),
  nonce: v.string(),
  cached_tokens: v.number(),
  output_tokens: v.number(),
});
const eventSchema = v.union([tokenSchema, lastSchema]);

/** One event of a streamed answer. */
export type AnswerEvent = v.InferOutput<typeof eventSchema>;

/** The content of a whole answer: one JSON body, or events. */
export interface Content {
  readonly body?: Record<string, unknown>;
  readonly events?: AnswerEvent[];
}

/** What a caller got. */
export type CallResult =
  | (Content & {
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

/** An answer as it came over the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

type Checked = {content: Content} | {flaw: string};

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

function checkBody(text: string, nonce: string): Checked {
  const body = v.safeParse(ownSchema, parseJson(text));
  if (!body.success) return {flaw: 'the body is not an answer'};
  if (body.output.nonce !== nonce) return {flaw: 'the answer is not ours'};
  return {content: {body: body.output}};
}

function checkEvents(text: string, nonce: string): Checked {
  const parts = text.split('\n\n');
  if (parts.pop() !== '') return {flaw: 'the last event is cut'};
  const events: AnswerEvent[] = [];
  for (const part of parts) {
    const data = part.startsWith(DATA) ? part.slice(DATA.length) : '';
    const event = v.safeParse(eventSchema, parseJson(data));
    if (!event.success) return {flaw: 'an event is malformed'};
    if (event.output.nonce !== nonce) return {flaw: 'an event is not ours'};
    events.push(event.output);
  }
  return checkOrder(events);
}

function checkOrder(events: AnswerEvent[]): Checked {
  const last = events.at(-1);
  if (!last || !('done' in last)) return {flaw: 'the last event is missing'};
  const tokens = events.slice(0, -1);
  const isOrdered = tokens.every(
    (event, index) => 'token' in event && event.token === index,
  );
  if (!isOrdered || tokens.length !== last.output_tokens) {
    return {flaw: 'tokens are missing or out of order'};
  }
  return {content: {events}};
}

function checkProblem(text: string): CallResult {
  const problem = v.safeParse(core.problemSchema, parseJson(text));
  if (problem.success) return {type: 'problem', problem: problem.output};
  return {type: 'broken', reason: 'the problem is malformed'};
}

/** Turns a raw answer into a result; `nonce` is what the caller sent. */
export function check(answer: RawAnswer, nonce: string): CallResult {
  const type = header(answer, 'content-type');
  if (type.startsWith(PROBLEM)) return checkProblem(answer.text);
  const isStream = type.startsWith(EVENT_STREAM);
  const checked = isStream
    ? checkEvents(answer.text, nonce)
    : checkBody(answer.text, nonce);
  if ('flaw' in checked) return {type: 'broken', reason: checked.flaw};
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
