/**
 * The requests of one connection, in order of arrival, and its end if one of
 * them cannot be read.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as callerMemory from './callermemory.js';
import type * as errors from './errors.js';
import * as mailbox from './mailbox.js';
import * as parseErrors from './parseerrors.js';
import * as readPacing from './readpacing.js';
import * as requestParsers from './requestparser.js';
import * as responses from './responses.js';

/**
 * Number of waiting requests from which on nothing more is read. What one read
 * of the socket holds (64 KiB) may come on top.
 */
const MAX_WAITING = 16;

/**
 * Memory of a request that waits or is served, apart from its body and the bytes
 * of its head: what each takes, and each name and value of a field.
 */
const CALL_BYTES = 6_144;
const FIELD_TEXT_BYTES = 64;

/** Time for which a caller may read a refusal before its connection closes. */
const LINGER_MS = 500;

/** An HTTP request and the response to write. */
export interface Call {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly memory: callerMemory.CallMemory;
}

/** A failure to read a request, and the request id to answer it with. */
export interface Refusal {
  readonly failure: errors.Failure;
  readonly requestId: string;
}

/** A connection of a caller; its task takes the calls one after another. */
export class Connection implements readPacing.PacedConnection {
  readonly peer: string;
  private readonly calls = new mailbox.Mailbox<Call>();
  /** The call that the task took last. */
  private currentCall: Call | undefined;
  private isServing = false;
  private refusal: Refusal | undefined;
  private isEnded = false;
  /** Whether nothing more is read, and the connection closes soon. */
  private isStopped = false;
  private readonly memory: callerMemory.ConnectionMemory | undefined;
  private newestCall: Call | undefined;
  /** Time at which the refusal was first seen to be written, in ms. */
  private endedMs: number | undefined;
  /** The newest call and the bytes read as of the last check. */
  private checkedCall: Call | undefined;
  private checkedBytes = 0;
  private readonly meter: readPacing.ItemMeter;
  private isPaced = false;
  private readonly parser: requestParsers.RequestParser;
  /** Bytes read of the socket as of the last read. */
  private seenBytes = 0;
  /** Bytes read of a head that has not ended, and what is held for it. */
  private partialHeadBytes = 0;
  private heldHeadBytes = 0;

  /**
   * @param receivingSinceMs time since which a request is awaited, in ms of the
   *     clock that `isOverdue` is called with
   */
  constructor(
    private readonly socket: net.Socket,
    private receivingSinceMs: number,
    bounds: callerMemory.ConnectionBounds,
    pacer: readPacing.ReadPacer,
  ) {
    this.peer = socket.remoteAddress ?? '';
    this.meter = pacer.meter(this);
    this.memory = bounds.admit({
      address: this.peer,
      cut: reason => this.cut(reason),
    });
    this.parser = new requestParsers.RequestParser(socket);
    this.parser.onRead(() => this.holdPartialHead());
    this.parser.joinPieces(() => this.meter.record(1));
    socket.once('close', () => {
      // Nobody is left to answer.
      this.calls.drain();
      this.calls.close();
      this.memory?.close();
      this.meter.close();
      this.parser.release();
    });
    // Node.js resumes the socket whenever the body of a request is read.
    socket.on('resume', () => this.limitReading());
  }

  /** Whether there is room for the connection. */
  get isAdmitted(): boolean {
    return this.memory !== undefined;
  }

  /** Whether further requests have arrived. */
  get hasWaiting(): boolean {
    return this.calls.size > 0;
  }

