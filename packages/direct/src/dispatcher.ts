/**
 * The dispatcher: sends a request to an endpoint, and retries at others as far
 * as the route's repeat policy, its limit of runs, the remaining time and the
 * retry budget shared by all routers allow.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as tsPattern from 'ts-pattern';
import * as routedRequest from './routedrequest.js';
import * as attempt from './attempt.js';
import * as attemptRecorder from './attemptrecorder.js';
import * as endpointNotices from './endpointnotices.js';
import * as endpointSelector from './endpointselector.js';
import * as decisions from './decisions.js';
import * as responseDelivery from './responsedelivery.js';
import * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';

/**
 * Maximum number of endpoints that one request is sent to, those that refuse it
 * included.
 */
const MAX_SENDS = 4;

/** Remaining time below which a send cannot succeed, in ms. */
const MIN_SEND_TIME_MS = 15;

/**
 * Retry-after for requests that all endpoints refused without a hold-off, in ms:
 * long enough for queues to shorten.
 */
const RETRY_AFTER_MS = 300;

/**
 * Time-out of a send that can still be retried elsewhere, as a multiple of the
 * route's response-time goal; for idempotent routes only.
 */
const SEND_TIMEOUT_GOAL_MULTIPLE = 1.5;

/** Dispatches requests to endpoints. */
export interface Dispatcher {
  serve(
    request: routedRequest.RoutedRequest,
    callerResponse: routedRequest.CallerResponse,
  ): Promise<routedRequest.RequestOutcome>;
}

/** The contract under which the dispatcher is registered. */
export const DISPATCHER = core.contract<Dispatcher>('dispatcher', ['serve']);

/** The state of a request between sends. */
interface DispatchProgress {
  sendCount: number;
  readonly runs: decide.RequestRuns;
  readonly triedIds: Set<string>;
  lastFailure: core.Failure;
  /** Placement of the last send. */
  placement?: routedRequest.PlacementDecision;
}

/** Dispatches with the services registered with the kernel. */
export class EndpointDispatcher implements Dispatcher {
  private readonly recorder: attemptRecorder.AttemptRecorder;

  constructor(private readonly kernel: core.Kernel) {
    this.recorder = new attemptRecorder.AttemptRecorder(kernel);
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
    const progress: DispatchProgress = {
      sendCount: 0,
      runs: new decide.RequestRuns({
        isRepeatable: routedRequest.isRetryable(request.route),
        maxRuns: request.route.maxRuns,
      }),
      triedIds: new Set(),
      lastFailure: {
        kind: 'pool_empty',
        detail: `${request.pool} has no endpoint`,
      },
    };
    while (this.maySend(request, delivery, progress)) {
      const choice = await this.selectEndpoint(request, progress);
      if (delivery.callerGone.aborted) {
        return failedOutcome('caller_gone', 'the caller left', progress);
      }
      if (!choice || !this.spendRetryBudget(request, progress)) break;
      const outcome = await this.sendOnce(request, delivery, choice, progress);
      if (outcome) return outcome;
    }
    return this.concludeWithFailure(request, delivery, progress);
  }

  private async selectEndpoint(
    request: routedRequest.RoutedRequest,
    progress: DispatchProgress,
  ): Promise<endpointSelector.EndpointChoice | undefined> {
    const selection = await this.kernel
      .find(endpointSelector.ENDPOINT_SELECTOR)
      .select(request, progress.triedIds);
    if (selection.type === 'selected') return selection.choice;
    if (selection.type === 'limited' && progress.sendCount === 0) {
      progress.lastFailure = {
        kind: 'saturated',
        detail: `all endpoints of ${request.pool} have reached their limits`,
        retryAfterMs: Math.ceil(selection.retryInMs),
      };
    }
    return undefined;
  }

