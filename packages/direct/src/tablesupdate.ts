/**
 * Updates of the tables that a router serves to others: the patches since the
 * version that the other router has, or the whole tables. Many routers ask for
 * the same update at the same time, so an update is encoded once and kept.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as activeTables from './activetables.js';
import * as model from './model.js';
import * as peerJson from './peerjson.js';
import * as tablesPatch from './tablespatch.js';

/** Path at which routers serve updates of their tables. */
const TABLES_PATH = '/tables';

/** Query parameter with the version that the other router has. */
const VERSION_PARAMETER = 'have';

/** Maximum number of updates, for different base versions, that are kept. */
const MAX_KEPT = 8;

/** Schema of an update; neither field is set if there is nothing to serve. */
export const tablesUpdateSchema = v.object({
  tables: v.optional(model.tablesSchema),
  patches: v.optional(v.array(tablesPatch.tablesPatchSchema)),
});

/** An update of the tables. */
export type TablesUpdate = v.InferOutput<typeof tablesUpdateSchema>;

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

/** The update for a router that has the version. */
export function collect(kernel: core.Kernel, version: number): TablesUpdate {
  const tables = kernel.find(activeTables.ACTIVE_TABLES);
  if (tables.version() <= version) return {};
  const patches = tables.patchesSince(version);
  return patches ? {patches: [...patches]} : {tables: tables.current()};
}

/** Puts an update in force; older versions have no effect. */
export function apply(
  kernel: core.Kernel,
  {tables, patches = []}: TablesUpdate,
  source: string,
): void {
  const tablesInForce = kernel.find(activeTables.ACTIVE_TABLES);
  if (tables) tablesInForce.activate(tables, source);
  else tablesInForce.applyPatches(patches, source);
}

/** Updates as compressed JSON, kept until the next version is in force. */
export class EncodedUpdates {
  private readonly encodedByBase = new Map<number, Buffer>();

  constructor(private readonly kernel: core.Kernel) {
    kernel
      .find(activeTables.ACTIVE_TABLES)
      .onChange(() => this.encodedByBase.clear());
  }

  /** The encoded update for a router that has the version. */
  encode(version: number): Buffer {
    const kept = this.encodedByBase.get(version);
    if (kept) return kept;
    const encoded = peerJson.encode(collect(this.kernel, version));
    if (this.encodedByBase.size < MAX_KEPT) {
      this.encodedByBase.set(version, encoded);
    }
    return encoded;
  }
}
