/**
 * The book of routers: who belongs to the fleet, who was heard of late, and
 * what each last told of itself.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** Where a router stands in its life. */
export type Phase = 'starting' | 'ready' | 'leaving';

/** What a router last told of itself. */
export interface Standing {
  readonly phase: Phase;
  readonly version: number;
  /** How far it has read the endpoints' feed. */
  readonly endpointsOffset: number;
  /** How long it has run, in s. */
  readonly upS: number;
}

/** A router with what is known of it. */
export interface Member {
  readonly router: model.Router;
  /** Undefined where it was never heard. */
  readonly standing?: Standing;
  /** Monotonic time at which it was last heard. */
  readonly heardMs: number;
}

/** Least time for which a router that is not heard counts as live, in ms. */
const MIN_LIVE_MS = 1_800;

/** Digests of a router in its failure domain that may be missed, and a part. */
const NEAR_MISSED = 3.5;

/** The same for routers of other failure domains, which tell less often. */
const FAR_MISSED = 2.5;

/** How long a router that was never heard is told of this one, in ms. */
const INTRODUCE_MS = 10_000;

/** How often routers tell each other of themselves, in ms. */
export interface Paces {
  readonly nearPaceMs: number;
  readonly farPaceMs: number;
}

/** Book of the fleet's routers, without this one. */
export interface FleetBook {
  self(): model.Router;
  /** A router is on the platform's list. */
  list(router: model.Router, nowMs: number): void;
  /** A router was heard; true where it was not known before. */
  hear(router: model.Router, standing: Standing, nowMs: number): boolean;
  /** A router said that it ends, or was taken off the list. */
  remove(name: string): void;
  /** Routers to send digests to. */
  peers(nowMs: number): readonly Member[];
  /** Routers that were heard of late. */
  live(nowMs: number): readonly Member[];
  /** Notes the pace of digests, by which silence is judged. */
  expect(paces: Paces): void;
}

/** The contract under which the book is registered. */
export const FLEET_BOOK = core.contract<FleetBook>('fleet-book', [
  'self',
  'list',
  'hear',
  'remove',
  'peers',
  'live',
  'expect',
]);

/** Book in memory. */
export class HeardFleet implements FleetBook {
  private readonly members = new Map<string, Member>();
  private paces: Paces = {nearPaceMs: 0, farPaceMs: 0};

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: model.Router,
  ) {}

  self(): model.Router {
    return this.own;
  }

  list(router: model.Router, nowMs: number): void {
    if (router.name === this.own.name) return;
    const known = this.members.get(router.name);
    if (known?.standing && known.router.address === router.address) return;
    this.members.set(router.name, {router, heardMs: nowMs});
  }

  hear(router: model.Router, standing: Standing, nowMs: number): boolean {
    if (router.name === this.own.name) return false;
    const known = this.members.get(router.name);
    this.members.set(router.name, {router, standing, heardMs: nowMs});
    if (known?.standing?.phase === standing.phase) return false;
    this.kernel.find(core.LOGGER).info('router', {
      router: router.name,
      was: known?.standing?.phase,
      is: standing.phase,
    });
    return known === undefined;
  }

  remove(name: string): void {
    this.members.delete(name);
  }

  peers(nowMs: number): readonly Member[] {
    const members = [...this.members.values()];
    const {farPaceMs} = this.paces;
    const knownMs = Math.max(INTRODUCE_MS, FAR_MISSED * farPaceMs);
    return members.filter(({heardMs}) => nowMs - heardMs < knownMs);
  }

  live(nowMs: number): readonly Member[] {
    const members = [...this.members.values()];
    return members.filter(
      ({router, standing, heardMs}) =>
        standing && nowMs - heardMs < this.liveMs(router),
    );
  }

  expect(paces: Paces): void {
    this.paces = paces;
  }

  private liveMs({zone}: model.Router): number {
    const {nearPaceMs, farPaceMs} = this.paces;
    const isNear = zone === this.own.zone;
    const missedMs = isNear ? NEAR_MISSED * nearPaceMs : FAR_MISSED * farPaceMs;
    return Math.max(MIN_LIVE_MS, missedMs);
  }
}
