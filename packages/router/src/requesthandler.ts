/**
 * The request handler, which serves the requests of all front ends. It matches
 * the route, applies the checks that need no endpoint, and has the request
 * served as a repeatable or an at-most-once call.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as atMostOnceCalls from './atmostoncecalls.js';
import * as pools from './pools.js';
import * as repeatableCalls from './repeatablecalls.js';
import * as suspects from './suspects.js';
import * as requestTraces from './requesttraces.js';
import * as usage from './usage.js';

/** Retry delay given to callers while the router is not ready. */
const RETRY_AFTER_MS = 500;

/** The address of a router that a caller may use. */
export interface RouterAddress {
  readonly name: string;
  readonly address: string;
  readonly port: number;
}

/** The request for which a caller looks up routers with `/where`. */
export interface RouterLookup {
  readonly chat?: string;
  readonly key?: string;
  readonly path: string;
  readonly method?: string;
}

/** The route that a request matched, and the route's pool. */
interface MatchedRows {
  readonly route: core.Route;
  readonly pool: core.Pool;
}

/** Handles the requests of all front ends. */
export interface RequestHandler {
  /** Serves the request and writes its answer or a refusal. */
  serve(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
  ): Promise<void>;
  /** The routers that a caller should use, the best first. */
  findRouters(query: RouterLookup): core.Result<readonly RouterAddress[]>;
  /** Whether the router can serve requests; the failure gives the reason. */
  readiness(): core.Result<void>;
}

/** The contract under which the request handler is registered. */
export const REQUEST_HANDLER = core.contract<RequestHandler>(
  'request-handler',
  ['serve', 'findRouters', 'readiness'],
);

const MAX_ROUTER_ADDRESSES = 4;

/**
 * The most specific route that matches: the longest path prefix, then one with
 * a method over one without.
 */
export function matchRoute(
  routes: core.Tables['routes'],
  method: string,
  path: string,
): core.Route | undefined {
  const [pathname = ''] = path.split('?');
  let best: core.Route | undefined;
  for (const {row} of Object.values(routes)) {
    const {path_prefix: prefix, method: routeMethod} = row.match;
    if (routeMethod && routeMethod !== method) continue;
    if (!hasPathPrefix(pathname, prefix)) continue;
    if (!best || isMoreSpecific(row, best)) best = row;
  }
  return best;
}

function hasPathPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}

function isMoreSpecific(left: core.Route, right: core.Route): boolean {
  const difference =
    left.match.path_prefix.length - right.match.path_prefix.length;
  if (difference !== 0) return difference > 0;
  return left.match.method !== undefined && right.match.method === undefined;
}

/** Request handler that matches routes in the configuration tables. */
export class RoutingRequestHandler implements RequestHandler {
  constructor(private readonly kernel: core.Kernel) {}

  async serve(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
  ): Promise<void> {
    const endRequest = this.kernel.find(drain.DRAIN).trackRequest();
    try {
      const matched = this.findRouteAndPool(request.method, request.path);
      const outcome = await this.handle(request, answer, matched);
      this.sendRefusal(request, answer, outcome);
      if (request.hops > 0) return;
      const route = matched.ok ? matched.value.route.name : meters.NO_ROUTE;
      this.kernel.find(meters.METERS).countRequest(route, outcome);
    } finally {
      endRequest();
    }
  }

  findRouters(query: RouterLookup): core.Result<readonly RouterAddress[]> {
    const matched = this.findRouteAndPool(query.method ?? 'GET', query.path);
    const preferredNames = matched.ok
      ? this.preferredRouters(query, matched.value)
      : [];
    const fleetView = this.kernel.find(fleet.FLEET);
    const routerNames = fleetView.liveRouters().map(item => item.name);
    const fallbackNames = core.rankNodes(query.chat ?? query.path, routerNames);
    const candidateNames = [...new Set([...preferredNames, ...fallbackNames])];
    const addresses = candidateNames
      .map(name => fleetView.find(name))
      .filter(item => item !== undefined)
      .filter(item => fleetView.isLive(item.name))
      .slice(0, MAX_ROUTER_ADDRESSES)
      .map(({name, address, port}) => ({name, address, port}));
    if (addresses.length > 0) return core.succeed(addresses);
    return core.fail('not_ready', 'no live router is listed', RETRY_AFTER_MS);
  }

