/**
 * Updates of the tables that a router serves to others: the patches since the
 * version that the other router has, the difference from its rows if that
 * version is not known here, or the whole tables. Many routers ask for the same
 * update at the same time, so an update is encoded once and kept.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as activeTables from './activetables.js';
import * as model from './model.js';
import * as peerJson from './peerjson.js';
import * as tablesDifference from './tablesdifference.js';
import * as tablesPatch from './tablespatch.js';

/** Path at which routers serve updates of their tables. */
const TABLES_PATH = '/tables';

/** Query parameter with the version that the other router has. */
const VERSION_PARAMETER = 'have';

/** Maximum number of updates, for different base versions, that are kept. */
const MAX_KEPT = 8;

/** Schema of an update; no field is set if there is nothing to serve. */
export const tablesUpdateSchema = v.object({
  tables: v.optional(model.tablesSchema),
  patches: v.optional(v.array(tablesPatch.tablesPatchSchema)),
  difference: v.optional(tablesDifference.tablesDifferenceSchema),
  /** Whether the other router has to send a summary of its rows. */
  isSummaryNeeded: v.optional(v.boolean()),
});

/** An update of the tables. */
export type TablesUpdate = v.InferOutput<typeof tablesUpdateSchema>;

/** What a router tells about its tables when it asks for an update. */
export interface TablesRequest {
  /** The version in force; `NO_VERSION` to receive the whole tables. */
  readonly version: number;
  /** The hashes of its rows, if the other router needs them. */
  readonly summary?: Buffer;
}

/** URL of the update for a router that has the version. */
export function tablesUrl(version: number): string {
  return `${TABLES_PATH}?${VERSION_PARAMETER}=${version}`;
}

/**
 * The version in a URL of an update; undefined if the URL is for something
 * else.
 */
export function readTablesUrl(url: string): number | undefined {
  const [path, query] = url.split('?');
  if (path !== TABLES_PATH) return undefined;
  const version = Number(new URLSearchParams(query).get(VERSION_PARAMETER));
  return Number.isFinite(version) ? version : activeTables.NO_VERSION;
}

/** The update for a router that has the version, if that is all one knows. */
export function collect(kernel: core.Kernel, version: number): TablesUpdate {
  const tables = kernel.find(activeTables.ACTIVE_TABLES);
  if (tables.version() <= version) return {};
  if (version === activeTables.NO_VERSION) return {tables: tables.current()};
  const patches = tables.patchesSince(version);
  return patches ? {patches: [...patches]} : {isSummaryNeeded: true};
}

/** The update for a router that has the version, with these hashes of rows. */
export function compare(
  kernel: core.Kernel,
  version: number,
  hashes: ReadonlySet<string>,
): TablesUpdate {
  const tables = kernel.find(activeTables.ACTIVE_TABLES).current();
  if (!tables || tables.version <= version) return {};
  return {difference: tablesDifference.diff(version, hashes, tables)};
}

/**
 * Puts an update in force; older versions have no effect. Returns false if it
 * does not lead to the tables of the router that served it.
 */
export function apply(
  kernel: core.Kernel,
  {tables, patches = [], difference}: TablesUpdate,
  source: string,
): boolean {
  const tablesInForce = kernel.find(activeTables.ACTIVE_TABLES);
  if (tables) tablesInForce.activate(tables, source);
  else if (!difference) tablesInForce.applyPatches(patches, source);
  else {
    const current = tablesInForce.current();
    // A version that has come into force meanwhile needs another difference.
    if (current?.version !== difference.baseVersion) return true;
    const next = tablesDifference.apply(current, difference);
    if (!next) return false;
    tablesInForce.activate(next, source);
  }
  return true;
}

/** Updates of one version by base version; `T` is the form that is kept. */
export class KeptUpdates<T> {
  private readonly byBase = new Map<number, T>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly encodeUpdate: (update: TablesUpdate) => T,
  ) {
    kernel.find(activeTables.ACTIVE_TABLES).onChange(() => this.byBase.clear());
  }

  /** The update for a router that has the version. */
  encode(version: number): T {
    return (
      this.byBase.get(version) ??
      this.keep(version, collect(this.kernel, version))
    );
  }

  /**
   * The update for a router that has the version, with these hashes of rows;
   * the difference is kept for the next router that has this version.
   */
  encodeDifference(version: number, hashes: ReadonlySet<string>): T {
    return this.keep(version, compare(this.kernel, version, hashes));
  }

  private keep(version: number, update: TablesUpdate): T {
    const encoded = this.encodeUpdate(update);
    if (update.isSummaryNeeded) return encoded;
    if (this.byBase.size < MAX_KEPT) this.byBase.set(version, encoded);
    return encoded;
  }
}

/** Updates as compressed JSON, kept until the next version is in force. */
export class EncodedUpdates extends KeptUpdates<Buffer> {
  constructor(kernel: core.Kernel) {
    super(kernel, update => peerJson.encode(update));
  }
}
