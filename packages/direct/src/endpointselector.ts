/**
 * Selects the endpoint for a request from its health, its load, the suspect
 * requests that run there, the homes of the prompt's prefix and the limit that
 * it named, and decides whether the prompt's context is copied there from
 * another endpoint.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as routedRequest from './routedrequest.js';
import * as decisions from './decisions.js';
import * as endpointNotices from './endpointnotices.js';
import * as endpointRegistry from './endpointregistry.js';
import * as evacuatedZones from './evacuatedzones.js';
import * as fleetRegistry from './fleetregistry.js';
import * as model from './model.js';
import * as activeTables from './activetables.js';
import * as sendPermits from './sendpermits.js';

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
  /** Whether the endpoint holds, or copies, the prompt's shared part. */
  readonly holdsPrefix: boolean;
  /**
   * Monotonic time until which the request may be sent, in ms; absent if the
   * endpoint named no limit.
   */
  readonly permitUntilMs?: number;
  /** When the endpoint can answer; absent if too little is known. */
  readonly estimate?: decide.StartEstimate;
}

/** The result of a selection. */
export type Selection =
  | {readonly type: 'selected'; readonly choice: EndpointChoice}
  /** There is no usable endpoint. */
  | {readonly type: 'none'}
  /** The limits of all usable endpoints are used up for so long. */
  | {readonly type: 'limited'; readonly retryInMs: number};

/** The endpoints among which one is selected. */
export interface SelectionScope {
  /** Endpoints that are left out. */
  readonly triedIds: ReadonlySet<string>;
  /** The version at which the request may run; absent if it may at any. */
  readonly version?: string;
}

/** Selects endpoints. */
export interface EndpointSelector {
  /**
   * Selects an endpoint of the scope. Waits for the turn of the request if all
   * usable endpoints have a limit; never rejects.
   */
  select(
    request: routedRequest.RoutedRequest,
    scope: SelectionScope,
  ): Promise<Selection>;
}

/** The contract under which the endpoint selector is registered. */
export const ENDPOINT_SELECTOR = core.contract<EndpointSelector>(
  'endpoint-selector',
  ['select'],
);

/**
 * Number of denied permits after which a request goes to an endpoint without a
 * limit, since each question takes time.
 */
const MAX_DENIALS = 2;

/**
 * Longest wait for a permit if all endpoints have a limit, in ms and as a share
 * of the remaining time.
 */
const MAX_WAIT_MS = 500;
const MAX_WAIT_SHARE = 0.3;

/** Which endpoints are candidates, by their limits. */
type LimitFilter = 'not_held_back' | 'unlimited' | 'any';

/** Selects by the placement strategy registered with the kernel. */
export class PlacementEndpointSelector implements EndpointSelector {
  constructor(private readonly kernel: core.Kernel) {}

  async select(
    request: routedRequest.RoutedRequest,
    scope: SelectionScope,
  ): Promise<Selection> {
    const excludedIds = new Set(scope.triedIds);
    const {version} = scope;
    let retryInMs: number | undefined;
    for (let denials = 0; ; denials++) {
      const filter = denials < MAX_DENIALS ? 'not_held_back' : 'unlimited';
      const left = {triedIds: excludedIds, version};
      const choice = this.choose(request, left, filter);
      if (!choice) break;
      const permit = await this.permits.acquire(choice.endpoint, 0);
      if (permit.type !== 'denied') {
        return this.confirm(request, choice, permit);
      }
      retryInMs = Math.min(retryInMs ?? permit.retryInMs, permit.retryInMs);
      excludedIds.add(choice.endpoint.id);
    }
    return this.waitForTurn(request, scope, retryInMs);
  }

