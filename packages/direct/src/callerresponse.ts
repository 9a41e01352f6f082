/** The response to the caller over HTTP. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as routedRequest from './routedrequest.js';
import type * as wireProtocol from './wireprotocol.js';

/** What the connection of an endpoint holds while its answer isn't read. */
const PAUSED_BYTES = 98_304;

/** Writes to Node's `ServerResponse`. */
export class HttpCallerResponse implements routedRequest.CallerResponse {
  private readonly callerGoneController = new AbortController();
  /**
   * Monotonic time at which the endpoint's response began to be passed on, in
   * ms; undefined if none was.
   */
  startedMs: number | undefined;

  constructor(
    private readonly response: http.ServerResponse,
    readonly memory: core.CallMemory,
    private readonly clock: core.Clock,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.callerGoneController.abort();
    });
    // A disconnect is detected by `close`; the errors that accompany it add
    // nothing.
    response.on('error', () => undefined);
    if (response.destroyed || response.socket?.destroyed) {
      this.callerGoneController.abort();
    }
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get callerGone(): AbortSignal {
    return this.callerGoneController.signal;
  }

  writeHead(
    status: number,
    headers: wireProtocol.HeaderMap,
    framing: routedRequest.Framing,
  ): void {
    if (this.callerGone.aborted) return;
    this.startedMs = this.clock.nowMs();
    // With no transfer-encoding header, Node ends the response by closing its
    // connection.
    if (framing === 'connection') {
      this.response.removeHeader('transfer-encoding');
    }
    this.response.writeHead(status, headers);
    if (headers['content-length'] === undefined) this.response.flushHeaders();
  }

  write(chunk: Buffer): Promise<void> | undefined {
    if (this.callerGone.aborted) return undefined;
    const {response, memory} = this;
    memory.connection.recordPassed(chunk.length);
    const written = core.responses.writeFlushed(response, chunk);
    return written && this.holdUntil(written);
  }

  writeAll(chunks: readonly Buffer[]): Promise<void> | undefined {
    if (this.callerGone.aborted) return undefined;
    const {response, memory} = this;
    memory.connection.recordPassed(byteCountOf(chunks));
    const written = core.responses.writeAllFlushed(response, chunks);
    return written && this.holdUntil(written);
  }

  end(): void {
    if (!this.callerGone.aborted) this.response.end();
  }

  endWith(chunks: readonly Buffer[]): void {
    if (this.callerGone.aborted) return;
    if (byteCountOf(chunks) <= core.relay.MAX_JOINED_BYTES) {
      core.relay.endWith(this.response, Buffer.concat(chunks));
      return;
    }
    void this.writeAll(chunks);
    this.response.end();
  }

  abort(): void {
    core.responses.abortResponse(this.response);
  }

  /** Holds what waits for the caller until it takes it. */
  private async holdUntil(written: Promise<void>): Promise<void> {
    const {response, memory} = this;
    const waitingBytes = response.writableLength + PAUSED_BYTES;
    if (!memory.hold(waitingBytes)) {
      memory.connection.recordCut('memory');
      this.abort();
      return;
    }
    memory.connection.setAwaitsCaller(true);
    await written;
    memory.connection.setAwaitsCaller(false);
    memory.release(waitingBytes);
  }

  /**
   * Sends a failure as a problem document, or closes the connection of a
   * response that has begun.
   */
  async sendFailure(
    failure: core.Failure,
    requestId: string,
    headers: wireProtocol.HeaderMap,
  ): Promise<void> {
    if (this.callerGone.aborted) return;
    if (this.hasBegun) {
      this.abort();
      return;
    }
    const body = JSON.stringify(core.toProblem(failure, requestId));
    this.response.writeHead(core.ERROR_RESPONSES[failure.kind].status, {
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(body)),
      ...headers,
    });
    const {dropped} = this.memory;
    if (!dropped) {
      this.response.end(body);
      return;
    }
    // After the end of the response, Node.js drops the body without end.
    this.response.write(body);
    await dropped;
    this.response.end();
  }
}

function byteCountOf(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, {length}) => sum + length, 0);
}
