/**
 * Serves calls that may run at most once. A claim of the idempotency key is
 * appended to the log before the first byte goes to an endpoint. The call is
 * sent over a connection of its own, and never sent again once any byte of it
 * may have been sent. Only the claim makes this safe: it also holds while
 * routers disagree on who owns an endpoint or leads a stream.
 */
import * as core from '@oleanderrock/core';
import * as claims from './claims.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as requestForwarder from './requestforwarder.js';
import type * as endpointSlots from './endpointslots.js';
import * as runner from './runner.js';
import type * as routedRequests from './routedrequest.js';
import * as requestTraces from './requesttraces.js';
import * as endpointFailover from './endpointfailover.js';

/** Maximum number of forwards before this router claims the key itself. */
const MAX_LEADER_FORWARDS = 3;

/** Kinds of failures after which the call has certainly not been executed. */
const NOT_EXECUTED_KINDS: readonly core.ErrorKind[] = [
  'endpoint_refused',
  'endpoint_unreachable',
  'peer_unreachable',
];

/** Serves calls that may run at most once. */
export interface AtMostOnceCalls {
  /** The name of the task whose leader claims the key. */
  leaderTask(key: string): string;
  serve(routedRequest: routedRequests.RoutedRequest): Promise<exchange.Outcome>;
}

/** The contract under which the at-most-once calls are registered. */
export const AT_MOST_ONCE_CALLS = core.contract<AtMostOnceCalls>(
  'at-most-once-calls',
  ['leaderTask', 'serve'],
);

function hasNotRun(outcome: exchange.Outcome): boolean {
  if (outcome.type === 'answered') return false;
  return core.ERROR_RESPONSES[outcome.failure.kind].ran === 'no';
}

/** Serves at-most-once calls under claims on the log. */
export class ClaimedAtMostOnceCalls implements AtMostOnceCalls {
  constructor(private readonly kernel: core.Kernel) {}

  leaderTask(key: string): string {
    return this.kernel.find(claims.CLAIMS).streamName(key);
  }

  async serve(
    routedRequest: routedRequests.RoutedRequest,
  ): Promise<exchange.Outcome> {
    const {key, hops, targetEndpoint, claimAttempt} = routedRequest.request;
    if (key === undefined) {
      const detail = `route ${routedRequest.route.name} runs at most once`;
      return exchange.failed('key_required', detail);
    }
    if (targetEndpoint !== undefined && claimAttempt !== undefined) {
      return this.runAtTarget(routedRequest, targetEndpoint);
    }
    const keyCheck = this.kernel.find(claims.CLAIMS).checkKey(key);
    if (!keyCheck.ok) return exchange.refused(keyCheck.failure);
    if (hops > 0) return this.claimAndRun(routedRequest, key);
    return this.forwardToLeader(routedRequest, key);
  }

  /** At the receiving router: forwards to the leader of the key's stream. */
  private async forwardToLeader(
    routedRequest: routedRequests.RoutedRequest,
    key: string,
  ): Promise<exchange.Outcome> {
    const fleetView = this.kernel.find(fleet.FLEET);
    const stream = this.leaderTask(key);
    for (let forwards = 0; forwards < MAX_LEADER_FORWARDS; forwards++) {
      const [leader] = fleetView.leaders(stream);
      if (leader === undefined || leader === fleetView.self()) break;
      const outcome = await this.kernel
        .find(requestForwarder.FORWARDER)
        .forward({
          ...routedRequest,
          router: leader,
          reason: `leader of ${stream}`,
        });
      if (!isNotAccepted(outcome)) return outcome;
    }
    return this.claimAndRun(routedRequest, key);
  }

  /** At the leader: claims the key, then runs the call under the claim. */
  private async claimAndRun(
    routedRequest: routedRequests.RoutedRequest,
    key: string,
  ): Promise<exchange.Outcome> {
    const claimService = this.kernel.find(claims.CLAIMS);
    const claim = await claimService.claim(key);
    this.kernel.find(meters.METERS).countClaim(claim);
    const detail = claim.ok ? 'the key is claimed' : claim.failure.detail;
    const traces = this.kernel.find(requestTraces.REQUEST_TRACES);
    traces.record(
      routedRequest.request.id,
      claim.ok ? 'claimed' : 'not_claimed',
      detail,
    );
    if (!claim.ok) return exchange.refused(claim.failure);
    const outcome = await this.kernel
      .find(endpointFailover.FAILOVER)
      .run(this.failoverOptions(routedRequest, claim.value));
    if (outcome.type === 'answered') claimService.recordAnswered(claim.value);
    // The caller can retry with the same key once the claim is released.
    if (hasNotRun(outcome)) await claimService.release(claim.value);
    return outcome;
  }

  private failoverOptions(
    routedRequest: routedRequests.RoutedRequest,
    claim: claims.Claim,
  ): endpointFailover.FailoverOptions {
    return {
      routedRequest,
      dispatchDeadlineMs: claim.dispatchDeadlineMs,
      useReservation: reservation =>
        this.useReservation(routedRequest, reservation, claim),
      mayTryAnother: failure => NOT_EXECUTED_KINDS.includes(failure.kind),
    };
  }

  private useReservation(
    routedRequest: routedRequests.RoutedRequest,
    reservation: endpointSlots.Reservation,
    claim: claims.Claim,
  ): Promise<exchange.Outcome> {
    const {endpoint, reason} = reservation.choice;
    const claimService = this.kernel.find(claims.CLAIMS);
    const mayDispatch = () => claimService.isValid(claim);
    if (reservation.type === 'local') {
      const options = {...routedRequest, endpoint, reason, mayDispatch};
      return this.kernel.find(runner.RUNNER).run(options);
    }
    return this.kernel.find(requestForwarder.FORWARDER).forward({
      ...routedRequest,
      router: reservation.owner,
      targetEndpoint: endpoint,
      claimAttempt: claim.attempt,
      reason,
      mayDispatch,
    });
  }

  /** At the endpoint's owner: runs the call under the forwarder's claim. */
  private runAtTarget(
    routedRequest: routedRequests.RoutedRequest,
    targetEndpoint: string,
  ): Promise<exchange.Outcome> {
    const useReservation = (reservation: endpointSlots.Reservation) => {
      const {reason} = reservation.choice;
      const mayDispatch = () => !routedRequest.answer.callerGone.aborted;
      const options = {
        ...routedRequest,
        endpoint: targetEndpoint,
        reason,
        mayDispatch,
      };
      return this.kernel.find(runner.RUNNER).run(options);
    };
    const options = {routedRequest, useReservation, mayTryAnother: () => false};
    return this.kernel
      .find(endpointFailover.FAILOVER)
      .runAt(options, targetEndpoint);
  }
}

/** Whether the other router certainly did not accept the forwarded request. */
function isNotAccepted(outcome: exchange.Outcome): boolean {
  if (outcome.type === 'answered') return false;
  const {kind} = outcome.failure;
  return kind === 'peer_unreachable' || kind === 'draining';
}