  /** Waits for a permit of one of the endpoints, since all have a limit. */
  private async waitForTurn(
    request: routedRequest.RoutedRequest,
    scope: SelectionScope,
    knownRetryInMs: number | undefined,
  ): Promise<Selection> {
    const remainingMs = request.deadlineMs - this.nowMs();
    const maxWaitMs = Math.max(
      0,
      Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE),
    );
    const choice = this.choose(request, scope, 'any');
    if (!choice) return {type: 'none'};
    const permit = await this.permits.acquire(choice.endpoint, maxWaitMs);
    if (permit.type !== 'denied') return this.confirm(request, choice, permit);
    const retryInMs = Math.min(
      knownRetryInMs ?? permit.retryInMs,
      permit.retryInMs,
    );
    return {type: 'limited', retryInMs};
  }

  /** Returns the choice once the request may be sent. */
  private async confirm(
    request: routedRequest.RoutedRequest,
    choice: EndpointChoice,
    permit: Exclude<sendPermits.SendPermit, {type: 'denied'}>,
  ): Promise<Selection> {
    if (permit.type === 'granted') {
      const delayMs = permit.fromMs - this.nowMs();
      if (delayMs > 0) await this.kernel.find(core.CLOCK).sleep(delayMs);
    }
    this.recordPlacement(request, choice.endpoint.id, this.nowMs());
    const permitUntilMs =
      permit.type === 'granted' ? permit.untilMs : undefined;
    return {type: 'selected', choice: {...choice, permitUntilMs}};
  }

  private choose(
    request: routedRequest.RoutedRequest,
    scope: SelectionScope,
    filter: LimitFilter,
  ): EndpointChoice | undefined {
    const nowMs = this.nowMs();
    const candidates = this.listCandidates(request, scope, filter, nowMs);
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
    const holdsPrefix =
      contextSource !== undefined || homes.includes(endpoint.id);
    const estimate =
      placement.estimate ??
      this.estimate(request, {id: endpoint.id, holdsPrefix}, nowMs);
    return {endpoint, placement, contextSource, holdsPrefix, estimate};
  }

  private estimate(
    request: routedRequest.RoutedRequest,
    endpoint: decide.EstimatedEndpoint,
    nowMs: number,
  ): decide.StartEstimate | undefined {
    return this.kernel
      .find(decisions.START_ESTIMATES)
      .estimate(routedRequest.workOf(request), endpoint, nowMs);
  }

  private listCandidates(
    request: routedRequest.RoutedRequest,
    {triedIds, version}: SelectionScope,
    filter: LimitFilter,
    nowMs: number,
  ): decide.DirectCandidate[] {
    const willing = endpointNotices.willingEndpoints(
      this.kernel,
      request.pool,
      version,
    );
    const mayPassAll =
      filter === 'any' ||
      (filter === 'not_held_back' && !this.permits.mayHoldBack());
    const passing = mayPassAll
      ? willing
      : willing.filter(endpoint => this.passes(endpoint, filter));
    const ids = passing.map(({id}) => id).filter(id => !triedIds.has(id));
    const load = this.kernel.find(decisions.FLEET_LOAD);
    return this.usableIds(request, ids, nowMs).map(id => ({
      id,
      zone: this.endpoints.find(id)?.zone ?? '',
      inFlight: load.inFlight(id, nowMs),
    }));
  }

  private passes(endpoint: model.Endpoint, filter: LimitFilter): boolean {
    return filter === 'unlimited'
      ? !this.permits.isLimited(endpoint)
      : this.permits.heldBackMs(endpoint) === 0;
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
    request: routedRequest.RoutedRequest,
    homes: readonly string[],
    nowMs: number,
  ): decide.DirectPlacementRequest {
    const {zone} = this.kernel.find(fleetRegistry.FLEET_REGISTRY).self();
    const hasExactLoads = this.kernel.find(decisions.FLEET_LOAD).isExact(nowMs);
    const work = routedRequest.workOf(request);
    const {sharedPrefix: prefix, sharedPrefixTokens: prefixTokens} =
      request.head;
    const goalMs = request.arrivedMs + request.route.goalMs - nowMs;
    const common = {zone, hasExactLoads, work, goalMs, nowMs};
    if (prefix === undefined) return common;
    const copyUsPerToken = this.copyUsPerToken(request, homes);
    return {...common, prefix, prefixTokens, homes, copyUsPerToken};
  }

  /** Undefined if an endpoint without the prefix would have to read it. */
  private copyUsPerToken(
    {head, pool}: routedRequest.RoutedRequest,
    homes: readonly string[],
  ): number | undefined {
    const copyUsPerToken = this.kernel
      .find(activeTables.ACTIVE_TABLES)
      .copyUsPerToken(pool);
    const source = this.kernel.find(decisions.CONTEXT_COPIES).chooseSource({
      target: '',
      homes,
      prefixTokens: head.sharedPrefixTokens,
      copyUsPerToken,
    });
    return source === undefined ? undefined : copyUsPerToken;
  }

  /**
   * Selects the endpoint from which `targetId` copies context. A draining or
   * unwilling endpoint qualifies; one that is unreachable, evacuated or of
   * another version does not.
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
        id => this.isSource(id, targetId) && health.isReachable(id, nowMs),
      ),
      prefixTokens: head.sharedPrefixTokens,
      copyUsPerToken: this.kernel
        .find(activeTables.ACTIVE_TABLES)
        .copyUsPerToken(pool),
    });
    return sourceId === undefined ? undefined : this.endpoints.find(sourceId);
  }

  private isSource(id: string, targetId: string): boolean {
    const endpoint = this.endpoints.find(id);
    const target = this.endpoints.find(targetId);
    if (!endpoint || !target) return false;
    if (model.versionOf(endpoint) !== model.versionOf(target)) return false;
    const zones = this.kernel.find(evacuatedZones.EVACUATED_ZONES);
    return !zones.isEvacuated(endpoint.zone);
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

  private get permits(): sendPermits.SendPermits {
    return this.kernel.find(sendPermits.SEND_PERMITS);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }

  private get endpoints(): endpointRegistry.EndpointRegistry {
    return this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  }
}
