/**
 * Snapshots of pools for the decisions: the usable endpoints with their load,
 * and the order in which a request should try them.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';
import * as fleet from './fleet.js';

/** A snapshot of a pool. */
export interface PoolView {
  readonly pool: core.Pool;
  readonly candidates: readonly decide.Candidate[];
  readonly load: decide.PoolLoad;
}

/** Snapshots of pools, and the placement order of their endpoints. */
export interface Pools {
  /** A snapshot of the pool as it is now. */
  view(pool: core.Pool): PoolView;
  /** The placement order for a request, without the excluded endpoints. */
  order(
    request: Pick<exchange.RouterRequest, 'id' | 'chat'>,
    view: PoolView,
    excludedEndpoints?: ReadonlySet<string>,
  ): readonly decide.PlacementChoice[];
  /** Records whether the router that owns the endpoint reports it usable. */
  setRemoteUsable(endpoint: string, isUsable: boolean): void;
}

/** The contract under which the pools are registered. */
export const POOLS = core.contract<Pools>('pools', ['view', 'order']);

/** The contract under which the load tracker is registered. */
export const LOADS = core.contract<decide.LoadTracker>('loads', [
  'recordStart',
  'recordEnd',
  'inFlight',
  'poolInFlight',
]);

/** The contract under which the placement is registered. */
export const PLACEMENT = core.contract<decide.Placement>('placement', [
  'order',
]);

/** Pools built from the instance list, the load tracker and the ejection. */
export class ListedPools implements Pools {
  /** Endpoints that their owners report as unusable. */
  private readonly unusableByOwner = new Set<string>();

  constructor(private readonly kernel: core.Kernel) {}

  view(pool: core.Pool): PoolView {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const loads = this.kernel.find(LOADS);
    const ejection = this.kernel.find(fleet.EJECTION);
    const names = this.usableNames(pool, nowMs);
    const candidates = names.map(name => ({
      name,
      inFlight: loads.inFlight(name, nowMs),
      isSettled: ejection.isSettled(name, nowMs),
    }));
    const load = {
      inFlight: loads.poolInFlight(names, nowMs),
      liveEndpoints: names.length,
      loadMultiple: pool.load_multiple,
      maxInFlight: pool.max_in_flight,
    };
    return {pool, candidates, load};
  }

  order(
    request: Pick<exchange.RouterRequest, 'id' | 'chat'>,
    view: PoolView,
    excludedEndpoints: ReadonlySet<string> = new Set(),
  ): readonly decide.PlacementChoice[] {
    const candidates = view.candidates.filter(
      item => !excludedEndpoints.has(item.name),
    );
    const {id: requestId, chat} = request;
    return this.kernel.find(PLACEMENT).order({requestId, chat}, candidates);
  }

  setRemoteUsable(endpoint: string, isUsable: boolean): void {
    if (isUsable) this.unusableByOwner.delete(endpoint);
    else this.unusableByOwner.add(endpoint);
  }

  private usableNames(pool: core.Pool, nowMs: number): readonly string[] {
    const members = this.kernel.find(fleet.FLEET).members(pool);
    const names = members.map(item => item.name);
    const locallyUsable = this.kernel
      .find(fleet.EJECTION)
      .filterUsable(names, nowMs);
    const usable = locallyUsable.filter(
      name => !this.unusableByOwner.has(name),
    );
    // Ignores the owners' reports if they would leave under half of the pool.
    return usable.length * 2 >= names.length ? usable : locallyUsable;
  }
}