  /**
   * Sends the request to one endpoint; returns the outcome if that ended the
   * request.
   */
  private async sendOnce(
    request: routedRequest.RoutedRequest,
    delivery: responseDelivery.ResponseDelivery,
    choice: endpointSelector.EndpointChoice,
    progress: DispatchProgress,
  ): Promise<routedRequest.RequestOutcome | undefined> {
    const {endpoint, placement, contextSource, holdsPrefix, permitUntilMs} =
      choice;
    progress.placement = {...placement, contextSource: contextSource?.id};
    progress.sendCount += 1;
    progress.triedIds.add(endpoint.id);
    progress.runs.begin();
    const result = await this.kernel.find(attempt.ATTEMPT_SENDER).send({
      request,
      endpoint,
      timeoutMs: this.sendTimeoutMs(request, progress),
      lastEventId: delivery.lastEventId,
      callerGone: delivery.callerGone,
      mayRetry: () => this.mayRetry(request, delivery, progress),
      contextSource,
      holdsPrefix,
      permitUntilMs,
    });
    const deliveryResult =
      result.type === 'response'
        ? await delivery.deliver(
            result.response,
            endpoint,
            progress.sendCount >= MAX_SENDS,
          )
        : result;
    progress.runs.end(runOf(deliveryResult));
    this.recorder.record(request, endpoint, deliveryResult);
    return this.applyResult(endpoint, deliveryResult, progress);
  }

  private applyResult(
    endpoint: model.Endpoint,
    result: responseDelivery.DeliveryResult,
    progress: DispatchProgress,
  ): routedRequest.RequestOutcome | undefined {
    return tsPattern
      .match(result)
      .with({type: 'delivered'}, ({status}) => ({
        type: 'answered' as const,
        status,
        endpoint: endpoint.id,
        ...summaryOf(progress),
      }))
      .with({type: 'caller_gone'}, () =>
        failedOutcome('caller_gone', 'the caller disconnected', progress),
      )
      .with({type: 'not_sent'}, ({detail}) => {
        progress.lastFailure = refusedFailure(`${endpoint.id}: ${detail}`);
        return undefined;
      })
      .with({type: 'withheld'}, () => {
        // The request did not reach the endpoint, so it costs no retry.
        progress.sendCount -= 1;
        return undefined;
      })
      .with({type: 'not_run'}, ({status}) => {
        progress.lastFailure = refusedFailure(
          `${endpoint.id} answered ${status} without running the request`,
        );
        return undefined;
      })
      .with({type: 'failed_run'}, ({status}) => {
        const detail = `${endpoint.id} answered ${status}`;
        progress.lastFailure = {kind: 'endpoint_broke', detail};
        return undefined;
      })
      .with({type: 'broken'}, ({cause, detail}) => {
        progress.lastFailure = brokenFailure(
          `${endpoint.id}: ${detail}`,
          cause,
        );
        return undefined;
      })
      .exhaustive();
  }

  /** Whether the request could be sent elsewhere if its send were given up. */
  private mayRetry(
    request: routedRequest.RoutedRequest,
    delivery: responseDelivery.ResponseDelivery,
    progress: DispatchProgress,
  ): boolean {
    if (!this.hasSendLeft(request, delivery, progress)) return false;
    if (!progress.runs.maySendAfterOpen()) return false;
    const {pool} = request;
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const budget = this.kernel.find(decisions.RETRY_BUDGET);
    if (!budget.canSpend(pool, fleet.liveCount(), this.nowMs())) return false;
    return endpointNotices
      .willingEndpoints(this.kernel, pool)
      .some(({id}) => !progress.triedIds.has(id));
  }

  private maySend(
    request: routedRequest.RoutedRequest,
    delivery: responseDelivery.ResponseDelivery,
    progress: DispatchProgress,
  ): boolean {
    if (progress.sendCount > 0 && this.isQuarantined(request)) return false;
    return (
      this.hasSendLeft(request, delivery, progress) && progress.runs.maySend()
    );
  }

