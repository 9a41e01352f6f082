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
  readonly peer: string;
  readonly maxExcessItems = MAX_EXCESS_ITEMS;
  readonly meter: readPacing.ItemMeter;
  private interimHeads = 0;
  private readonly pause: readPacing.SocketPause | undefined;

  constructor(
    private readonly request: http.ClientRequest,
    {address, port, pacer = readPacing.UNPACED}: ReadingOptions,
  ) {
    this.peer = `${address}:${port}`;
    const {socket} = request;
    this.pause = socket ? new readPacing.SocketPause(socket) : undefined;
    this.meter = pacer.meter(this);
    request.on('information', () => this.recordInterimHead());
    request.once('close', () => this.meter.close());
  }

  pauseReading(): void {
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
