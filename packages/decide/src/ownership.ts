/**
 * Ownership: which router alone sends to which endpoint. Every router computes
 * the same table from the same lists, without a message.
 */

/** Where a router or an endpoint stands. */
export interface Site {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Owners by endpoint name: the owner first, then those who would follow. */
export type OwnerTable = ReadonlyMap<string, readonly string[]>;

/** Strategy that gives each endpoint an owner among the live routers. */
export interface Ownership {
  /** An empty order where there is no router. */
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable;
  /** The one router that leads a task of the given name (a claim stream). */
  leader(task: string, routers: readonly Site[]): readonly string[];
}
