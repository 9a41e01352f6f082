/**
 * The open connections of a stand-in, some of which may be silent for good or
 * frozen for a while. Whoever reads or writes passes through here first.
 */
import * as core from '@oleanderrock/core';
import type * as net from 'node:net';
import * as notice from './notice.js';

const RECHECK_MS = 60_000;

/** The open connections. */
export class Connections {
  private readonly open = new Set<net.Socket>();
  private readonly silent = new WeakSet<net.Socket>();
  private readonly changed: notice.Notice;
  private isFrozen = false;
  private waiting = 0;

  constructor(clock: core.Clock) {
    this.changed = new notice.Notice(clock);
  }

  /** Takes a new connection in. */
  add(socket: net.Socket): void {
    this.open.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.open.delete(socket));
  }

  /** How many connections are open. */
  get size(): number {
    return this.open.size;
  }

  /** How many tasks wait to read or write. */
  get held(): number {
    return this.waiting;
  }

  /** Silences all connections that are open now, for good. */
  silence(): void {
    for (const socket of this.open) this.silent.add(socket);
  }

  /** Freezes or resumes all connections. */
  freeze(isFrozen: boolean): void {
    this.isFrozen = isFrozen;
    this.changed.announce();
  }

  /** Resolves when the connection may carry bytes, or `signal` aborts. */
  async pass(socket: net.Socket, signal: AbortSignal): Promise<void> {
    this.waiting += 1;
    while (!signal.aborted && this.isClosedTo(socket)) {
      await this.changed.wait(RECHECK_MS, signal);
    }
    this.waiting -= 1;
  }

  /** Closes all connections; with `reset`, by a TCP reset. */
  destroy(reset: boolean): void {
    for (const socket of this.open) {
      if (reset) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  private isClosedTo(socket: net.Socket): boolean {
    return this.isFrozen || this.silent.has(socket);
  }
}
