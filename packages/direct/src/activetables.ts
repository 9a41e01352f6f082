/**
 * The tables in force: the newest version that this process has received. The
 * version never decreases during the process's lifetime, whatever the source.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';
import * as tablesPatch from './tablespatch.js';

/** The customer to whom an API key belongs. */
export interface KeyHolder {
  readonly name: string;
  readonly priority?: number;
}

/** Where the tables in force come from. */
export interface TablesProvenance {
  /** `store`, or the address of the router that served them. */
  readonly source: string;
  /** Monotonic time since which they are in force, in ms. */
  readonly sinceMs: number;
  /** Hash of the rows; equal at routers with the same rows in any order. */
  readonly fingerprint: number;
}

/** The tables in force at this router. */
export interface ActiveTables {
  current(): model.Tables | undefined;
  /** Version in force; -1 if there are no tables yet. */
  version(): number;
  /** Where the tables in force come from; undefined if there are none yet. */
  provenance(): TablesProvenance | undefined;
  /** Puts tables in force; returns false if they are not newer. */
  activate(tables: model.Tables, source: string): boolean;
  /**
   * Puts the version in force to which the patches lead; returns false if they
   * do not start at the version in force.
   */
  applyPatches(
    patches: readonly tablesPatch.TablesPatch[],
    source: string,
  ): boolean;
  /**
   * The patches that lead from the version to the one in force; undefined if
   * that version is not known.
   */
  patchesSince(version: number): readonly tablesPatch.TablesPatch[] | undefined;
  findRoute(host: string, path: string): model.Route | undefined;
  findKeyHolder(apiKey: string): KeyHolder | undefined;
  /**
   * Time to copy the context of one token between endpoints of the pool, in us;
   * undefined if copying is not possible.
   */
  copyUsPerToken(pool: string): number | undefined;
  /** The row of the pool; undefined if it has none. */
  findPool(name: string): model.Pool | undefined;
  /** Calls `listener` after each version that comes into force. */
  onChange(listener: (tables: model.Tables) => void): void;
}

/** The contract under which the tables in force are registered. */
export const ACTIVE_TABLES = core.contract<ActiveTables>('active-tables', [
  'current',
  'version',
  'provenance',
  'activate',
  'applyPatches',
  'patchesSince',
  'findRoute',
  'findKeyHolder',
  'copyUsPerToken',
  'findPool',
  'onChange',
]);

/** Version of a router that has no tables yet. */
export const NO_VERSION = -1;

/** Maximum number of patches that are kept. */
const MAX_PATCHES = 12;

/** Tables with routes indexed by host, the longest path prefix first. */
export class IndexedTables implements ActiveTables {
  private tables: model.Tables | undefined;
  private source = '';
  private sinceMs = 0;
  private routesByHost = new Map<string, model.Route[]>();
  private holdersByKey = new Map<string, KeyHolder>();
  /** Consecutive patches, the last of which led to the version in force. */
  private patches: tablesPatch.TablesPatch[] = [];
  private readonly listeners: Array<(tables: model.Tables) => void> = [];

  constructor(private readonly kernel: core.Kernel) {}

  current(): model.Tables | undefined {
    return this.tables;
  }

  version(): number {
    return this.tables?.version ?? NO_VERSION;
  }

  provenance(): TablesProvenance | undefined {
    const {tables, source, sinceMs} = this;
    if (!tables) return undefined;
    return {source, sinceMs, fingerprint: fingerprintOf(tables)};
  }

  activate(tables: model.Tables, source: string): boolean {
    if (tables.version <= this.version()) return false;
    this.keepPatch(this.tables && tablesPatch.diffTables(this.tables, tables));
    this.putInForce(tables, source);
    return true;
  }

  applyPatches(
    patches: readonly tablesPatch.TablesPatch[],
    source: string,
  ): boolean {
    let {tables} = this;
    for (const patch of patches) {
      const next = tables && tablesPatch.applyPatch(tables, patch);
      if (!tables || !next || next.version <= tables.version) continue;
      tables = next;
      this.keepPatch(patch);
    }
    if (!tables || tables === this.tables) return false;
    this.putInForce(tables, source);
    return true;
  }

  patchesSince(
    version: number,
  ): readonly tablesPatch.TablesPatch[] | undefined {
    if (version === this.version()) return [];
    const index = this.patches.findIndex(
      ({baseVersion}) => baseVersion === version,
    );
    return index < 0 ? undefined : this.patches.slice(index);
  }

  private putInForce(tables: model.Tables, source: string): void {
    this.tables = tables;
    this.source = source;
    this.sinceMs = this.kernel.find(core.CLOCK).nowMs();
    this.routesByHost = indexRoutes(tables.routes);
    this.holdersByKey = indexKeys(tables.customers ?? []);
    this.kernel.find(core.LOGGER).info('tables_in_force', {
      version: tables.version,
      routes: tables.routes.length,
      source,
    });
    for (const listener of this.listeners) listener(tables);
  }

  /** Keeps a patch for other routers; without one, the chain starts anew. */
  private keepPatch(patch: tablesPatch.TablesPatch | undefined): void {
    this.patches = patch ? [...this.patches, patch].slice(-MAX_PATCHES) : [];
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
    return this.findPool(pool)?.copyUsPerToken;
  }

  findPool(name: string): model.Pool | undefined {
    return this.tables?.pools.find(pool => pool.name === name);
  }

  onChange(listener: (tables: model.Tables) => void): void {
    this.listeners.push(listener);
  }
}

function fingerprintOf({routes, customers = []}: model.Tables): number {
  let fingerprint = 0;
  for (const row of [...routes, ...customers]) {
    fingerprint ^= core.hash32(JSON.stringify(row));
  }
  return fingerprint >>> 0;
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
