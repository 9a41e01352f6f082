/** One HTTP request and its answer, as a stand-in's task sees them. */
import type * as http from 'node:http';
import * as events from 'node:events';

const BASE = 'http://stand-in';

/** One request and its answer. */
export class Exchange {
  readonly url: URL;
  private readonly controller = new AbortController();

  /** @param stopped aborts when the stand-in closes */
  constructor(
    readonly request: http.IncomingMessage,
    readonly response: http.ServerResponse,
    readonly stopped: AbortSignal,
  ) {
    this.url = new URL(request.url ?? '/', BASE);
    response.on('error', () => this.controller.abort());
    response.once('close', () => {
      if (!response.writableFinished) this.controller.abort();
    });
  }

  /** Aborts when the connection closes before the answer is whole. */
  get gone(): AbortSignal {
    return this.controller.signal;
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** The path's segments, decoded. */
  get segments(): string[] {
    return this.url.pathname.split('/').slice(1).map(decodeURIComponent);
  }

  /** A header of the request, where it was given. */
  header(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** A number of the query, or `fallback` where it is missing or none. */
  number(name: string, fallback: number): number {
    const text = this.url.searchParams.get(name);
    const value = text ? Number(text) : fallback;
    return Number.isFinite(value) ? value : fallback;
  }

  /** Reads the whole body. Throws where the caller leaves before its end. */
  async body(): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of this.request) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks).toString();
  }

  /** Sends a JSON answer and resolves when it is sent or the caller is gone. */
  async send(status: number, body: unknown): Promise<void> {
    const text = JSON.stringify(body);
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    await this.end(text);
  }

  /** Sends an answer without a body. */
  async sendEmpty(status: number): Promise<void> {
    this.response.writeHead(status);
    await this.end('');
  }

  /** Writes a part of the body; waits while the caller does not read. */
  async write(text: string): Promise<void> {
    if (this.gone.aborted || this.response.write(text)) return;
    await this.settle('drain');
  }

  /** Ends the body; resolves when it is sent or the caller is gone. */
  async end(text = ''): Promise<void> {
    if (this.gone.aborted) return;
    this.response.end(text);
    if (!this.response.writableFinished) await this.settle('finish');
  }

  /** Closes the connection without a word. */
  cut(): void {
    this.request.socket.destroy();
  }

  /** Closes the connection once what was written is sent. */
  cutAfterSent(): void {
    this.request.socket.destroySoon();
  }

  /** Resolves when the connection has closed. */
  async untilGone(): Promise<void> {
    if (!this.gone.aborted) await events.EventEmitter.once(this.gone, 'abort');
  }

  private async settle(event: string): Promise<void> {
    try {
      await events.EventEmitter.once(this.response, event, {signal: this.gone});
    } catch (error) {
      if (!this.gone.aborted) throw error;
    }
  }
}
