/**
 * Whether a request may be sent to a further endpoint: by its record of runs,
 * its number of sends, its time, the crash keys that it bears, and the retry
 * budget that all routers share.
 */
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import type * as dispatchProgress from './dispatchprogress.js';
import * as endpointNotices from './endpointnotices.js';
import * as fleetRegistry from './fleetregistry.js';
import type * as routedRequest from './routedrequest.js';

/**
 * Maximum number of endpoints that one request is sent to, those that refuse it
 * included.
 */
export const MAX_SENDS = 4;

/** Remaining time below which a send cannot succeed, in ms. */
const MIN_SEND_TIME_MS = 15;

/**
 * Time-out of a send that can still be retried elsewhere, as a multiple of the
 * route's response-time goal; for idempotent routes only.
 */
const SEND_TIMEOUT_GOAL_MULTIPLE = 1.5;

/** Decides with the services registered with the kernel. */
export class SendAllowance {
  constructor(private readonly kernel: core.Kernel) {}

  /** Whether the request may be sent now, none of its sends being open. */
  maySend(dispatch: dispatchProgress.Dispatch): boolean {
    const {request, progress} = dispatch;
    if (progress.sendCount > 0 && this.isQuarantined(request)) return false;
    return this.hasSendLeft(dispatch) && progress.runs.maySend();
  }

  /** Whether the request could be sent elsewhere if its send were given up. */
  mayRetry(dispatch: dispatchProgress.Dispatch): boolean {
    if (!this.hasSendLeft(dispatch)) return false;
    const {request, delivery, progress} = dispatch;
    if (!progress.runs.maySendAfterOpen()) return false;
    const {pool} = request;
    if (!this.retryBudget.canSpend(pool, this.routerCount(), this.nowMs())) {
      return false;
    }
    // The answer that is under way may have begun a stream.
    const version = progress.version ?? delivery.begunVersion;
    return endpointNotices
      .willingEndpoints(this.kernel, pool, version)
      .some(({id}) => !progress.triedIds.has(id));
  }

  /** Whether the request may be sent to a second endpoint beside the first. */
  maySendSecond(dispatch: dispatchProgress.Dispatch): boolean {
    if (dispatch.delivery.hasBegun) return false;
    return this.mayRetry(dispatch) && !this.isQuarantined(dispatch.request);
  }

  /**
   * Spends a retry of the shared budget; a first send needs none. Returns false
   * if the budget is exhausted.
   */
  spendRetryBudget({request, progress}: dispatchProgress.Dispatch): boolean {
    if (progress.sendCount === 0) return true;
    const {pool} = request;
    return this.retryBudget.trySpend(pool, this.routerCount(), this.nowMs());
  }

  /** The time-out of the send that was begun, in ms. */
  sendTimeoutMs({request, progress}: dispatchProgress.Dispatch): number {
    const remainingMs = this.remainingMs(request);
    const {repeat, goalMs} = request.route;
    const mayRetry = progress.runs.maySendAfterOpen();
    if (repeat !== 'idempotent' || !mayRetry) return remainingMs;
    return Math.min(remainingMs, goalMs * SEND_TIMEOUT_GOAL_MULTIPLE);
  }

  remainingMs({deadlineMs}: routedRequest.RoutedRequest): number {
    return deadlineMs - this.nowMs();
  }

  private hasSendLeft({
    request,
    delivery,
    progress,
  }: dispatchProgress.Dispatch): boolean {
    if (!delivery.canResume) return false;
    if (progress.sendCount >= MAX_SENDS) return false;
    return this.remainingMs(request) >= MIN_SEND_TIME_MS;
  }

  /** Whether endpoints crashed under the request, or others with its keys. */
  private isQuarantined({
    head,
    crashKeys,
  }: routedRequest.RoutedRequest): boolean {
    const verdict = this.kernel
      .find(decisions.CRASH_TRACKER)
      .admit(head.requestId, crashKeys, this.nowMs());
    return verdict.type === 'refused';
  }

  private get retryBudget() {
    return this.kernel.find(decisions.RETRY_BUDGET);
  }

  private routerCount(): number {
    return this.kernel.find(fleetRegistry.FLEET_REGISTRY).liveCount();
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
