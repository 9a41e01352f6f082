/**
 * Pools as the decisions see them now: the usable endpoints with their load,
 * and the order in which a request should try them.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';
import * as fleet from './fleet.js';

/** A pool at one moment. */
export interface PoolView {
  readonly pool: core.Pool;
  readonly candidates: readonly decide.Candidate[];
  readonly load: decide.PoolLoad;
}

/** Views of pools. */
export interface Pools {
  view(pool: core.Pool): PoolView;
  /** The order for a request, without the excluded endpoints. */
  order(
    request: Pick<exchange.RouterRequest, 'id' | 'chat'>,
    view: PoolView,
    excluded?: ReadonlySet<string>,
  ): readonly decide.Choice[];
  /** Notes that another router calls an endpoint usable or not. */
  setRemoteUsable(endpoint: string, isUsable: boolean): void;
}

/** The contract under which the pools are registered. */
export const POOLS = core.contract<Pools>('pools', ['view', 'order']);

/** The contract under which the load book is registered. */
export const LOADS = core.contract<decide.LoadBook>('loads', [
  'began',
  'ended',
  'inFlight',
  'poolInFlight',
]);

/** The contract under which the placement is registered. */
export const PLACEMENT = core.contract<decide.Placement>('placement', [
  'order',
]);

/** Pools by the fleet's list, the load book and the ejection. */
export class ListedPools implements Pools {
  private readonly unusable = new Set<string>();

  constructor(private readonly kernel: core.Kernel) {}

  view(pool: core.Pool): PoolView {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const loads = this.kernel.find(LOADS);
    const ejection = this.kernel.find(fleet.EJECTION);
    const names = this.usable(pool, nowMs);
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
    excluded: ReadonlySet<string> = new Set(),
  ): readonly decide.Choice[] {
    const candidates = view.candidates.filter(item => !excluded.has(item.name));
    const {id: requestId, chat} = request;
    return this.kernel.find(PLACEMENT).order({requestId, chat}, candidates);
  }

  setRemoteUsable(endpoint: string, isUsable: boolean): void {
    if (isUsable) this.unusable.delete(endpoint);
    else this.unusable.add(endpoint);
  }

  private usable(pool: core.Pool, nowMs: number): readonly string[] {
    const listed = this.kernel.find(fleet.FLEET).members(pool);
    const names = listed.map(item => item.name);
    const own = this.kernel.find(fleet.EJECTION).usable(names, nowMs);
    const kept = own.filter(name => !this.unusable.has(name));
    return kept.length * 2 >= names.length ? kept : own;
  }
}
