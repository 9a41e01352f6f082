/**
 * Ownership: which router alone sends to which endpoint. Every router computes
 * the same table from the same lists, without a message.
 */
import * as core from '@oleanderrock/core';

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

/** Routers named for each endpoint: its owner and those who would follow. */
const MAX_ORDER = 4;

/** Nearness of a router that shares region and failure domain, and less. */
const NEARNESS = {both: 3, region: 2, failureDomain: 1, neither: 0} as const;

const SCORE_RANGE = 2 ** 32;
const MAX_ROUTERS = 2 ** 20;

/**
 * Owners by rendezvous score, the near ones first, evened out: no router owns
 * more than its even share, rounded up. Endpoints and routers choose each other
 * as in a stable matching, both by the same affinity, so that one result
 * follows from the sets and a change of them moves few endpoints.
 */
export class RendezvousOwnership implements Ownership {
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable {
    const ordered = byName(endpoints);
    const groups = new RouterGroups(byName(routers));
    const preferences = ordered.map(
      (site, index) => new Preference(index, site.name, groups.tiers(site)),
    );
    const owners = match(preferences, routers.length);
    return new Map(
      ordered.map(({name}, index) => [
        name,
        groups.names(preferences[index]!.following(owners[index])),
      ]),
    );
  }

  leader(task: string, routers: readonly Site[]): readonly string[] {
    return rankNames(task, routers);
  }
}

/** Owners by plain rendezvous score, wherever they stand and own. */
export class NaiveOwnership implements Ownership {
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable {
    return new Map(
      endpoints.map(({name}) => [
        name,
        rankNames(name, routers).slice(0, MAX_ORDER),
      ]),
    );
  }

  leader(task: string, routers: readonly Site[]): readonly string[] {
    return rankNames(task, routers);
  }
}

function rankNames(key: string, routers: readonly Site[]): string[] {
  return core.rank(
    key,
    routers.map(router => router.name),
  );
}

