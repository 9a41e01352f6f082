/**
 * The book of tables: the newest version that this process has seen. A version
 * never goes back within a process's life, whoever brings it.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** Who a key belongs to. */
export interface KeyHolder {
  readonly name: string;
  readonly priority?: number;
}

/** The tables in force at this router. */
export interface TablesBook {
  current(): model.Tables | undefined;
  /** Version in force; -1 where none is known. */
  version(): number;
  /** Puts tables in force; false where they are not newer. */
  take(tables: model.Tables, source: string): boolean;
  route(host: string, path: string): model.Route | undefined;
  holder(apiKey: string): KeyHolder | undefined;
  /** How long the pool takes to copy a token's context; undefined: it cannot. */
  copyUsPerToken(pool: string): number | undefined;
  /** Calls `changed` after each version that comes into force. */
  onChange(changed: (tables: model.Tables) => void): void;
}

/** The contract under which the book is registered. */
export const TABLES_BOOK = core.contract<TablesBook>('tables-book', [
  'current',
  'version',
  'take',
  'route',
  'holder',
  'copyUsPerToken',
  'onChange',
]);

/** Version of a router that knows no tables. */
export const NO_VERSION = -1;

/** Book with routes indexed by host, the longest prefix first. */
export class IndexedTablesBook implements TablesBook {
  private tables: model.Tables | undefined;
  private routes = new Map<string, model.Route[]>();
  private holders = new Map<string, KeyHolder>();
  private readonly listeners: Array<(tables: model.Tables) => void> = [];

  constructor(private readonly kernel: core.Kernel) {}

  current(): model.Tables | undefined {
    return this.tables;
  }

  version(): number {
    return this.tables?.version ?? NO_VERSION;
  }

  take(tables: model.Tables, source: string): boolean {
    if (tables.version <= this.version()) return false;
    this.tables = tables;
    this.routes = indexRoutes(tables.routes);
    this.holders = indexKeys(tables.customers ?? []);
    this.kernel.find(core.LOGGER).info('tables_in_force', {
      version: tables.version,
      routes: tables.routes.length,
      source,
    });
    for (const changed of this.listeners) changed(tables);
    return true;
  }

  route(host: string, path: string): model.Route | undefined {
    const [plain = ''] = path.split('?');
    const routes = this.routes.get(host.toLowerCase());
    return routes?.find(route => plain.startsWith(route.pathPrefix));
  }

  holder(apiKey: string): KeyHolder | undefined {
    return this.holders.get(apiKey);
  }

  copyUsPerToken(pool: string): number | undefined {
    const found = this.tables?.pools.find(({name}) => name === pool);
    return found?.copyUsPerToken;
  }

  onChange(changed: (tables: model.Tables) => void): void {
    this.listeners.push(changed);
  }
}

function indexRoutes(
  routes: readonly model.Route[],
): Map<string, model.Route[]> {
  const byHost = new Map<string, model.Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const known = byHost.get(host) ?? [];
    known.push(route);
    byHost.set(host, known);
  }
  for (const known of byHost.values()) {
    known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
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