  private hasSendLeft(
    request: routedRequest.RoutedRequest,
    delivery: responseDelivery.ResponseDelivery,
    progress: DispatchProgress,
  ): boolean {
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

  /**
   * Spends a retry of the shared budget; a first send needs none. Returns false
   * if the budget is exhausted.
   */
  private spendRetryBudget(
    request: routedRequest.RoutedRequest,
    progress: DispatchProgress,
  ): boolean {
    if (progress.sendCount === 0) return true;
    const nowMs = this.nowMs();
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const budget = this.kernel.find(decisions.RETRY_BUDGET);
    return budget.trySpend(request.pool, fleet.liveCount(), nowMs);
  }

  private concludeWithFailure(
    request: routedRequest.RoutedRequest,
    delivery: responseDelivery.ResponseDelivery,
    progress: DispatchProgress,
  ): routedRequest.RequestOutcome {
    if (delivery.hasBegun) {
      delivery.abort();
      return failedOutcome(
        progress.lastFailure.kind,
        progress.lastFailure.detail,
        progress,
      );
    }
    const status = delivery.deliverLastFailure();
    if (status !== undefined) {
      // Logged instead of an endpoint's id, since the response may come from an
      // earlier send than the last.
      const endpoint = 'kept';
      return {type: 'answered', status, endpoint, ...summaryOf(progress)};
    }
    const isNotRun =
      core.ERROR_RESPONSES[progress.lastFailure.kind].ran === 'no';
    const mayHaveRunBefore = !progress.runs.isKnownNotRun && isNotRun;
    const failure: core.Failure = mayHaveRunBefore
      ? {kind: 'endpoint_broke', detail: progress.lastFailure.detail}
      : progress.lastFailure;
    return {
      type: 'failed',
      failure:
        isNotRun && !mayHaveRunBefore
          ? this.refusal(request, failure)
          : failure,
      ...summaryOf(progress),
    };
  }

  /** A refusal with the time after which an endpoint may take the request. */
  private refusal(
    {pool}: routedRequest.RoutedRequest,
    failure: core.Failure,
  ): core.Failure {
    if (failure.retryAfterMs !== undefined) return failure;
    const holdOffMs = endpointNotices.holdOffMs(this.kernel, pool);
    if (holdOffMs === undefined) {
      return {...failure, retryAfterMs: RETRY_AFTER_MS};
    }
    if (failure.kind !== 'pool_empty') {
      return {...failure, retryAfterMs: holdOffMs};
    }
    const detail = `all endpoints of ${pool} asked to be sent nothing for now`;
    return {kind: 'saturated', detail, retryAfterMs: holdOffMs};
  }

  /** The time-out of the send that was begun, in ms. */
  private sendTimeoutMs(
    request: routedRequest.RoutedRequest,
    progress: DispatchProgress,
  ): number {
    const remainingMs = this.remainingMs(request);
    const {repeat, goalMs} = request.route;
    const mayRetry = progress.runs.maySendAfterOpen();
    if (repeat !== 'idempotent' || !mayRetry) return remainingMs;
    return Math.min(remainingMs, goalMs * SEND_TIMEOUT_GOAL_MULTIPLE);
  }

  private remainingMs({deadlineMs}: routedRequest.RoutedRequest): number {
    return deadlineMs - this.nowMs();
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function summaryOf({
  sendCount,
  runs,
  placement,
}: DispatchProgress): routedRequest.SendSummary {
  return {sendCount, runs, placement};
}

/** What the result of a send tells about a run. */
function runOf(result: responseDelivery.DeliveryResult): decide.SendResult {
  return tsPattern
    .match(result)
    .with({type: 'not_sent'}, {type: 'withheld'}, () => 'not_sent' as const)
    .with({type: 'not_run'}, () => 'not_run' as const)
    .with({type: 'broken', cause: 'dead'}, () => 'ended' as const)
    .with(
      {type: 'broken'},
      {type: 'failed_run'},
      {type: 'delivered'},
      {type: 'caller_gone'},
      () => 'may_run' as const,
    )
    .exhaustive();
}

function refusedFailure(detail: string): core.Failure {
  return {kind: 'endpoint_refused', detail};
}

function brokenFailure(
  detail: string,
  cause: attempt.FailureCause,
): core.Failure {
  const kind = cause === 'timeout' ? 'endpoint_timeout' : 'endpoint_broke';
  return {kind, detail};
}

function failedOutcome(
  kind: core.ErrorKind,
  detail: string,
  progress: DispatchProgress,
): routedRequest.RequestOutcome {
  return {type: 'failed', failure: {kind, detail}, ...summaryOf(progress)};
}
