/**
 * The watch over requests in flight: one task checks the endpoints of requests
 * that have received no bytes for a while. If an endpoint crashed, its requests
 * are aborted at once instead of at their deadlines. If it is only silent,
 * requests that another endpoint may run are aborted; the others keep waiting,
 * since only this router's own link may be slow.
 */
import * as core from '@oleanderrock/core';
import * as liveness from './liveness.js';
import type * as model from './model.js';

/** Interval between scans of the requests, in ms. */
const SCAN_INTERVAL_MS = 150;

/** Time without bytes after which the endpoint is checked, in ms. */
const CHECK_AFTER_MS = 400;

/** Shortest interval between checks of the endpoint of one request, in ms. */
const RECHECK_INTERVAL_MS = 1_000;

/**
 * Time without bytes after which a retryable event stream is aborted even if
 * its endpoint is alive, in ms: well before callers abandon a silent stream,
 * which they do after 2 s or more.
 */
const ABORT_STREAM_AFTER_MS = 1_500;

/** A request in flight at an endpoint. */
export interface WatchedRequest {
  readonly endpoint: model.Endpoint;
  /**
   * Whether the response is an event stream; other responses may take a long
   * time to begin.
   */
  readonly isStream: boolean;
  /** Whether the request could be sent to another endpoint now. */
  readonly isRetryable: boolean;
  /** Aborts the request at its endpoint. */
  abort(cause: 'dead' | 'silent'): void;
}

/** Handle of a watched request. */
export interface WatchHandle {
  /** Records that bytes arrived. */
  recordActivity(): void;
  /** Ends the watch. */
  remove(): void;
}

/** Watches requests in flight. */
export interface RequestWatch {
  add(request: WatchedRequest): WatchHandle;
}

/** The contract under which the request watch is registered. */
export const REQUEST_WATCH = core.contract<RequestWatch>('request-watch', [
  'add',
]);

interface WatchEntry {
  readonly request: WatchedRequest;
  lastActivityMs: number;
  lastCheckMs: number;
}

/** Watches with one periodic task. */
export class SilenceWatch extends core.TaskService implements RequestWatch {
  private readonly entries = new Set<WatchEntry>();

  constructor(kernel: core.Kernel) {
    super(kernel, 'request-watch');
  }

  add(request: WatchedRequest): WatchHandle {
    const entry = {request, lastActivityMs: this.nowMs(), lastCheckMs: 0};
    this.entries.add(entry);
    return {
      recordActivity: () => {
        entry.lastActivityMs = this.nowMs();
      },
      remove: () => this.entries.delete(entry),
    };
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.find(core.CLOCK).sleep(SCAN_INTERVAL_MS, signal);
      const nowMs = this.nowMs();
      for (const entry of this.entries) this.inspect(entry, nowMs);
    }
  }

  private inspect(entry: WatchEntry, nowMs: number): void {
    const {request} = entry;
    const idleMs = nowMs - entry.lastActivityMs;
    if (idleMs < CHECK_AFTER_MS) return;
    if (
      idleMs >= ABORT_STREAM_AFTER_MS &&
      request.isStream &&
      request.isRetryable
    ) {
      this.entries.delete(entry);
      request.abort('silent');
      return;
    }
    if (nowMs - entry.lastCheckMs < RECHECK_INTERVAL_MS) return;
    entry.lastCheckMs = nowMs;
    const log = this.kernel.find(core.LOGGER);
    core.detach(log, 'request-check', () => this.check(entry));
  }

  private async check(entry: WatchEntry): Promise<void> {
    const {request} = entry;
    const result = await this.kernel
      .find(liveness.LIVENESS)
      .check(request.endpoint);
    const shouldAbort =
      result === 'silent' ? request.isRetryable : result === 'refused';
    if (shouldAbort && this.entries.delete(entry)) request.abort('dead');
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
