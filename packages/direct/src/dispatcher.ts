/**
 * The dispatcher: sends a request to an endpoint, and retries at others as far
 * as the route's repeat policy, its limit of runs, the remaining time and the
 * retry budget shared by all routers allow. While no endpoint has room, the
 * request waits.
 */
import * as core from '@oleanderrock/core';
import * as tsPattern from 'ts-pattern';
import * as routedRequest from './routedrequest.js';
import * as attemptRecorder from './attemptrecorder.js';
import * as dispatchFailure from './dispatchfailure.js';
import * as dispatchProgress from './dispatchprogress.js';
import * as endpointNotices from './endpointnotices.js';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointSelector from './endpointselector.js';
import * as endpointSends from './endpointsends.js';
import * as decisions from './decisions.js';
import * as responseDelivery from './responsedelivery.js';
import * as sendAllowance from './sendallowance.js';
import * as streamVersions from './streamversions.js';
import * as waitingRoom from './waitingroom.js';
import * as model from './model.js';

/** Maximum number of continued streams that are logged in a second. */
const MAX_CONTINUATION_LINES_PER_SECOND = 20;

/** Dispatches requests to endpoints. */
export interface Dispatcher {
  serve(
    request: routedRequest.RoutedRequest,
    callerResponse: routedRequest.CallerResponse,
  ): Promise<routedRequest.RequestOutcome>;
}

/** The contract under which the dispatcher is registered. */
export const DISPATCHER = core.contract<Dispatcher>('dispatcher', ['serve']);

/** Dispatches with the services registered with the kernel. */
export class EndpointDispatcher implements Dispatcher {
  private readonly recorder: attemptRecorder.AttemptRecorder;
  private readonly allowance: sendAllowance.SendAllowance;
  private readonly sends: endpointSends.EndpointSends;
  private readonly continuationQuota: core.LogQuota;

  constructor(private readonly kernel: core.Kernel) {
    this.recorder = new attemptRecorder.AttemptRecorder(kernel);
    this.allowance = new sendAllowance.SendAllowance(kernel);
    this.sends = new endpointSends.EndpointSends(
      kernel,
      this.allowance,
      this.recorder,
    );
    this.continuationQuota = new core.LogQuota(
      'stream_continued',
      MAX_CONTINUATION_LINES_PER_SECOND,
      kernel.find(core.LOGGER),
    );
  }

  async serve(
    request: routedRequest.RoutedRequest,
    callerResponse: routedRequest.CallerResponse,
  ): Promise<routedRequest.RequestOutcome> {
    this.kernel
      .find(decisions.RETRY_BUDGET)
      .recordFirstSend(request.pool, this.nowMs());
    const delivery = new responseDelivery.ResponseDelivery(
      this.kernel,
      request,
      callerResponse,
    );
    const progress = dispatchProgress.newProgress(request);
    const dispatch = {request, delivery, progress};
    const failure = streamVersions.isTakeUp(request)
      ? await this.findVersion(dispatch)
      : undefined;
    if (failure) {
      const {kind, detail} = failure;
      return dispatchProgress.failedOutcome(kind, detail, progress);
    }
    while (this.allowance.maySend(dispatch)) {
      const choice = await this.selectEndpoint(dispatch);
      if (delivery.callerGone.aborted) {
        const detail = 'the caller left';
        return dispatchProgress.failedOutcome('caller_gone', detail, progress);
      }
      if (!choice || !this.allowance.spendRetryBudget(dispatch)) break;
      const outcome = await this.sendOnce(dispatch, choice);
      if (outcome) return outcome;
    }
    return dispatchFailure.conclude(this.kernel, dispatch);
  }

  /**
   * Finds the version at which a stream that is taken up goes on; returns why it
   * cannot, which no wait would change.
   */
  private async findVersion({
    request,
    progress,
  }: dispatchProgress.Dispatch): Promise<core.Failure | undefined> {
    const start = await this.kernel
      .find(streamVersions.STREAM_VERSIONS)
      .findStart(request);
    const {pool} = request;
    if (start.type === 'unknown') {
      const detail = `it is not known at which version of ${pool} it began`;
      return {kind: 'stream_unknown', detail};
    }
    if (start.type === 'new') return undefined;
    const {version} = start;
    progress.version = version;
    const isListed = this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .readyEndpoints(pool)
      .some(endpoint => model.versionOf(endpoint) === version);
    if (isListed) return undefined;
    const detail = `${pool} has no endpoint of version ${version} left`;
    return {kind: 'version_gone', detail};
  }

  /** Selects an endpoint, once one has room; undefined if none will in time. */
  private async selectEndpoint(
    dispatch: dispatchProgress.Dispatch,
  ): Promise<endpointSelector.EndpointChoice | undefined> {
    const {request, delivery, progress} = dispatch;
    // A new request goes behind those that wait already.
    const mustWait =
      progress.sendCount === 0 &&
      this.waitingRoom.hasWaiting(request.pool, progress.version);
    if (mustWait && !(await this.waitForRoom(dispatch))) return undefined;
    for (;;) {
      const selection = await this.kernel
        .find(endpointSelector.ENDPOINT_SELECTOR)
        .select(request, progress);
      if (selection.type === 'selected') return selection.choice;
      if (selection.type === 'limited') {
        this.recordLimited(dispatch, selection.retryInMs);
        return undefined;
      }
      if (delivery.callerGone.aborted) return undefined;
      if (!this.mayFindRoom(dispatch)) return undefined;
      if (!(await this.waitForRoom(dispatch))) return undefined;
    }
  }

