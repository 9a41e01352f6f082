/**
 * The reading of one response: bounds its interim heads, and has its pieces
 * paced. A response beyond the bounds closes its connection.
 */
import type * as http from 'node:http';
import * as readPacing from './readpacing.js';

/** Interim heads before the final one of a sound response, at most. */
const MAX_INTERIM_HEADS = 100;

/** Items of a response beyond the usual rate of its connection, at most. */
const MAX_EXCESS_ITEMS = 16_384;

/** The response is one that no sound server sends. */
export class UnsoundResponseError extends Error {}

/** Where the response comes from, and what paces it. */
export interface ReadingOptions {
  readonly address: string;
  readonly port: number;
  readonly pacer?: readPacing.ReadPacer;
}

/** The reading of the response to a request that has a socket. */
export class ResponseReading implements readPacing.PacedConnection {
  readonly maxExcessItems = MAX_EXCESS_ITEMS;
  readonly meter: readPacing.ItemMeter;
  private interimHeads = 0;
  private pause: readPacing.SocketPause | undefined;

  constructor(
    private readonly request: http.ClientRequest,
    private readonly options: ReadingOptions,
  ) {
    const {pacer = readPacing.UNPACED} = options;
    this.meter = pacer.meter(this);
    request.on('information', () => this.recordInterimHead());
  }

  get peer(): string {
    return `${this.options.address}:${this.options.port}`;
  }

  pauseReading(): void {
    const {socket} = this.request;
    if (socket && !this.pause) {
      this.pause = new readPacing.SocketPause(socket);
      this.request.once('close', () => this.meter.close());
    }
    this.pause?.begin();
  }

  resumeReading(): void {
    this.pause?.end();
  }

  closeForItems(): void {
    this.close('the response consists of too many small pieces');
  }

  private recordInterimHead(): void {
    this.interimHeads += 1;
    this.meter.record(1);
    if (this.interimHeads !== MAX_INTERIM_HEADS + 1) return;
    this.meter.recordStop('interim_heads');
    this.close(`the response has more than ${MAX_INTERIM_HEADS} interim heads`);
  }

  private close(reason: string): void {
    this.request.destroy(new UnsoundResponseError(reason));
  }
}
