/**
 * What the connections of callers hold, within bounds. A listener asks for each
 * connection whether there is room for it, and tells what its requests hold. The
 * bounds may ask a connection to give way: the body that arrives on it is
 * dropped and refused, or it is closed.
 */
import type * as errors from './errors.js';
import * as loopTurns from './loopturns.js';

/** Why a connection was asked to give way, or gave way itself. */
export type CutReason = 'memory' | 'stalled' | 'seats' | 'small_items';

/** The account of one connection. */
export interface ConnectionMemory {
  /** Holds further bytes; false if this connection has to give way. */
  hold(bytes: number): boolean;
  /**
   * Holds a request that waits for others of its connection, for which nobody
   * else gives way.
   */
  holdWaiting(bytes: number): boolean;
  /** Ends the wait of a request; its bytes are held on. */
  endWaiting(bytes: number): void;
  release(bytes: number): void;
  /** Records that the caller sent or took something. */
  recordProgress(): void;
  /** Whether the router waits for the caller to send or to take something. */
  setAwaitsCaller(isAwaiting: boolean): void;
  /** Whether an endpoint may be running a request of the connection. */
  setServed(isServed: boolean): void;
  /** Whether the connection has no request in progress. */
  setResting(isResting: boolean): void;
  /** Records bytes that were read or written and are held no longer. */
  recordPassed(bytes: number): void;
  /** Records that the connection gave way by itself. */
  recordCut(reason: CutReason): void;
  /** Releases all, once the connection has closed. */
  close(): void;
}

/** A connection that may be asked to give way. */
export interface BoundedConnection {
  readonly address: string;
  cut(reason: CutReason): void;
}

/** Bounds on all connections of one listener. */
export interface ConnectionBounds {
  /** Turns of the event loop for requests that were sent ahead. */
  readonly turns: loopTurns.LoopTurns;
  /** The account of a new connection; undefined if there is no room for it. */
  admit(connection: BoundedConnection): ConnectionMemory | undefined;
}

const UNBOUNDED_MEMORY: ConnectionMemory = {
  hold: () => true,
  holdWaiting: () => true,
  endWaiting: () => undefined,
  release: () => undefined,
  recordProgress: () => undefined,
  setAwaitsCaller: () => undefined,
  setServed: () => undefined,
  setResting: () => undefined,
  recordPassed: () => undefined,
  recordCut: () => undefined,
  close: () => undefined,
};

/** No bounds, for listeners without any. */
export const UNBOUNDED: ConnectionBounds = {
  turns: new loopTurns.SingleLoopTurns(),
  admit: () => UNBOUNDED_MEMORY,
};

/** What one request holds. */
export class CallMemory {
  /**
   * Resolves once nothing more is read of a body that is dropped; undefined if
   * none is. The response may be written before, and ends after it.
   */
  dropped: Promise<void> | undefined;
  private heldBytes = 0;
  private waitingBytes = 0;
  private dropBody: ((failure: errors.Failure) => void) | undefined;

  constructor(
    readonly connection: ConnectionMemory = UNBOUNDED_MEMORY,
    /** Makes the connection read nothing further, and close after its response. */
    readonly stopReading: () => void = () => undefined,
  ) {}

  hold(bytes: number): boolean {
    if (!this.connection.hold(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  /** Holds the head of a request that waits for others. */
  holdWaiting(bytes: number): boolean {
    if (!this.connection.holdWaiting(bytes)) return false;
    this.heldBytes += bytes;
    this.waitingBytes += bytes;
    return true;
  }

  /** Ends the wait for others, if there was one. */
  endWaiting(): void {
    this.connection.endWaiting(this.waitingBytes);
    this.waitingBytes = 0;
  }

  release(bytes: number): void {
    this.heldBytes -= bytes;
    this.connection.release(bytes);
  }

  /** Releases all, at the end of the request. */
  end(): void {
    this.dropBody = undefined;
    this.release(this.heldBytes);
  }

  /** Sets what drops the body that arrives; undefined once it is complete. */
  setBodyReader(dropBody?: (failure: errors.Failure) => void): void {
    this.dropBody = dropBody;
    this.connection.setAwaitsCaller(dropBody !== undefined);
  }

  /**
   * Drops the body that arrives, so that its request is refused; returns false
   * if there is none.
   */
  refuseBody(reason: CutReason): boolean {
    const {dropBody} = this;
    if (!dropBody) return false;
    this.setBodyReader(undefined);
    this.stopReading();
    dropBody(failureOf(reason));
    return true;
  }
}

function failureOf(reason: CutReason): errors.Failure {
  if (reason === 'stalled') {
    return {kind: 'request_timeout', detail: 'the body made no progress'};
  }
  const detail =
    reason === 'small_items'
      ? 'there is no time for a body in so many pieces'
      : 'there is no memory for the request';
  return {kind: 'overloaded', detail};
}
