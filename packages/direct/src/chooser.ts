/**
 * The chooser of endpoints: asks health, suspects, load, homes and placement
 * where a request goes, and whether its context is copied there.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as asks from './ask.js';
import * as decisions from './decisions.js';
import * as endpointBook from './endpointbook.js';
import * as fleetBook from './fleetbook.js';
import type * as model from './model.js';
import * as tablesBook from './tablesbook.js';

/** Where a request goes. */
export interface Chosen {
  readonly endpoint: model.Endpoint;
  /** What decided it. */
  readonly placed: decide.SpotChoice;
  /** Holds context that the endpoint copies before it reads the prompt. */
  readonly source?: model.Endpoint;
}

/** Chooser of endpoints. */
export interface Chooser {
  /** An endpoint that was not tried; undefined where there is none. */
  choose(asked: asks.Ask, tried: ReadonlySet<string>): Chosen | undefined;
}

/** The contract under which the chooser is registered. */
export const CHOOSER = core.contract<Chooser>('chooser', ['choose']);

/** Chooser over the kernel's services. */
export class EndpointChooser implements Chooser {
  constructor(private readonly kernel: core.Kernel) {}

  choose(asked: asks.Ask, tried: ReadonlySet<string>): Chosen | undefined {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const spots = this.spots(asked, tried, nowMs);
    const homes = this.homes(asked, nowMs);
    const wish = this.wish(asked, homes);
    const placed = this.kernel.find(decisions.PLACEMENT).choose(wish, spots);
    const endpoint = placed && this.book.find(placed.spot.id);
    if (!endpoint) return undefined;
    const source = this.source(asked, endpoint.id, homes, nowMs);
    this.remember(asked, endpoint.id, nowMs);
    return {endpoint, placed, source};
  }

  private spots(
    asked: asks.Ask,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): decide.Spot[] {
    const listed = this.book.ready(asked.pool);
    const ids = listed.map(({id}) => id).filter(id => !tried.has(id));
    const load = this.kernel.find(decisions.LOAD);
    return this.usable(asked, ids, nowMs).map(id => ({
      id,
      zone: this.book.find(id)?.zone ?? '',
      inFlight: load.inFlight(id, nowMs),
    }));
  }

  /** Healthy endpoints; a suspect request keeps away from other suspects. */
  private usable(
    {signature}: asks.Ask,
    ids: readonly string[],
    nowMs: number,
  ): readonly string[] {
    const healthy = this.kernel.find(decisions.HEALTH).usable(ids, nowMs);
    const suspects = this.kernel.find(decisions.SUSPECTS);
    const apart = healthy.filter(
      id => suspects.check(signature, id, nowMs) === 'free',
    );
    return apart.length > 0 ? apart : healthy;
  }

  private homes({head}: asks.Ask, nowMs: number): readonly string[] {
    const {sharedPrefix: prefix} = head;
    if (prefix === undefined) return [];
    return this.kernel.find(decisions.HOMES).of(prefix, nowMs);
  }

  private wish(
    {head}: asks.Ask,
    homes: readonly string[],
  ): decide.PlacementAsk {
    const {zone} = this.kernel.find(fleetBook.FLEET_BOOK).self();
    const {sharedPrefix: prefix, sharedTokens: prefixTokens} = head;
    if (prefix === undefined) return {zone};
    return {zone, prefix, prefixTokens, homes};
  }

  /** One that drains may be copied from; one that is away may not. */
  private source(
    {head, pool}: asks.Ask,
    target: string,
    homes: readonly string[],
    nowMs: number,
  ): model.Endpoint | undefined {
    const health = this.kernel.find(decisions.HEALTH);
    const source = this.kernel.find(decisions.COPIES).source({
      target,
      homes: homes.filter(
        id => this.book.find(id) && health.isReachable(id, nowMs),
      ),
      prefixTokens: head.sharedTokens,
      copyUsPerToken: this.kernel
        .find(tablesBook.TABLES_BOOK)
        .copyUsPerToken(pool),
    });
    return source === undefined ? undefined : this.book.find(source);
  }

  private remember({head}: asks.Ask, endpoint: string, nowMs: number): void {
    const {sharedPrefix: prefix} = head;
    if (prefix === undefined) return;
    this.kernel.find(decisions.HOMES).placed({prefix, endpoint}, nowMs);
  }

  private get book(): endpointBook.EndpointBook {
    return this.kernel.find(endpointBook.ENDPOINT_BOOK);
  }
}
