/** The requests of one connection, in order of arrival. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as mailbox from './mailbox.js';

/**
 * Number of waiting requests from which on nothing more is read. What one read
 * of the socket holds (64 KiB) may come on top.
 */
const MAX_WAITING = 16;

/** An HTTP request and the response to write. */
export interface Call {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** A connection of a caller; its task takes the calls one after another. */
export class Connection {
  private readonly calls = new mailbox.Mailbox<Call>();

  constructor(private readonly socket: net.Socket) {
    socket.once('close', () => this.calls.close());
    // Node.js resumes the socket whenever the body of a request is read.
    socket.on('resume', () => this.limitReading());
  }

  /** Adds a call whose head has arrived. */
  put(call: Call): void {
    this.calls.put(call);
    this.limitReading();
  }

  /** The next call; undefined once the connection has closed. */
  async take(): Promise<Call | undefined> {
    const wasFull = this.calls.size >= MAX_WAITING;
    const call = await this.calls.take();
    if (wasFull && this.calls.size < MAX_WAITING) this.socket.resume();
    return call;
  }

  private limitReading(): void {
    if (this.calls.size >= MAX_WAITING) this.socket.pause();
  }
}