  /**
   * Whether an endpoint that has no room now could serve the request. One that
   * failed somewhere gets its answer at once instead.
   */
  private mayFindRoom({request, progress}: dispatchProgress.Dispatch): boolean {
    if (progress.triedIds.size > progress.refusedIds.size) return false;
    const notices = this.kernel.find(decisions.ENDPOINT_NOTICES);
    const nowMs = this.nowMs();
    return endpointNotices
      .openEndpoints(this.kernel, request.pool, progress.version)
      .some(
        each =>
          this.mayTake(progress, each) &&
          notices.earliestWillingMs([each], nowMs) !== undefined,
      );
  }

  /** Whether the request may be sent to the endpoint, now or after a wait. */
  private mayTake(
    {triedIds, returnableIds}: dispatchProgress.DispatchProgress,
    {id}: model.Endpoint,
  ): boolean {
    return !triedIds.has(id) || returnableIds.has(id);
  }

  /** Waits until an endpoint may have room; false if none will in time. */
  private async waitForRoom({
    request,
    delivery,
    progress,
  }: dispatchProgress.Dispatch): Promise<boolean> {
    const startedMs = this.nowMs();
    const end = await this.waitingRoom.wait({
      request,
      callerGone: delivery.callerGone,
      span: progress.waitSpan,
      version: progress.version,
    });
    progress.waitedMs += this.nowMs() - startedMs;
    if (end.type === 'room') {
      progress.waitSpan = end.span;
      for (const id of progress.returnableIds) {
        progress.triedIds.delete(id);
        progress.refusedIds.delete(id);
      }
      progress.returnableIds.clear();
      return true;
    }
    if (end.type === 'refused') {
      progress.expectedRoomMs = end.expectedMs;
      if (end.reason !== 'too_late') {
        const {pool} = request;
        progress.lastFailure = dispatchFailure.waitFailure(pool, end.reason);
      }
    }
    return false;
  }

  private recordLimited(
    {request, progress}: dispatchProgress.Dispatch,
    retryInMs: number,
  ): void {
    if (progress.sendCount > 0) return;
    progress.lastFailure = {
      kind: 'saturated',
      detail: `all endpoints of ${request.pool} have reached their limits`,
      retryAfterMs: Math.ceil(retryInMs),
    };
  }

  /**
   * Sends the request to one endpoint; returns the outcome if that ended the
   * request.
   */
  private async sendOnce(
    dispatch: dispatchProgress.Dispatch,
    choice: endpointSelector.EndpointChoice,
  ): Promise<routedRequest.RequestOutcome | undefined> {
    const {request, delivery, progress} = dispatch;
    this.recordContinuation(dispatch, choice.endpoint);
    const {endpoint, result} = await this.sends.send(dispatch, choice);
    const deliveryResult =
      result.type === 'response'
        ? await delivery.deliver(
            result.response,
            endpoint,
            progress.sendCount >= sendAllowance.MAX_SENDS,
          )
        : result;
    if (result.type === 'response') {
      const version = model.versionOf(endpoint);
      this.waitingRoom.recordEnd(request.pool, version);
    }
    progress.version ??= delivery.begunVersion;
    progress.runs.end(dispatchProgress.runOf(deliveryResult));
    this.recorder.record(request, endpoint, deliveryResult);
    return this.applyResult(endpoint, deliveryResult, progress);
  }

  /** Logs which endpoint is to continue a stream after which event. */
  private recordContinuation(
    {request: {head}, delivery}: dispatchProgress.Dispatch,
    {id, softwareVersion}: model.Endpoint,
  ): void {
    const lastEventId = delivery.lastEventId ?? head.lastEventId;
    if (lastEventId === undefined) return;
    if (!this.continuationQuota.consume(this.nowMs())) return;
    this.kernel.find(core.LOGGER).info('stream_continued', {
      request: head.requestId,
      resumes: head.resumedRequestId,
      after_event: lastEventId,
      within_answer: delivery.lastEventId !== undefined,
      endpoint: id,
      version: softwareVersion,
    });
  }

  private applyResult(
    endpoint: model.Endpoint,
    result: responseDelivery.DeliveryResult,
    progress: dispatchProgress.DispatchProgress,
  ): routedRequest.RequestOutcome | undefined {
    return tsPattern
      .match(result)
      .with({type: 'delivered'}, ({status}) => ({
        type: 'answered' as const,
        status,
        endpoint: endpoint.id,
        ...dispatchProgress.summaryOf(progress),
      }))
      .with({type: 'caller_gone'}, () =>
        dispatchProgress.failedOutcome(
          'caller_gone',
          'the caller disconnected',
          progress,
        ),
      )
      .with({type: 'withheld'}, () => undefined)
      .otherwise(failed => {
        progress.lastFailure = dispatchProgress.failureOf(endpoint.id, failed);
        return undefined;
      });
  }

  private get waitingRoom(): waitingRoom.WaitingRoom {
    return this.kernel.find(waitingRoom.WAITING_ROOM);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