function byName(sites: readonly Site[]): Site[] {
  return [...sites].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** A router by its index in name order, with the hash that seeds its scores. */
interface Seeded {
  readonly index: number;
  readonly seed: number;
}

/** Routers that are equally near to an endpoint. */
interface Tier {
  readonly nearness: number;
  readonly routers: readonly Seeded[];
}

/** The routers by their nearness to a place; most endpoints share a place. */
class RouterGroups {
  private readonly seeded: readonly Seeded[];
  private readonly known = new Map<string, readonly Tier[]>();

  constructor(private readonly routers: readonly Site[]) {
    this.seeded = routers.map((router, index) => ({
      index,
      seed: core.hash32(router.name),
    }));
  }

  /** The routers around a site, the nearest tier first. */
  tiers(site: Site): readonly Tier[] {
    const place = JSON.stringify([site.region, site.failureDomain]);
    const known = this.known.get(place);
    if (known) return known;
    const near = this.routers.map(router => nearness(site, router));
    const tiers = Object.values(NEARNESS).map(value => ({
      nearness: value,
      routers: this.seeded.filter(({index}) => near[index] === value),
    }));
    this.known.set(place, tiers);
    return tiers;
  }

  names(indexes: readonly number[]): string[] {
    return indexes.map(index => this.routers[index]!.name);
  }
}

function nearness(endpoint: Site, router: Site): number {
  const isDomain = endpoint.failureDomain === router.failureDomain;
  if (endpoint.region === router.region) {
    return isDomain ? NEARNESS.both : NEARNESS.region;
  }
  return isDomain ? NEARNESS.failureDomain : NEARNESS.neither;
}

/** One endpoint that asks one router, both by their indexes in name order. */
interface Offer {
  readonly endpoint: number;
  readonly router: number;
  /** Nearness, then rendezvous score; the same for either side. */
  readonly affinity: number;
}

/**
 * The routers in the order in which one endpoint would have them. Tiers are
 * scored when they are first reached, as most endpoints stay in the nearest.
 */
class Preference {
  /** Router keys of the reached tiers, each tier's best first. */
  private readonly keys: Float64Array[] = [];

  constructor(
    private readonly endpoint: number,
    private readonly name: string,
    private readonly tiers: readonly Tier[],
  ) {}

  /** The offer at a place of the order; undefined past the last router. */
  at(place: number): Offer | undefined {
    let before = 0;
    for (const [at, tier] of this.tiers.entries()) {
      const next = before + tier.routers.length;
      if (place < next) return this.offer(at, place - before);
      before = next;
    }
    return undefined;
  }

  /** The owner, then the best others. */
  following(owner: number | undefined): number[] {
    if (owner === undefined) return [];
    const order = [owner];
    for (let place = 0; order.length < MAX_ORDER; place++) {
      const offer = this.at(place);
      if (!offer) break;
      if (offer.router !== owner) order.push(offer.router);
    }
    return order;
  }

  private offer(tier: number, place: number): Offer {
    const {nearness, routers} = this.tiers[tier]!;
    const keys = (this.keys[tier] ??= sortedKeys(this.name, routers));
    const key = keys[place]!;
    const score = Math.floor(key / MAX_ROUTERS);
    return {
      endpoint: this.endpoint,
      router: MAX_ROUTERS - 1 - (key % MAX_ROUTERS),
      affinity: nearness * SCORE_RANGE + score,
    };
  }
}

/**
 * Score and index of each router in one number, the best first; of equal
 * scores the lower index. An array of numbers sorts far faster than objects.
 */
function sortedKeys(name: string, routers: readonly Seeded[]): Float64Array {
  const keys = new Float64Array(routers.length);
  for (let at = 0; at < keys.length; at++) {
    const {index, seed} = routers[at]!;
    const score = core.hash32(name, seed);
    keys[at] = score * MAX_ROUTERS + (MAX_ROUTERS - 1 - index);
  }
  return keys.sort().reverse();
}

/**
 * Deferred acceptance: each endpoint asks routers in its order of preference;
 * a router that is full keeps the endpoints with the highest affinity.
 */
function match(
  preferences: readonly Preference[],
  routers: number,
): ReadonlyArray<number | undefined> {
  const owners = new Array<number | undefined>(preferences.length);
  if (routers === 0) return owners;
  const most = Math.ceil(preferences.length / routers);
  const owned = Array.from({length: routers}, (): Offer[] => []);
  const asked = preferences.map(() => 0);
  const waiting = [...preferences.keys()];
  for (let one = waiting.pop(); one !== undefined; one = waiting.pop()) {
    const offer = preferences[one]!.at(asked[one]!++)!;
    owners[one] = offer.router;
    const held = owned[offer.router]!;
    held.push(offer);
    if (held.length <= most) continue;
    const loser = dropLast(held);
    owners[loser] = undefined;
    waiting.push(loser);
  }
  return owners;
}

/** Takes out the offer that the router likes least; returns its endpoint. */
function dropLast(held: Offer[]): number {
  let last = 0;
  for (const [at, offer] of held.entries()) {
    if (isBefore(held[last]!, offer)) last = at;
  }
  return held.splice(last, 1)[0]!.endpoint;
}

function isBefore(left: Offer, right: Offer): boolean {
  if (left.affinity !== right.affinity) return left.affinity > right.affinity;
  return left.endpoint < right.endpoint;
}

/** Options of the local ownership. */
export interface LocalOwnershipOptions {
  /** The router that takes itself for the owner of everything. */
  readonly router: string;
}

/** Every router serves every endpoint itself: the baseline without owners. */
export class LocalOwnership implements Ownership {
  constructor(private readonly options: LocalOwnershipOptions) {}

  assign(endpoints: readonly Site[]): OwnerTable {
    const {router} = this.options;
    return new Map(endpoints.map(endpoint => [endpoint.name, [router]]));
  }

  leader(): readonly string[] {
    return [this.options.router];
  }
}
