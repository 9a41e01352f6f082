/**
 * Delivery of an endpoint's answer to the caller. Plain answers are read whole
 * first, so that one that is cut can be asked for again, unless they are long;
 * streams are passed on event by event, and may go on with a second endpoint's
 * answer.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as asks from './ask.js';
import * as ask from './ask.js';
import type * as attempts from './attempt.js';
import * as bodies from './bodies.js';
import * as decisions from './decisions.js';
import * as dialects from './dialect.js';
import * as events from './events.js';
import * as liveness from './liveness.js';
import type * as model from './model.js';

/** What became of an attempt, once its answer was taken. */
export type Delivered =
  | {readonly type: 'delivered'; readonly status: number}
  /** The endpoint ran the request and failed; another may do better. */
  | {readonly type: 'failed_run'; readonly status: number}
  | Exclude<attempts.AttemptResult, {type: 'answer'}>;

interface Kept {
  readonly status: number;
  readonly headers: dialects.Headers;
  readonly framing: asks.Framing;
  readonly body: Buffer;
}

/** Delivery of one request's answer. */
export class Delivery {
  private readonly splitter = new events.EventSplitter();
  private kept: Kept | undefined;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly asked: asks.Ask,
    private readonly answer: asks.CallerAnswer,
  ) {}

  get gone(): AbortSignal {
    return this.answer.gone;
  }

  get hasBegun(): boolean {
    return this.answer.hasBegun;
  }

  /** The last event that the caller got from this router. */
  get lastEventId(): string | undefined {
    return this.splitter.lastEventId;
  }

  /** Ends an answer that cannot be completed. */
  cut(): void {
    this.answer.cut();
  }

  /** Delivers the last failure of an endpoint; its status where there is one. */
  deliverKept(): number | undefined {
    if (!this.kept || this.answer.gone.aborted) return undefined;
    this.sendWhole(this.kept);
    return this.kept.status;
  }

  /** Takes an answer. */
  async take(
    open: attempts.OpenAnswer,
    endpoint: model.Endpoint,
    isLast: boolean,
  ): Promise<Delivered> {
    try {
      const isStream =
        this.asked.route.repeat === 'stream' && isSuccess(open.status);
      const result = isStream
        ? await this.passStream(open)
        : await this.passWhole(open, isLast);
      if (result.type === 'delivered' || result.type === 'failed_run') {
        this.clear(endpoint);
      }
      return await this.withEvidence(result, endpoint);
    } finally {
      open.close();
    }
  }

  private async passWhole(
    open: attempts.OpenAnswer,
    isLast: boolean,
  ): Promise<Delivered> {
    const {response, status} = open;
    // A stream that has begun can only go on with a success.
    if (this.hasBegun) {
      response.resume();
      return {type: 'failed_run', status};
    }
    const pieces = response[Symbol.asyncIterator]() as bodies.Pieces;
    const read = await bodies.readWhole(open, pieces);
    if (read instanceof Error) return this.explain(open, read);
    const {body, isLong} = read;
    if (isLong) return this.passLong(open, body, pieces);
    const headers = this.headers(response);
    const framing = framingOf(response);
    const isFailure = status >= 500;
    if (isFailure && ask.mayRepeat(this.asked.route) && !isLast) {
      this.kept = {status, headers, framing, body};
      return {type: 'failed_run', status};
    }
    if (this.answer.gone.aborted) return {type: 'caller_gone'};
    this.sendWhole({status, headers, framing, body});
    return {type: 'delivered', status};
  }

  /** Passes on an answer too long to be kept, from what was read of it on. */
  private async passLong(
    open: attempts.OpenAnswer,
    read: Buffer,
    pieces: bodies.Pieces,
  ): Promise<Delivered> {
    const {response, status} = open;
    const {'content-length': length} = response.headers;
    const headers = this.headers(response);
    const sent =
      length === undefined ? headers : {...headers, 'content-length': length};
    this.answer.begin(status, sent, framingOf(response));
    let piece: Buffer | undefined = read;
    try {
      while (piece) {
        await this.answer.write(piece);
        if (this.answer.gone.aborted) return {type: 'caller_gone'};
        piece = await bodies.nextPiece(open, pieces);
      }
    } catch (error) {
      return this.explain(open, error);
    }
    if (!response.complete) return this.explain(open, bodies.CUT);
    this.answer.end();
    return {type: 'delivered', status};
  }

  private sendWhole({status, headers, framing, body}: Kept): void {
    const sent = {...headers};
    if (framing === 'marked') sent['content-length'] = String(body.length);
    this.answer.begin(status, sent, framing);
    if (body.length > 0) void this.answer.write(body);
    this.answer.end();
  }

  private async passStream(open: attempts.OpenAnswer): Promise<Delivered> {
    const {response, status} = open;
    this.splitter.reset();
    if (!this.hasBegun) {
      const headers = this.headers(response);
      this.answer.begin(status, headers, framingOf(response));
    }
    try {
      for await (const piece of response) {
        open.heard();
        const whole = this.splitter.push(piece as Buffer);
        if (whole.length > 0) await this.answer.write(whole);
        if (this.answer.gone.aborted) return {type: 'caller_gone'};
      }
    } catch (error) {
      return this.explain(open, error);
    }
    if (!response.complete) return this.explain(open, bodies.CUT);
    const rest = this.splitter.remainder();
    if (rest.length > 0) await this.answer.write(rest);
    this.answer.end();
    return {type: 'delivered', status};
  }

  private explain(open: attempts.OpenAnswer, error: unknown): Delivered {
    if (this.answer.gone.aborted) return {type: 'caller_gone'};
    const cause = open.cause() ?? 'broken';
    return {type: 'broken', cause, detail: core.reason(error)};
  }

  /** Looks whether a broken answer was a crash, for those that ran there. */
  private async withEvidence(
    result: Delivered,
    endpoint: model.Endpoint,
  ): Promise<Delivered> {
    if (result.type !== 'broken' || result.cause !== 'broken') return result;
    const probed = await this.kernel.find(liveness.LIVENESS).check(endpoint);
    return probed === 'alive' ? result : {...result, cause: 'dead'};
  }

  /** The request ended without a crash. */
  private clear({id}: model.Endpoint): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(decisions.SUSPECTS).ended(this.asked.signature, id, nowMs);
  }

  /** Headers for the caller; lengths are set anew. */
  private headers(response: http.IncomingMessage): dialects.Headers {
    const dialect = this.kernel.find(dialects.DIALECT);
    const {'content-length': length, ...rest} = dialect.callerHeaders(
      response.headers,
    );
    void length;
    return rest;
  }
}

function framingOf({headers}: http.IncomingMessage): asks.Framing {
  const isMarked =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return isMarked ? 'marked' : 'connection';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
