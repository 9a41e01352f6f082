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

const SAME_REGION = 2;
const SAME_FAILURE_DOMAIN = 1;
const SCORE_RANGE = 2 ** 32;

/**
 * Owners by rendezvous score, the near ones first, evened out: no router owns
 * more than its even share, rounded up. Endpoints and routers choose each other
 * as in a stable matching, both by the same affinity, so that one result
 * follows from the sets and a change of them moves few endpoints.
 */
export class RendezvousOwnership implements Ownership {
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable {
    const ordered = byName(endpoints);
    const affinities = new Affinities(ordered, byName(routers));
    const owners = match(affinities);
    const table = new Map<string, readonly string[]>();
    ordered.forEach((endpoint, index) => {
      table.set(endpoint.name, affinities.following(index, owners[index]));
    });
    return table;
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

/**
 * Affinity of every endpoint to every router, by their indexes in name order:
 * nearness first, then rendezvous score; of equals the lower index goes first.
 */
class Affinities {
  /** Affinities of one endpoint after the other. */
  private readonly values: Float64Array;
  private readonly preferences: Array<Uint32Array | undefined>;

  constructor(
    readonly endpoints: readonly Site[],
    readonly routers: readonly Site[],
  ) {
    this.values = new Float64Array(endpoints.length * routers.length);
    this.preferences = new Array<undefined>(endpoints.length);
    // The same value as core.score, with the router hashed once only.
    const seeds = routers.map(router => core.hash32(router.name));
    let at = 0;
    for (const endpoint of endpoints) {
      for (const [index, router] of routers.entries()) {
        const score = core.hash32(endpoint.name, seeds[index]);
        this.values[at++] = nearness(endpoint, router) * SCORE_RANGE + score;
      }
    }
  }

  of(endpoint: number, router: number): number {
    return this.values[endpoint * this.routers.length + router]!;
  }

  /** The routers in the order in which the endpoint would have them. */
  preference(endpoint: number): Uint32Array {
    return (this.preferences[endpoint] ??= this.sorted(endpoint));
  }

  /** The owner's name, then the names of the best others. */
  following(endpoint: number, owner: number | undefined): string[] {
    if (owner === undefined) return [];
    const best = this.preference(endpoint).slice(0, MAX_ORDER);
    const others = [...best].filter(router => router !== owner);
    const order = [owner, ...others].slice(0, MAX_ORDER);
    return order.map(router => this.routers[router]!.name);
  }

  private sorted(endpoint: number): Uint32Array {
    const order = Uint32Array.from(this.routers.keys());
    return order.sort(
      (a, b) => this.of(endpoint, b) - this.of(endpoint, a) || a - b,
    );
  }
}

function nearness(endpoint: Site, router: Site): number {
  const isRegion = endpoint.region === router.region;
  const isDomain = endpoint.failureDomain === router.failureDomain;
  return (isRegion ? SAME_REGION : 0) + (isDomain ? SAME_FAILURE_DOMAIN : 0);
}

/**
 * Deferred acceptance: each endpoint asks routers in its order of preference;
 * a router that is full keeps the endpoints with the highest affinity.
 */
function match(affinities: Affinities): ReadonlyArray<number | undefined> {
  const {endpoints, routers} = affinities;
  const owners = new Array<number | undefined>(endpoints.length);
  if (routers.length === 0) return owners;
  const most = Math.ceil(endpoints.length / routers.length);
  const asked = new Uint32Array(endpoints.length);
  const owned = routers.map((): number[] => []);
  const homeless = [...endpoints.keys()];
  for (let one = homeless.pop(); one !== undefined; one = homeless.pop()) {
    const router = affinities.preference(one)[asked[one]!]!;
    asked[one]! += 1;
    owners[one] = router;
    owned[router]!.push(one);
    if (owned[router]!.length <= most) continue;
    const loser = dropLast(owned[router]!, router, affinities);
    owners[loser] = undefined;
    homeless.push(loser);
  }
  return owners;
}

/** Takes out the endpoint with the lowest affinity to the router. */
function dropLast(
  owned: number[],
  router: number,
  affinities: Affinities,
): number {
  let last = 0;
  for (let at = 1; at < owned.length; at++) {
    const here = affinities.of(owned[at]!, router);
    const least = affinities.of(owned[last]!, router);
    const isTie = here === least && owned[at]! > owned[last]!;
    if (here < least || isTie) last = at;
  }
  return owned.splice(last, 1)[0]!;
}
