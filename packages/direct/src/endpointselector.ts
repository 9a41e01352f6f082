/**
 * Selects the endpoint for a request from its health, its load, the suspect
 * requests that run there and the homes of the prompt's prefix, and decides
 * whether the prompt's context is copied there from another endpoint.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as routedRequest from './routedrequest.js';
import * as decisions from './decisions.js';
import * as endpointNotices from './endpointnotices.js';
import * as endpointRegistry from './endpointregistry.js';
import * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';
import * as activeTables from './activetables.js';

/** The endpoint selected for a request. */
export interface EndpointChoice {
  readonly endpoint: model.Endpoint;
  /** Why this endpoint was selected. */
  readonly placement: decide.DirectChoice;
  /**
   * Endpoint that holds the prompt's context; the selected one copies it before
   * it processes the prompt.
   */
  readonly contextSource?: model.Endpoint;
}

/** Selects endpoints. */
export interface EndpointSelector {
  /** Selects an endpoint not in `triedIds`; undefined if there is none. */
  select(
    request: routedRequest.RoutedRequest,
    triedIds: ReadonlySet<string>,
  ): EndpointChoice | undefined;
}

/** The contract under which the endpoint selector is registered. */
export const ENDPOINT_SELECTOR = core.contract<EndpointSelector>(
  'endpoint-selector',
  ['select'],
);

/** Selects by the placement strategy registered with the kernel. */
export class PlacementEndpointSelector implements EndpointSelector {
  constructor(private readonly kernel: core.Kernel) {}

  select(
    request: routedRequest.RoutedRequest,
    triedIds: ReadonlySet<string>,
  ): EndpointChoice | undefined {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const candidates = this.listCandidates(request, triedIds, nowMs);
    const homes = this.findHomes(request, nowMs);
    const placementRequest = this.buildPlacementRequest(request, homes, nowMs);
    const placement = this.kernel
      .find(decisions.PLACEMENT)
      .choose(placementRequest, candidates);
    const endpoint = placement && this.endpoints.find(placement.endpoint.id);
    if (!endpoint) return undefined;
    const contextSource = this.findContextSource(
      request,
      endpoint.id,
      homes,
      nowMs,
    );
    this.recordPlacement(request, endpoint.id, nowMs);
    return {endpoint, placement, contextSource};
  }

  private listCandidates(
    request: routedRequest.RoutedRequest,
    triedIds: ReadonlySet<string>,
    nowMs: number,
  ): decide.DirectCandidate[] {
    const poolEndpoints = endpointNotices.willingEndpoints(
      this.kernel,
      request.pool,
    );
    const ids = poolEndpoints.map(({id}) => id).filter(id => !triedIds.has(id));
    const load = this.kernel.find(decisions.FLEET_LOAD);
    return this.usableIds(request, ids, nowMs).map(id => ({
      id,
      zone: this.endpoints.find(id)?.zone ?? '',
      inFlight: load.inFlight(id, nowMs),
    }));
  }

  /**
   * The healthy endpoints without those that a request must avoid, since one
   * more crash would not tell it from another that runs there. If all would be
   * avoided, returns all healthy ones.
   */
  private usableIds(
    {crashKeys}: routedRequest.RoutedRequest,
    ids: readonly string[],
    nowMs: number,
  ): readonly string[] {
    const healthyIds = this.kernel
      .find(decisions.ENDPOINT_HEALTH)
      .filterUsable(ids, nowMs);
    const avoidedIds = this.kernel
      .find(decisions.CRASH_TRACKER)
      .endpointsToAvoid(crashKeys, nowMs);
    const idsApart = healthyIds.filter(id => !avoidedIds.has(id));
    return idsApart.length > 0 ? idsApart : healthyIds;
  }

  private findHomes(
    {head}: routedRequest.RoutedRequest,
    nowMs: number,
  ): readonly string[] {
    const {sharedPrefix: prefix} = head;
    if (prefix === undefined) return [];
    return this.kernel.find(decisions.PREFIX_HOMES).homesOf(prefix, nowMs);
  }

  private buildPlacementRequest(
    {head}: routedRequest.RoutedRequest,
    homes: readonly string[],
    nowMs: number,
  ): decide.DirectPlacementRequest {
    const {zone} = this.kernel.find(fleetRegistry.FLEET_REGISTRY).self();
    const hasExactLoads = this.kernel.find(decisions.FLEET_LOAD).isExact(nowMs);
    const {sharedPrefix: prefix, sharedPrefixTokens: prefixTokens} = head;
    if (prefix === undefined) return {zone, hasExactLoads};
    return {zone, hasExactLoads, prefix, prefixTokens, homes};
  }

  /**
   * Selects the endpoint from which `targetId` copies context. A draining or
   * unwilling endpoint qualifies; an unreachable one does not.
   */
  private findContextSource(
    {head, pool}: routedRequest.RoutedRequest,
    targetId: string,
    homes: readonly string[],
    nowMs: number,
  ): model.Endpoint | undefined {
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    const sourceId = this.kernel.find(decisions.CONTEXT_COPIES).chooseSource({
      target: targetId,
      homes: homes.filter(
        id => this.endpoints.find(id) && health.isReachable(id, nowMs),
      ),
      prefixTokens: head.sharedPrefixTokens,
      copyUsPerToken: this.kernel
        .find(activeTables.ACTIVE_TABLES)
        .copyUsPerToken(pool),
    });
    return sourceId === undefined ? undefined : this.endpoints.find(sourceId);
  }

  private recordPlacement(
    {head}: routedRequest.RoutedRequest,
    endpointId: string,
    nowMs: number,
  ): void {
    const {sharedPrefix: prefix} = head;
    if (prefix === undefined) return;
    this.kernel
      .find(decisions.PREFIX_HOMES)
      .recordPlacement({prefix, endpoint: endpointId}, nowMs);
  }

  private get endpoints(): endpointRegistry.EndpointRegistry {
    return this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  }
}
