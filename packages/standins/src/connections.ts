/**
 * Open connections of a stand-in. A connection can be blocked by two faults:
 * silence, which is permanent, and freezing, which can be reversed. Tasks wait
 * here until their connection is unblocked before they read or write.
 */
import * as core from '@oleanderrock/core';
import type * as net from 'node:net';
import * as conditionVariable from './conditionvariable.js';

const RECHECK_INTERVAL_MS = 60_000;

/** Open connections and whether each is blocked. */
export class Connections {
  private readonly openSockets = new Set<net.Socket>();
  private readonly silentSockets = new WeakSet<net.Socket>();
  private readonly frozenChanged: conditionVariable.ConditionVariable;
  private isFrozen = false;
  private blockedCount = 0;

  constructor(clock: core.Clock) {
    this.frozenChanged = new conditionVariable.ConditionVariable(clock);
  }

  /** Adds a new connection; it is removed when it closes. */
  add(socket: net.Socket): void {
    this.openSockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.openSockets.delete(socket));
  }

  /** Number of open connections. */
  get size(): number {
    return this.openSockets.size;
  }

  /** Number of tasks that wait for a blocked connection. */
  get blockedTaskCount(): number {
    return this.blockedCount;
  }

  /** Blocks all connections that are now open, permanently. */
  silence(): void {
    for (const socket of this.openSockets) this.silentSockets.add(socket);
  }

  /** Blocks or unblocks all connections, including later ones. */
  setFrozen(isFrozen: boolean): void {
    this.isFrozen = isFrozen;
    this.frozenChanged.notifyAll();
  }

  /** Resolves once the connection is not blocked, or `signal` aborts. */
  async untilUnblocked(socket: net.Socket, signal: AbortSignal): Promise<void> {
    this.blockedCount += 1;
    while (!signal.aborted && this.isBlocked(socket)) {
      await this.frozenChanged.wait(RECHECK_INTERVAL_MS, signal);
    }
    this.blockedCount -= 1;
  }

  /** Closes all connections; if `isReset`, with a TCP reset. */
  destroy(isReset: boolean): void {
    for (const socket of this.openSockets) {
      if (isReset) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  private isBlocked(socket: net.Socket): boolean {
    return this.isFrozen || this.silentSockets.has(socket);
  }
}
