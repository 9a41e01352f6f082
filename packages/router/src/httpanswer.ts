/** An answer that goes to an HTTP caller, or to the router that passed it on. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as exchange from './exchange.js';

/** Marks a router's own refusal between routers; holds the kind. */
export const REFUSAL = 'oleander-refusal';

/** Options of an HTTP answer. */
export interface HttpAnswerOptions {
  readonly requestId: string;
  /** Whether refusals are marked for the router that passed the request on. */
  readonly isPeer: boolean;
  /** More headers of a refusal, asked when it is sent. */
  readonly marks?: () => Readonly<Record<string, string>>;
}

/**
 * Writes an answer to an HTTP response as it streams. A caller's head waits for
 * the first byte of the body, so that an answer that breaks off before can be
 * asked for again; another router gets the head at once, since it measures the
 * time to it.
 */
export class HttpAnswer implements exchange.Answer {
  private readonly controller = new AbortController();
  private head: exchange.AnswerHead | undefined;
  hasBegun = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly options: HttpAnswerOptions,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.controller.abort();
    });
  }

  get gone(): AbortSignal {
    return this.controller.signal;
  }

  begin(head: exchange.AnswerHead): void {
    this.head = head;
    if (!this.options.isPeer) return;
    this.sendHead();
    this.response.flushHeaders();
  }

  write(chunk: Buffer): Promise<void> {
    this.sendHead();
    return core.responses.writePiece(this.response, chunk);
  }

  end(): void {
    this.sendHead();
    this.response.end();
  }

  cut(): void {
    this.head = undefined;
    if (this.hasBegun) core.responses.cut(this.response);
  }

  refuse(failure: core.Failure): void {
    if (this.hasBegun) {
      this.cut();
      return;
    }
    const mark: Record<string, string> = this.options.isPeer
      ? {[REFUSAL]: failure.kind, ...this.options.marks?.()}
      : {};
    core.listener.sendProblem(
      this.response,
      failure,
      this.options.requestId,
      mark,
    );
  }

  private sendHead(): void {
    const {head} = this;
    if (!head || this.hasBegun) return;
    this.hasBegun = true;
    const headers = {...head.headers};
    delete headers[core.headers.STATE];
    delete headers[REFUSAL];
    this.response.writeHead(head.status, {
      ...headers,
      [core.headers.REQUEST_ID]: this.options.requestId,
      [core.headers.ENDPOINT]: head.endpoint,
      [core.headers.REASON]: head.reason,
    });
  }
}

/** The caller's headers that go on to the endpoint. */
export function forwarded(
  headers: http.IncomingHttpHeaders,
): Record<string, string> {
  const kept = core.relay.endToEnd(headers);
  const isOwn = (name: string) =>
    name.startsWith('oleander-') || name === core.headers.IDEMPOTENCY_KEY;
  for (const name of Object.keys(kept)) if (isOwn(name)) delete kept[name];
  delete kept['content-length'];
  return kept;
}
