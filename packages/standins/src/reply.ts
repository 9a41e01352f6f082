/**
 * An endpoint's answer to one request, with the faults that answers can have.
 * A reply is either one JSON body or a stream of server-sent events.
 */
import * as core from '@oleanderrock/core';
import type * as http from 'node:http';
import type * as control from './control.js';
import * as delay from './delay.js';
import type * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import type * as front from './front.js';

const OVERSIZED_BYTES = 256 * 1_024;
const GARBAGE = 'NOT/HTTP ?? \u0000\r\nno: header\r\n\r\n';

/** The services that a reply uses. */
export interface ReplyServices {
  readonly clock: core.Clock;
  readonly front: front.Front;
  readonly faults: control.Faults<endpointFaults.EndpointFaults>;
}

/** Whether the caller got the whole answer. */
export type Delivery = 'whole' | 'cut';

/** One answer. */
export class Reply {
  private tokensSent = 0;

  constructor(
    private readonly exchange: exchanges.Exchange,
    private readonly services: ReplyServices,
  ) {}

  /** Aborts when the run need not go on. */
  get signal(): AbortSignal {
    const isLate = this.faults.late_ms > 0;
    return isLate ? this.exchange.stopped : this.exchange.gone;
  }

  /** Refuses the request as not run. */
  refuse(): Promise<Delivery> {
    const headers = {[core.headers.EXECUTED]: 'no'};
    return this.json(503, {detail: 'refused'}, headers);
  }

  /** Answers with one JSON body. */
  async json(
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
  ): Promise<Delivery> {
    const text = JSON.stringify(body);
    const length = {'content-length': Buffer.byteLength(text)};
    const isOpen = await this.begin(status, {
      'content-type': 'application/json',
      ...(this.faults.no_length ? {} : length),
      ...headers,
    });
    if (!isOpen) return 'cut';
    if (this.faults.cut_after_tokens === null) return this.end(text);
    await this.exchange.write(text.slice(0, text.length / 2));
    return this.cut();
  }

  /** Begins a stream of events; false where nothing more can be sent. */
  openStream(headers: http.OutgoingHttpHeaders): Promise<boolean> {
    const type = {'content-type': 'text/event-stream'};
    return this.begin(200, {...type, ...headers});
  }

  /** Sends one token as an event; false where the stream is cut. */
  async token(event: object): Promise<boolean> {
    if (this.tokensSent === this.faults.cut_after_tokens) {
      this.cut();
      return false;
    }
    await this.services.front.pass(this.exchange);
    await this.exchange.write(`data: ${JSON.stringify(event)}\n\n`);
    this.tokensSent += 1;
    return !this.exchange.gone.aborted;
  }

  /** Sends the last event and ends the stream. */
  endStream(event: object): Promise<Delivery> {
    return this.end(`data: ${JSON.stringify(event)}\n\n`);
  }

  private get faults(): endpointFaults.EndpointFaults {
    return this.services.faults.now;
  }

  private async begin(
    status: number,
    headers: http.OutgoingHttpHeaders,
  ): Promise<boolean> {
    await this.delay();
    if (this.exchange.gone.aborted) return false;
    if (this.faults.malformed) {
      this.exchange.request.socket.end(GARBAGE);
      return false;
    }
    const {response} = this.exchange;
    if (this.faults.no_length) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(status, {...headers, ...this.marks()});
    return true;
  }

  private async delay(): Promise<void> {
    const {clock, front} = this.services;
    await delay.pause(clock, this.faults.slow_ms, this.signal);
    await delay.pause(clock, this.faults.late_ms, this.exchange.stopped);
    await front.pass(this.exchange);
  }

  private marks(): http.OutgoingHttpHeaders {
    const headers: http.OutgoingHttpHeaders = {};
    const id = this.exchange.header(core.headers.REQUEST_ID);
    if (id) headers[core.headers.REQUEST_ID] = id;
    if (this.faults.wrong_id) {
      headers[core.headers.REQUEST_ID] = core.createId();
    }
    if (this.faults.leaving) headers[core.headers.ENDPOINT_STATE] = 'leaving';
    if (this.faults.oversized_headers) {
      headers['oleander-padding'] = 'x'.repeat(OVERSIZED_BYTES);
    }
    return headers;
  }

  private async end(text: string): Promise<Delivery> {
    await this.services.front.pass(this.exchange);
    await this.exchange.end(text);
    return this.exchange.gone.aborted ? 'cut' : 'whole';
  }

  private cut(): Delivery {
    this.exchange.cutAfterSent();
    return 'cut';
  }
}
