/** An HTTP request to a stand-in together with its response. */
import type * as http from 'node:http';
import * as events from 'node:events';

const BASE_URL = 'http://stand-in';

/** Reads one request and writes its response. */
export class Exchange {
  readonly url: URL;
  private readonly disconnectController = new AbortController();

  /** @param stopSignal aborts when the stand-in stops or crashes */
  constructor(
    readonly request: http.IncomingMessage,
    readonly response: http.ServerResponse,
    readonly stopSignal: AbortSignal,
  ) {
    this.url = new URL(request.url ?? '/', BASE_URL);
    response.on('error', () => this.disconnectController.abort());
    response.once('close', () => {
      if (!response.writableFinished) this.disconnectController.abort();
    });
  }

  /** Aborts when the connection closes before the response is complete. */
  get disconnectSignal(): AbortSignal {
    return this.disconnectController.signal;
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** Percent-decoded segments of the path. */
  get pathSegments(): string[] {
    return this.url.pathname.split('/').slice(1).map(decodeURIComponent);
  }

  /** Value of a request header, or undefined if it is absent. */
  header(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Numeric query parameter; `fallback` if it is absent or not a number. */
  queryNumber(name: string, fallback: number): number {
    const text = this.url.searchParams.get(name);
    const value = text ? Number(text) : fallback;
    return Number.isFinite(value) ? value : fallback;
  }

  /** Reads the whole body. Throws if the client disconnects before its end. */
  async readBody(): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of this.request) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks).toString();
  }

  /** Sends a JSON response; resolves when it is sent or the client is gone. */
  async sendJson(status: number, body: unknown): Promise<void> {
    const text = JSON.stringify(body);
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    await this.end(text);
  }

  /** Sends a response without a body. */
  async sendEmpty(status: number): Promise<void> {
    this.response.writeHead(status);
    await this.end('');
  }

  /** Writes part of the body; waits while the socket applies backpressure. */
  async write(text: string): Promise<void> {
    if (this.disconnectSignal.aborted || this.response.write(text)) return;
    await this.untilEvent('drain');
  }

  /** Ends the body; resolves when it is sent or the client has disconnected. */
  async end(text = ''): Promise<void> {
    if (this.disconnectSignal.aborted) return;
    this.response.end(text);
    if (!this.response.writableFinished) await this.untilEvent('finish');
  }

  /** Closes the connection at once, without a response. */
  destroy(): void {
    this.request.socket.destroy();
  }

  /** Closes the connection after the data written so far has been sent. */
  destroyAfterFlush(): void {
    this.request.socket.destroySoon();
  }

  /** Resolves when the client has disconnected. */
  async untilDisconnected(): Promise<void> {
    if (!this.disconnectSignal.aborted) {
      await events.EventEmitter.once(this.disconnectSignal, 'abort');
    }
  }

  private async untilEvent(event: string): Promise<void> {
    try {
      await events.EventEmitter.once(this.response, event, {
        signal: this.disconnectSignal,
      });
    } catch (error) {
      if (!this.disconnectSignal.aborted) throw error;
    }
  }
}
