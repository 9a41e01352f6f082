/** The caller's side of a request over HTTP. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as asks from './ask.js';
import type * as dialects from './dialect.js';

/** Answer over Node's response. */
export class HttpCallerAnswer implements asks.CallerAnswer {
  private readonly leaving = new AbortController();
  /** Monotonic time at which an endpoint's answer began; absent: none did. */
  beganMs: number | undefined;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly clock: core.Clock,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.leaving.abort();
    });
    // A caller that leaves is told by `close`; its errors say no more.
    response.on('error', () => undefined);
    if (response.destroyed || response.socket?.destroyed) this.leaving.abort();
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get gone(): AbortSignal {
    return this.leaving.signal;
  }

  begin(
    status: number,
    headers: dialects.Headers,
    framing: asks.Framing,
  ): void {
    if (this.gone.aborted) return;
    this.beganMs = this.clock.nowMs();
    // Without this header, Node ends the answer with its connection.
    if (framing === 'connection') {
      this.response.removeHeader('transfer-encoding');
    }
    this.response.writeHead(status, headers);
    if (headers['content-length'] === undefined) this.response.flushHeaders();
  }

  async write(piece: Buffer): Promise<void> {
    if (!this.gone.aborted) {
      await core.responses.writePiece(this.response, piece);
    }
  }

  end(): void {
    if (!this.gone.aborted) this.response.end();
  }

  cut(): void {
    core.responses.cut(this.response);
  }

  /** Answers with a failure, or cuts an answer that has begun. */
  fail(
    failure: core.Failure,
    requestId: string,
    headers: dialects.Headers,
  ): void {
    if (this.gone.aborted) return;
    if (this.hasBegun) {
      this.cut();
      return;
    }
    const body = JSON.stringify(core.problem(failure, requestId));
    this.response.writeHead(core.ANSWERS[failure.kind].status, {
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(body)),
      ...headers,
    });
    this.response.end(body);
  }
}
