/** Answers over HTTP to a caller, or to the router that forwarded a request. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as exchange from './exchange.js';

/** Header that marks a refusal between routers; its value is the error kind. */
export const REFUSAL_HEADER = 'oleander-refusal';

/** Options of an HTTP answer. */
export interface HttpAnswerOptions {
  readonly requestId: string;
  /** Whether the answer goes to another router; its refusals are marked. */
  readonly isForPeer: boolean;
  /** Returns the additional headers of a refusal sent to another router. */
  readonly refusalHeaders?: () => Readonly<Record<string, string>>;
}

/**
 * Streams an answer to an HTTP response. For a caller the head is held back
 * until the first byte of the body, so that the request can be retried if the
 * answer breaks off before. Another router gets the head at once, since it has
 * a time-out for the head.
 */
export class HttpAnswer implements exchange.Answer {
  private readonly callerGoneController = new AbortController();
  private head: exchange.AnswerHead | undefined;
  hasSentHead = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly options: HttpAnswerOptions,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.callerGoneController.abort();
    });
  }

  get callerGone(): AbortSignal {
    return this.callerGoneController.signal;
  }

  begin(head: exchange.AnswerHead): void {
    this.head = head;
    if (!this.options.isForPeer) return;
    this.sendHead();
    this.response.flushHeaders();
  }

  write(chunk: Buffer): Promise<void> {
    this.sendHead();
    return core.responses.writeChunk(this.response, chunk);
  }

  end(): void {
    this.sendHead();
    this.response.end();
  }

  abort(): void {
    this.head = undefined;
    if (this.hasSentHead) core.responses.abortResponse(this.response);
  }

  refuse(failure: core.Failure): void {
    if (this.hasSentHead) {
      this.abort();
      return;
    }
    const refusalHeaders: Record<string, string> = this.options.isForPeer
      ? {[REFUSAL_HEADER]: failure.kind, ...this.options.refusalHeaders?.()}
      : {};
    core.listener.sendProblem(
      this.response,
      failure,
      this.options.requestId,
      refusalHeaders,
    );
  }

  private sendHead(): void {
    const {head} = this;
    if (!head || this.hasSentHead) return;
    this.hasSentHead = true;
    const headers = {...head.headers};
    delete headers[core.headers.ENDPOINT_STATE];
    delete headers[REFUSAL_HEADER];
    this.response.writeHead(head.status, {
      ...headers,
      [core.headers.REQUEST_ID]: this.options.requestId,
      [core.headers.ENDPOINT]: head.endpoint,
      [core.headers.REASON]: head.reason,
    });
  }
}

/** The caller's headers that are forwarded to the endpoint. */
export function forwardedHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string> {
  const copy = core.relay.endToEndHeaders(headers);
  const isInternal = (name: string) =>
    name.startsWith('oleander-') || name === core.headers.IDEMPOTENCY_KEY;
  for (const name of Object.keys(copy)) if (isInternal(name)) delete copy[name];
  delete copy['content-length'];
  return copy;
}
