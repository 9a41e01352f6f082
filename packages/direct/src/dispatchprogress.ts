/** The state of a request between sends, and what results of sends say of it. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as tsPattern from 'ts-pattern';
import type * as attempt from './attempt.js';
import type * as responseDelivery from './responsedelivery.js';
import * as routedRequest from './routedrequest.js';
import type * as waitingRoom from './waitingroom.js';

/** A request under way, with its response. */
export interface Dispatch {
  readonly request: routedRequest.RoutedRequest;
  readonly delivery: responseDelivery.ResponseDelivery;
  readonly progress: DispatchProgress;
}

/** The state of a request between sends. */
export interface DispatchProgress {
  sendCount: number;
  readonly runs: decide.RequestRuns;
  readonly triedIds: Set<string>;
  /** Those of `triedIds` that had no room for the request. */
  readonly refusedIds: Set<string>;
  /**
   * Those of `refusedIds` to which the request may be sent again, so that it may
   * wait for room there.
   */
  readonly returnableIds: Set<string>;
  /**
   * The version at which the request may run, since its caller has events of it;
   * absent if it may at any.
   */
  version?: string;
  lastFailure: core.Failure;
  /** Placement of the last send. */
  placement?: routedRequest.PlacementDecision;
  /** Absent if the request has not waited for room. */
  waitSpan?: waitingRoom.WaitSpan;
  waitedMs: number;
  /** When room is expected, from the last wait, in ms; absent if unknown. */
  expectedRoomMs?: number;
  secondSend?: routedRequest.SecondSendResult;
}

/** The state of a request before its first send. */
export function newProgress({
  route,
  pool,
}: routedRequest.RoutedRequest): DispatchProgress {
  return {
    sendCount: 0,
    runs: new decide.RequestRuns({
      isRepeatable: routedRequest.isRetryable(route),
      maxRuns: route.maxRuns,
    }),
    triedIds: new Set(),
    refusedIds: new Set(),
    returnableIds: new Set(),
    lastFailure: {kind: 'pool_empty', detail: `${pool} has no endpoint`},
    waitedMs: 0,
  };
}

/** What the log and the metrics tell of the sends. */
export function summaryOf({
  sendCount,
  runs,
  placement,
  waitedMs,
  secondSend,
}: DispatchProgress): routedRequest.SendSummary {
  return {sendCount, runs, placement, waitedMs, secondSend};
}

/** The outcome of a request that fails for a reason of its own. */
export function failedOutcome(
  kind: core.ErrorKind,
  detail: string,
  progress: DispatchProgress,
): routedRequest.RequestOutcome {
  return {type: 'failed', failure: {kind, detail}, ...summaryOf(progress)};
}

/** What the result of a send tells about a run. */
export function runOf(
  result: responseDelivery.DeliveryResult,
): decide.SendResult {
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

/** The failure by which a send ended that brought no answer. */
export function failureOf(
  endpointId: string,
  result: Exclude<
    responseDelivery.DeliveryResult,
    {type: 'delivered' | 'caller_gone' | 'withheld'}
  >,
): core.Failure {
  return tsPattern
    .match(result)
    .with({type: 'not_sent'}, ({detail}) =>
      refusedFailure(`${endpointId}: ${detail}`),
    )
    .with({type: 'not_run'}, ({status}) =>
      refusedFailure(
        `${endpointId} answered ${status} without running the request`,
      ),
    )
    .with({type: 'failed_run'}, ({status}) => ({
      kind: 'endpoint_broke' as const,
      detail: `${endpointId} answered ${status}`,
    }))
    .with({type: 'broken'}, ({cause, detail}) =>
      brokenFailure(`${endpointId}: ${detail}`, cause),
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
