/**
 * An endpoint's reply to one request, with the faults injected into it. It is
 * either one JSON body or a stream of server-sent events.
 */
import * as core from '@oleanderrock/core';
import type * as http from 'node:http';
import type * as control from './control.js';
import * as delay from './delay.js';
import type * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import type * as httpServer from './httpserver.js';

const OVERSIZED_HEADER_BYTES = 256 * 1_024;
const MALFORMED_RESPONSE = 'NOT/HTTP ?? \u0000\r\nno: header\r\n\r\n';

/** Services that a reply depends on. */
export interface ReplyServices {
  readonly clock: core.Clock;
  readonly httpServer: httpServer.HttpServer;
  readonly faults: control.Faults<endpointFaults.EndpointFaults>;
}

/** Whether the reply was sent completely. */
export type Delivery = 'whole' | 'cut';

/** Reply to one request. */
export class Reply {
  private tokensSent = 0;

  constructor(
    private readonly exchange: exchanges.Exchange,
    private readonly services: ReplyServices,
  ) {}

  /** Aborts when the run may stop: at a disconnect, unless `late_ms` is set. */
  get abortSignal(): AbortSignal {
    const isLate = this.faults.late_ms > 0;
    return isLate ? this.exchange.stopSignal : this.exchange.disconnectSignal;
  }

  /** Answers 503 with the header that says that the request did not run. */
  refuse(): Promise<Delivery> {
    const headers = {[core.headers.EXECUTED]: 'no'};
    return this.sendJson(503, {detail: 'refused'}, headers);
  }

  /** Answers with one JSON body. */
  async sendJson(
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
  ): Promise<Delivery> {
    const text = JSON.stringify(body);
    const length = {'content-length': Buffer.byteLength(text)};
    const isOpen = await this.sendHead(status, {
      'content-type': 'application/json',
      ...(this.faults.no_length ? {} : length),
      ...headers,
    });
    if (!isOpen) return 'cut';
    if (this.faults.cut_after_tokens === null) return this.endBody(text);
    await this.exchange.write(text.slice(0, text.length / 2));
    return this.cutConnection();
  }

  /** Starts an event stream; false if nothing more can be sent. */
  openStream(headers: http.OutgoingHttpHeaders): Promise<boolean> {
    const type = {'content-type': 'text/event-stream'};
    return this.sendHead(200, {...type, ...headers});
  }

  /** Sends one token as an event; false once the stream is cut off. */
  async sendToken(event: object): Promise<boolean> {
    if (this.tokensSent === this.faults.cut_after_tokens) {
      this.cutConnection();
      return false;
    }
    await this.services.httpServer.untilUnblocked(this.exchange);
    await this.exchange.write(`data: ${JSON.stringify(event)}\n\n`);
    this.tokensSent += 1;
    return !this.exchange.disconnectSignal.aborted;
  }

  /** Sends the final event and ends the stream. */
  endStream(event: object): Promise<Delivery> {
    return this.endBody(`data: ${JSON.stringify(event)}\n\n`);
  }

  private get faults(): endpointFaults.EndpointFaults {
    return this.services.faults.current;
  }

  private async sendHead(
    status: number,
    headers: http.OutgoingHttpHeaders,
  ): Promise<boolean> {
    await this.waitBeforeAnswer();
    if (this.exchange.disconnectSignal.aborted) return false;
    if (this.faults.malformed) {
      this.exchange.request.socket.end(MALFORMED_RESPONSE);
      return false;
    }
    const {response} = this.exchange;
    if (this.faults.no_length) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(status, {...headers, ...this.commonHeaders()});
    return true;
  }

  private async waitBeforeAnswer(): Promise<void> {
    const {clock, httpServer} = this.services;
    await delay.pause(clock, this.faults.slow_ms, this.abortSignal);
    await delay.pause(clock, this.faults.late_ms, this.exchange.stopSignal);
    await httpServer.untilUnblocked(this.exchange);
  }

  private commonHeaders(): http.OutgoingHttpHeaders {
    const headers: http.OutgoingHttpHeaders = {};
    const id = this.exchange.header(core.headers.REQUEST_ID);
    if (id) headers[core.headers.REQUEST_ID] = id;
    if (this.faults.wrong_id) {
      headers[core.headers.REQUEST_ID] = core.createId();
    }
    if (this.faults.leaving) headers[core.headers.ENDPOINT_STATE] = 'leaving';
    if (this.faults.oversized_headers) {
      headers['oleander-padding'] = 'x'.repeat(OVERSIZED_HEADER_BYTES);
    }
    return headers;
  }

  private async endBody(text: string): Promise<Delivery> {
    await this.services.httpServer.untilUnblocked(this.exchange);
    await this.exchange.end(text);
    return this.exchange.disconnectSignal.aborted ? 'cut' : 'whole';
  }

  private cutConnection(): Delivery {
    this.exchange.destroyAfterFlush();
    return 'cut';
  }
}
