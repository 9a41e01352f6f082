/**
 * The tables in force: the newest version that this process has received. The
 * version never decreases during the process's lifetime, whatever the source.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** The customer to whom an API key belongs. */
export interface KeyHolder {
  readonly name: string;
  readonly priority?: number;
}

/** The tables in force at this router. */
export interface ActiveTables {
  current(): model.Tables | undefined;
  /** Version in force; -1 if there are no tables yet. */
  version(): number;
  /** Puts tables in force; returns false if they are not newer. */
  activate(tables: model.Tables, source: string): boolean;
  findRoute(host: string, path: string): model.Route | undefined;
  findKeyHolder(apiKey: string): KeyHolder | undefined;
  /**
   * Time to copy the context of one token between endpoints of the pool, in us;
   * undefined if copying is not possible.
   */
  copyUsPerToken(pool: string): number | undefined;
  /** Calls `listener` after each version that comes into force. */
  onChange(listener: (tables: model.Tables) => void): void;
}

/** The contract under which the tables in force are registered. */
export const ACTIVE_TABLES = core.contract<ActiveTables>('active-tables', [
  'current',
  'version',
  'activate',
  'findRoute',
  'findKeyHolder',
  'copyUsPerToken',
  'onChange',
]);

/** Version of a router that has no tables yet. */
export const NO_VERSION = -1;

/** Tables with routes indexed by host, the longest path prefix first. */
export class IndexedTables implements ActiveTables {
  private tables: model.Tables | undefined;
  private routesByHost = new Map<string, model.Route[]>();
  private holdersByKey = new Map<string, KeyHolder>();
  private readonly listeners: Array<(tables: model.Tables) => void> = [];

  constructor(private readonly kernel: core.Kernel) {}

  current(): model.Tables | undefined {
    return this.tables;
  }

  version(): number {
    return this.tables?.version ?? NO_VERSION;
  }

  activate(tables: model.Tables, source: string): boolean {
    if (tables.version <= this.version()) return false;
    this.tables = tables;
    this.routesByHost = indexRoutes(tables.routes);
    this.holdersByKey = indexKeys(tables.customers ?? []);
    this.kernel.find(core.LOGGER).info('tables_in_force', {
      version: tables.version,
      routes: tables.routes.length,
      source,
    });
    for (const listener of this.listeners) listener(tables);
    return true;
  }

  findRoute(host: string, path: string): model.Route | undefined {
    const [pathname = ''] = path.split('?');
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => pathname.startsWith(route.pathPrefix));
  }

  findKeyHolder(apiKey: string): KeyHolder | undefined {
    return this.holdersByKey.get(apiKey);
  }

  copyUsPerToken(pool: string): number | undefined {
    const matchingPool = this.tables?.pools.find(({name}) => name === pool);
    return matchingPool?.copyUsPerToken;
  }

  onChange(listener: (tables: model.Tables) => void): void {
    this.listeners.push(listener);
  }
}

function indexRoutes(
  routes: readonly model.Route[],
): Map<string, model.Route[]> {
  const byHost = new Map<string, model.Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const hostRoutes = byHost.get(host) ?? [];
    hostRoutes.push(route);
    byHost.set(host, hostRoutes);
  }
  for (const hostRoutes of byHost.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}

function indexKeys(
  customers: readonly model.Customer[],
): Map<string, KeyHolder> {
  const holders = new Map<string, KeyHolder>();
  for (const {name, priority, keys} of customers) {
    for (const key of keys) holders.set(key, {name, priority});
  }
  return holders;
}