  /** Adds a request whose head has arrived. */
  put(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.isStopped || !this.memory) return;
    this.releasePartialHead();
    const memory = new callerMemory.CallMemory(this.memory, () =>
      this.stop(response),
    );
    if (!this.holdHead(request, memory)) {
      this.memory.recordCut('memory');
      this.stopAfterWaiting();
      return;
    }
    this.memory.setResting(false);
    const call = {request, response, memory};
    this.newestCall = call;
    this.calls.put(call);
    this.limitReading();
  }

  /**
   * The next call; undefined once the connection has closed or ends with a
   * refusal.
   */
  async take(): Promise<Call | undefined> {
    const wasFull = this.calls.size >= MAX_WAITING;
    this.isServing = false;
    const call = await this.calls.take();
    // A call may have arrived that nobody is left to be answered for.
    if (this.socket.destroyed) return undefined;
    if (!call || (this.refusal && !call.request.complete)) {
      if (this.refusal || this.isStopped) await this.awaitResponse();
      if (this.isStopped) this.endStopped();
      else this.end();
      return undefined;
    }
    this.currentCall = call;
    this.isServing = true;
    call.memory.endWaiting();
    if (wasFull && this.calls.size < MAX_WAITING) this.socket.resume();
    return call;
  }

  /**
   * Ends a call that was handled. The next one is taken only when its response
   * was written, so that a caller who reads nothing is owed one response.
   */
  async finish({response, memory}: Call): Promise<void> {
    if (!response.writableFinished && this.socket.writableLength > 0) {
      memory.connection.setAwaitsCaller(true);
      await this.awaitResponse();
      memory.connection.setAwaitsCaller(false);
    }
    memory.end();
    if (this.calls.size === 0) memory.connection.setResting(true);
  }

  /**
   * Ends the connection with an error response, after the responses to all
   * requests that arrived before the unreadable one.
   */
  refuse(refusal: Refusal): void {
    if (this.refusal) return;
    this.refusal = refusal;
    this.calls.close();
    // The task waits for the rest of this request, which never arrives.
    if (this.currentCall && !this.currentCall.request.complete) this.end();
  }

  /**
   * Whether a request has not arrived in `timeoutMs`. Each head and each body
   * has this time, and it does not pass while the request waits for others: the
   * router itself may not read it then.
   *
   * Bytes of a head which arrived with the end of the request before it count
   * only from its next bytes on; without any, the keep-alive timeout applies.
   */
  isOverdue(nowMs: number, timeoutMs: number): boolean {
    if (!this.isReceiving()) this.receivingSinceMs = nowMs;
    return nowMs - this.receivingSinceMs > timeoutMs;
  }

  pauseReading(): void {
    this.isPaced = true;
    this.limitReading();
  }

  resumeReading(): void {
    this.isPaced = false;
    if (!this.socket.destroyed) this.socket.resume();
  }

  giveWay(): void {
    this.memory?.recordCut('small_items');
    this.cut('small_items');
  }

  closeForItems(): void {
    this.close();
  }

  /** Closes the connection some time after a refusal was written. */
  closeRefused(nowMs: number): void {
    if (!this.isEnded) return;
    this.endedMs ??= nowMs;
    if (nowMs - this.endedMs > LINGER_MS) this.close();
  }

  /** Closes the connection at once; a begun response is seen to be incomplete. */
  close(): void {
    responses.closeSocket(this.socket, this.currentCall?.response);
  }

  /** Gives way: refuses the body that arrives, or closes the connection. */
  private cut(reason: callerMemory.CutReason): void {
    if (this.currentCall?.memory.refuseBody(reason)) return;
    this.isStopped = true;
    this.parser.stop();
    this.close();
  }

  /** Reads nothing more; the connection closes after the response. */
  private stop(response: http.ServerResponse): void {
    this.stopAfterWaiting();
    response.shouldKeepAlive = false;
  }

  /** Reads nothing more; the connection closes after the waiting calls. */
  private stopAfterWaiting(): void {
    this.isStopped = true;
    this.parser.stop();
    this.socket.pause();
    this.calls.close();
  }

  /** Holds the head of a request; false if there is no memory for it. */
  private holdHead(
    {rawHeaders, url = ''}: http.IncomingMessage,
    memory: callerMemory.CallMemory,
  ): boolean {
    let bytes = CALL_BYTES + FIELD_TEXT_BYTES * rawHeaders.length + url.length;
    for (const text of rawHeaders) bytes += text.length;
    const isWaiting = this.isServing || this.calls.size > 0;
    return isWaiting ? memory.holdWaiting(bytes) : memory.hold(bytes);
  }

  /** Counts what was read of a head that has not ended. */
  private holdPartialHead(): void {
    const {bytesRead} = this.socket;
    const newBytes = bytesRead - this.seenBytes;
    this.seenBytes = bytesRead;
    if (!this.parser.isInHead) return this.releasePartialHead();
    this.partialHeadBytes += newBytes;
    const bytes =
      this.partialHeadBytes + FIELD_TEXT_BYTES * this.parser.headTextCount;
    const addedBytes = bytes - this.heldHeadBytes;
    if (!this.memory || this.isStopped) return;
    if (this.memory.hold(addedBytes)) {
      this.heldHeadBytes = bytes;
      return;
    }
    this.memory.recordCut('memory');
    this.stopAfterWaiting();
  }

  private releasePartialHead(): void {
    this.partialHeadBytes = 0;
    if (this.heldHeadBytes > 0) this.memory?.release(this.heldHeadBytes);
    this.heldHeadBytes = 0;
  }

  private isReceiving(): boolean {
    const call = this.newestCall;
    if (this.refusal) return false;
    if (!call) return true;
    const isNew = call !== this.checkedCall;
    this.checkedCall = call;
    const {bytesRead} = this.socket;
    if (!call.request.complete) {
      this.checkedBytes = bytesRead;
      return !isNew && call === this.currentCall;
    }
    const isResting = isNew || call !== this.currentCall || this.isServing;
    if (isResting) this.checkedBytes = bytesRead;
    return !isResting && bytesRead > this.checkedBytes;
  }

  private end(): void {
    if (!this.refusal || this.isEnded || !this.socket.writable) return;
    this.isEnded = true;
    const {request, response} = this.currentCall ?? {};
    if (request?.complete === false && response?.headersSent) {
      responses.closeSocketSoon(this.socket, response);
      return;
    }
    const {failure, requestId} = this.refusal;
    parseErrors.endWithProblem(this.socket, failure, requestId);
  }

  /** Ends the connection; the caller has some time to read the response. */
  private endStopped(): void {
    this.isEnded = true;
    if (this.socket.writable) this.socket.end();
  }

  /** Resolves when the current response was written, or cannot be. */
  private async awaitResponse(): Promise<void> {
    const {socket} = this;
    const response = this.currentCall?.response;
    if (!response || response.writableFinished || socket.destroyed) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        response.off('finish', finish);
        socket.off('close', finish);
        resolve();
      };
      response.once('finish', finish);
      socket.once('close', finish);
    });
  }

  private limitReading(): void {
    const isFull = this.calls.size >= MAX_WAITING;
    const isLimited = this.isEnded || this.isStopped || this.isPaced;
    if (isLimited || isFull) this.socket.pause();
  }
}