  readiness(): core.Result<void> {
    const config = this.kernel.find(configuration.CONFIGURATION);
    if (
      !config.isCurrent() ||
      !this.kernel.find(fleet.FLEET).hasInstanceList()
    ) {
      const detail =
        'the configuration or the instance list has not been read yet';
      return core.fail('not_ready', detail, RETRY_AFTER_MS);
    }
    if (config.isStale()) {
      const detail = 'neither the log nor a router that can read it answers';
      return core.fail('stale_config', detail, RETRY_AFTER_MS);
    }
    return core.succeed(undefined);
  }

  private async handle(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
    matched: core.Result<MatchedRows>,
  ): Promise<exchange.Outcome> {
    const readiness = this.readiness();
    if (!readiness.ok) return exchange.refused(readiness.failure);
    if (!matched.ok) return exchange.refused(matched.failure);
    const {route, pool} = matched.value;
    const failure = this.findRefusal(request, route);
    if (failure) return exchange.refused(failure);
    const routedRequest = {request, route, pool, answer};
    this.kernel.find(usage.USAGE).countRequest(routedRequest);
    const callService = route.repeatable
      ? this.kernel.find(repeatableCalls.REPEATABLE_CALLS)
      : this.kernel.find(atMostOnceCalls.AT_MOST_ONCE_CALLS);
    const outcome = await callService.serve(routedRequest);
    this.kernel.find(usage.USAGE).countTokens(routedRequest, outcome);
    return outcome;
  }

  /** The refusal of a condemned request or of a customer over its limit. */
  private findRefusal(
    request: exchange.RouterRequest,
    route: core.Route,
  ): core.Failure | undefined {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.signatureOf(request, route);
    if (suspectTracker.check(signature, '', nowMs) === 'condemned') {
      const detail = 'endpoints crashed while they ran this request';
      return {kind: 'poison', detail};
    }
    if (request.hops > 0) return undefined;
    return this.kernel.find(usage.USAGE).checkLimit(request.customer);
  }

  private findRouteAndPool(
    method: string,
    path: string,
  ): core.Result<MatchedRows> {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const route = matchRoute(tables.routes, method, path);
    if (!route) {
      const [pathname] = path.split('?');
      return core.fail('no_route', `no route matches ${method} ${pathname}`);
    }
    const pool = tables.pools[route.pool]?.row;
    if (!pool) return core.fail('no_route', `pool ${route.pool} is missing`);
    return core.succeed({route, pool});
  }

  /**
   * Names of routers, the best first: the leaders for the key, or the owners of
   * the endpoints in placement order.
   */
  private preferredRouters(
    query: RouterLookup,
    matched: MatchedRows,
  ): string[] {
    const fleetView = this.kernel.find(fleet.FLEET);
    if (!matched.route.repeatable && query.key !== undefined) {
      return [
        ...fleetView.leaders(
          this.kernel
            .find(atMostOnceCalls.AT_MOST_ONCE_CALLS)
            .leaderTask(query.key),
        ),
      ];
    }
    const poolViews = this.kernel.find(pools.POOLS);
    const view = poolViews.view(matched.pool);
    const choices: readonly decide.PlacementChoice[] = poolViews.order(
      {id: query.path, chat: query.chat},
      view,
    );
    return choices.flatMap(choice =>
      fleetView.owners(choice.endpoint).slice(0, 1),
    );
  }

  private sendRefusal(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
    outcome: exchange.Outcome,
  ): void {
    if (outcome.type === 'answered') return;
    const {kind, detail} = outcome.failure;
    const traces = this.kernel.find(requestTraces.REQUEST_TRACES);
    traces.record(request.id, 'refused', `${kind}: ${detail}`);
    answer.refuse(outcome.failure);
  }
}
