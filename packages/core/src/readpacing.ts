/**
 * Paces the reading of connections that cut what they send into very many small
 * items: heads, and pieces of bodies. Node.js reads up to 2 MB of a connection in
 * one turn of the event loop, and its parser makes a call for each item, so that a
 * turn could last for most of a second.
 */
import type * as net from 'node:net';
import * as kernel from './kernel.js';

/** A connection whose reading can be paused. */
export interface PacedConnection {
  /** Name of the peer in log lines. */
  readonly peer: string;
  /**
   * Number of items beyond the usual rate after which the connection is closed;
   * without limit if absent.
   */
  readonly maxExcessItems?: number;
  pauseReading(): void;
  resumeReading(): void;
  /**
   * Gives up what arrives, since too many others send many items as well;
   * connections without it are only paused.
   */
  giveWay?(): void;
  /** Closes the connection, since it exceeded its limit. */
  closeForItems(): void;
}

/** Why a connection was closed for what it sent. */
export type StopReason = 'small_items' | 'interim_heads';

/** Counts what is parsed of one connection. */
export interface ItemMeter {
  /** Counts items; the reading may be paused by it. */
  record(items: number): void;
  /** Records that the connection is closed for what it sent. */
  recordStop(reason: StopReason): void;
  /** Ends the count, and a pause. */
  close(): void;
}

/** Decides which connections are read when. */
export interface ReadPacer {
  /** The meter of a new connection, or of a message on it. */
  meter(connection: PacedConnection): ItemMeter;
}

/** The contract under which the pacer is registered. */
export const READ_PACER = kernel.contract<ReadPacer>('read-pacer', ['meter']);

/** Counts nothing. */
export const IDLE_METER: ItemMeter = {
  record: () => undefined,
  recordStop: () => undefined,
  close: () => undefined,
};

/** Pauses nothing. */
export const UNPACED: ReadPacer = {meter: () => IDLE_METER};

/** Pauses the reading of a client's socket, whoever else resumes it. */
export class SocketPause {
  private readonly keepPaused = () => this.socket.pause();

  constructor(private readonly socket: net.Socket) {}

  begin(): void {
    // Node.js resumes the socket whenever the body of a response is read.
    this.socket.on('resume', this.keepPaused);
    this.socket.pause();
  }

  end(): void {
    this.socket.off('resume', this.keepPaused);
    this.socket.resume();
  }
}
