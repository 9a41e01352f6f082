/**
 * Serves repeatable calls. The router that receives a request forwards it to
 * the owner of the endpoint that placement ranks first; the owner chooses the
 * endpoint, waits for a free slot and retries.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as chatMemory from './chatmemory.js';
import * as requestForwarder from './requestforwarder.js';
import type * as endpointSlots from './endpointslots.js';
import * as pools from './pools.js';
import * as runner from './runner.js';
import * as suspects from './suspects.js';
import type * as routedRequests from './routedrequest.js';
import * as endpointFailover from './endpointfailover.js';

/** Maximum number of forwards before this router runs the failover itself. */
const MAX_OWNER_FORWARDS = 3;

/** Serves calls that may be repeated. */
export interface RepeatableCalls {
  serve(routedRequest: routedRequests.RoutedRequest): Promise<exchange.Outcome>;
}

/** The contract under which the repeatable calls are registered. */
export const REPEATABLE_CALLS = core.contract<RepeatableCalls>(
  'repeatable-calls',
  ['serve'],
);

/** Kinds of failures after which another endpoint is tried. */
const FAILOVER_KINDS: readonly core.ErrorKind[] = [
  'endpoint_refused',
  'endpoint_unreachable',
  'endpoint_broke',
  'endpoint_protocol',
  'endpoint_timeout',
  'peer_unreachable',
  'peer_broke',
];

/** Serves repeatable calls at the endpoints' owners. */
export class OwnerRepeatableCalls implements RepeatableCalls {
  constructor(private readonly kernel: core.Kernel) {}

  async serve(
    routedRequest: routedRequests.RoutedRequest,
  ): Promise<exchange.Outcome> {
    const {hops, targetEndpoint} = routedRequest.request;
    if (targetEndpoint !== undefined) {
      return this.kernel
        .find(endpointFailover.FAILOVER)
        .runAt(this.failoverOptions(routedRequest), targetEndpoint);
    }
    if (hops > 0) {
      this.adoptLastEndpoint(routedRequest.request);
      return this.placeRequest(routedRequest);
    }
    return this.forwardToOwner(routedRequest);
  }

  /**
   * Remembers the chat's last endpoint as given by the forwarding router,
   * unless this router remembers one already.
   */
  private adoptLastEndpoint({
    chat,
    lastEndpoint,
  }: exchange.RouterRequest): void {
    if (chat === undefined || lastEndpoint === undefined) return;
    const memory = this.kernel.find(chatMemory.CHAT_MEMORY);
    if (memory.recall(chat) !== undefined) return;
    memory.remember({chat, endpoint: lastEndpoint});
  }

  /** At the receiving router: forwards to the owner of the first choice. */
  private async forwardToOwner(
    routedRequest: routedRequests.RoutedRequest,
  ): Promise<exchange.Outcome> {
    const fleetView = this.kernel.find(fleet.FLEET);
    let result: exchange.Outcome | undefined;
    for (let forwards = 0; forwards < MAX_OWNER_FORWARDS; forwards++) {
      const choice = this.firstChoice(routedRequest);
      const [owner] = choice ? fleetView.owners(choice.endpoint) : [];
      if (!choice || !owner || owner === fleetView.self()) break;
      const outcome = await this.kernel
        .find(requestForwarder.FORWARDER)
        .forward({
          ...routedRequest,
          router: owner,
          lastEndpoint:
            choice.reason === 'memory' ? choice.endpoint : undefined,
          reason: `owner of ${choice.endpoint} (${choice.reason})`,
        });
      result = exchange.combineOutcomes(result, outcome);
      if (!this.mayForwardAgain(routedRequest, outcome)) return result;
    }
    return exchange.combineOutcomes(
      result,
      await this.placeRequest(routedRequest),
    );
  }

  /** At the owner: runs the request with failover between endpoints. */
  private placeRequest(
    routedRequest: routedRequests.RoutedRequest,
  ): Promise<exchange.Outcome> {
    return this.kernel
      .find(endpointFailover.FAILOVER)
      .run(this.failoverOptions(routedRequest));
  }

  private failoverOptions(
    routedRequest: routedRequests.RoutedRequest,
  ): endpointFailover.FailoverOptions {
    return {
      routedRequest,
      useReservation: reservation =>
        this.useReservation(routedRequest, reservation),
      mayTryAnother: failure =>
        FAILOVER_KINDS.includes(failure.kind) &&
        !this.isCondemned(routedRequest),
    };
  }

  private async useReservation(
    routedRequest: routedRequests.RoutedRequest,
    reservation: endpointSlots.Reservation,
  ): Promise<exchange.Outcome> {
    const {request, answer} = routedRequest;
    const {endpoint, reason} = reservation.choice;
    const outcome =
      reservation.type === 'local'
        ? await this.kernel
            .find(runner.RUNNER)
            .run({...routedRequest, endpoint, reason, answer})
        : await this.kernel.find(requestForwarder.FORWARDER).forward({
            ...routedRequest,
            router: reservation.owner,
            targetEndpoint: endpoint,
            reason,
          });
    if (outcome.type === 'answered' && request.chat !== undefined) {
      const {chat} = request;
      this.kernel.find(chatMemory.CHAT_MEMORY).remember({chat, endpoint});
    }
    return outcome;
  }

  private firstChoice(
    routedRequest: routedRequests.RoutedRequest,
  ): decide.PlacementChoice | undefined {
    const poolViews = this.kernel.find(pools.POOLS);
    const view = poolViews.view(routedRequest.pool);
    return poolViews.order(routedRequest.request, view)[0];
  }

  private mayForwardAgain(
    routedRequest: routedRequests.RoutedRequest,
    outcome: exchange.Outcome,
  ): boolean {
    if (outcome.type === 'answered' || routedRequest.answer.hasSentHead) {
      return false;
    }
    const {kind} = outcome.failure;
    return ['peer_unreachable', 'peer_broke', 'draining', 'not_ready'].includes(
      kind,
    );
  }

  /** Whether earlier attempts showed that the request crashes endpoints. */
  private isCondemned({request, route}: routedRequests.RoutedRequest): boolean {
    const signature = suspects.signatureOf(request, route);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    return suspectTracker.state(signature, nowMs) === 'condemned';
  }
}
