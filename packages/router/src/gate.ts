/**
 * The gate: every request of any front end comes in here. It finds the route,
 * applies the refusals that need no endpoint, and gives the request to the
 * server for its kind of call.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as once from './once.js';
import * as pools from './pools.js';
import * as spread from './spread.js';
import * as suspects from './suspects.js';
import * as trails from './trails.js';
import * as usage from './usage.js';

const RETRY_AFTER_MS = 500;

/** An address that a caller may use. */
export interface Address {
  readonly name: string;
  readonly address: string;
  readonly port: number;
}

/** What `where` asks about. */
export interface WhereQuery {
  readonly chat?: string;
  readonly key?: string;
  readonly path: string;
  readonly method?: string;
}

interface Rows {
  readonly route: core.Route;
  readonly pool: core.Pool;
}

/** Where requests come in. */
export interface Gate {
  serve(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
  ): Promise<void>;
  /** The routers to use for a chat, the best first. */
  where(query: WhereQuery): core.Result<readonly Address[]>;
  /** Whether requests are taken now. */
  readiness(): core.Result<void>;
}

/** The contract under which the gate is registered. */
export const GATE = core.contract<Gate>('gate', [
  'serve',
  'where',
  'readiness',
]);

const MAX_ADDRESSES = 4;

/** The route with the longest prefix that matches. */
export function matchRoute(
  routes: core.Tables['routes'],
  method: string,
  path: string,
): core.Route | undefined {
  const [plain = ''] = path.split('?');
  let best: core.Route | undefined;
  for (const {row} of Object.values(routes)) {
    const {path_prefix: prefix, method: wanted} = row.match;
    if (wanted && wanted !== method) continue;
    if (!isUnder(plain, prefix)) continue;
    if (!best || isNarrower(row, best)) best = row;
  }
  return best;
}

function isUnder(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}

function isNarrower(left: core.Route, right: core.Route): boolean {
  const difference =
    left.match.path_prefix.length - right.match.path_prefix.length;
  if (difference !== 0) return difference > 0;
  return left.match.method !== undefined && right.match.method === undefined;
}

/** The gate over the kernel's services. */
export class ServiceGate implements Gate {
  constructor(private readonly kernel: core.Kernel) {}

  async serve(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
  ): Promise<void> {
    const leave = this.kernel.find(drain.DRAIN).enter();
    try {
      const found = this.find(request.method, request.path);
      const outcome = await this.decide(request, answer, found);
      this.finish(request, answer, outcome);
      if (request.hops > 0) return;
      const route = found.ok ? found.value.route.name : meters.NO_ROUTE;
      this.kernel.find(meters.METERS).ended(route, outcome);
    } finally {
      leave();
    }
  }

  where(query: WhereQuery): core.Result<readonly Address[]> {
    const found = this.find(query.method ?? 'GET', query.path);
    const names = found.ok ? this.line(query, found.value) : [];
    const known = this.kernel.find(fleet.FLEET);
    const others = known.routers().map(item => item.name);
    const fallback = core.rank(query.chat ?? query.path, others);
    const chosen = [...new Set([...names, ...fallback])];
    const addresses = chosen
      .map(name => known.find(name))
      .filter(item => item !== undefined)
      .filter(item => known.isLive(item.name))
      .slice(0, MAX_ADDRESSES)
      .map(({name, address, port}) => ({name, address, port}));
    if (addresses.length > 0) return core.succeed(addresses);
    return core.fail('not_ready', 'no live router is known', RETRY_AFTER_MS);
  }

  readiness(): core.Result<void> {
    const config = this.kernel.find(configuration.CONFIGURATION);
    if (!config.isCurrent() || !this.kernel.find(fleet.FLEET).isKnown()) {
      const detail = 'the configuration or the list has not been read yet';
      return core.fail('not_ready', detail, RETRY_AFTER_MS);
    }
    if (config.isStale()) {
      const detail = 'neither the log nor a router that reads it answers';
      return core.fail('stale_config', detail, RETRY_AFTER_MS);
    }
    return core.succeed(undefined);
  }

  private async decide(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
    found: core.Result<Rows>,
  ): Promise<exchange.Outcome> {
    const readiness = this.readiness();
    if (!readiness.ok) return exchange.refused(readiness.failure);
    if (!found.ok) return exchange.refused(found.failure);
    const {route, pool} = found.value;
    const failure = this.forbid(request, route);
    if (failure) return exchange.refused(failure);
    const task = {request, route, pool, answer};
    this.kernel.find(usage.USAGE).accept(task);
    const server = route.repeatable
      ? this.kernel.find(spread.SPREAD)
      : this.kernel.find(once.ONCE);
    const outcome = await server.serve(task);
    this.kernel.find(usage.USAGE).record(task, outcome);
    return outcome;
  }

  /** Refusals by what the request is, before any endpoint is chosen. */
  private forbid(
    request: exchange.RouterRequest,
    route: core.Route,
  ): core.Failure | undefined {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const book = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.sign(request, route);
    if (book.check(signature, '', nowMs) === 'condemned') {
      const detail = 'endpoints crashed under this request; it is refused';
      return {kind: 'poison', detail};
    }
    if (request.hops > 0) return undefined;
    return this.kernel.find(usage.USAGE).forbid(request.customer);
  }

  private find(method: string, path: string): core.Result<Rows> {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const route = matchRoute(tables.routes, method, path);
    if (!route) {
      const [plain] = path.split('?');
      return core.fail('no_route', `no route matches ${method} ${plain}`);
    }
    const pool = tables.pools[route.pool]?.row;
    if (!pool) return core.fail('no_route', `pool ${route.pool} is missing`);
    return core.succeed({route, pool});
  }

  /** Routers in the order in which the request would want them. */
  private line(query: WhereQuery, rows: Rows): string[] {
    const known = this.kernel.find(fleet.FLEET);
    if (!rows.route.repeatable && query.key !== undefined) {
      return [...known.leaders(this.kernel.find(once.ONCE).task(query.key))];
    }
    const source = this.kernel.find(pools.POOLS);
    const view = source.view(rows.pool);
    const choices: readonly decide.Choice[] = source.order(
      {id: query.path, chat: query.chat},
      view,
    );
    return choices.flatMap(choice => known.owners(choice.endpoint).slice(0, 1));
  }

  private finish(
    request: exchange.RouterRequest,
    answer: exchange.Answer,
    outcome: exchange.Outcome,
  ): void {
    if (outcome.type === 'answered') return;
    const {kind, detail} = outcome.failure;
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(request.id, 'refused', `${kind}: ${detail}`);
    answer.refuse(outcome.failure);
  }
}
