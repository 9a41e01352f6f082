/**
 * Ownership: each endpoint has one owner, the only router that sends requests
 * to it. Every router computes the same table from the same lists, without
 * exchanging messages.
 */
import * as core from '@oleanderrock/core';

/** A router or an endpoint, with its location. */
export interface Site {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** By endpoint name: the owner, then the next routers in its ranking. */
export type OwnerTable = ReadonlyMap<string, readonly string[]>;

/** Strategy that assigns an owner to each endpoint. */
export interface Ownership {
  /** Owner table for the live routers; with empty lists if there are none. */
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable;
  /**
   * Routers in order of precedence for a task that one router of the fleet
   * runs, such as a claim stream; the first one leads it.
   */
  rankLeaders(task: string, routers: readonly Site[]): readonly string[];
}

/** Maximum number of routers listed for an endpoint, its owner included. */
const MAX_LISTED = 4;

/** Nearness of a router to an endpoint, by what their locations share. */
const NEARNESS = {both: 3, region: 2, failureDomain: 1, neither: 0} as const;

/** Number of different rendezvous scores (32-bit hashes). */
const SCORE_RANGE = 2 ** 32;
/** Maximum number of routers, so that a score and an index fit in 53 bits. */
const MAX_ROUTERS = 2 ** 20;

/**
 * Prefers near routers, then those with the highest rendezvous score, with a
 * limit: no router owns more than an equal share, rounded up. The assignment is
 * a stable matching in which endpoints and routers use the same affinity, so
 * that it is unique for given endpoints and routers, and moves few endpoints
 * when these change.
 */
export class RendezvousOwnership implements Ownership {
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable {
    const sortedEndpoints = sortByName(endpoints);
    const routerTiers = new RouterTiers(sortByName(routers));
    const preferences = sortedEndpoints.map(
      (site, index) =>
        new Preference(index, site.name, routerTiers.tiers(site)),
    );
    const owners = assignOwners(preferences, routers.length);
    return new Map(
      sortedEndpoints.map(({name}, index) => [
        name,
        routerTiers.names(preferences[index]!.ownerOrder(owners[index])),
      ]),
    );
  }

  rankLeaders(task: string, routers: readonly Site[]): readonly string[] {
    return rankNames(task, routers);
  }
}

/** Baseline: rendezvous score only, ignoring nearness and equal shares. */
export class NaiveOwnership implements Ownership {
  assign(endpoints: readonly Site[], routers: readonly Site[]): OwnerTable {
    return new Map(
      endpoints.map(({name}) => [
        name,
        rankNames(name, routers).slice(0, MAX_LISTED),
      ]),
    );
  }

  rankLeaders(task: string, routers: readonly Site[]): readonly string[] {
    return rankNames(task, routers);
  }
}

function rankNames(key: string, routers: readonly Site[]): string[] {
  return core.rankNodes(
    key,
    routers.map(router => router.name),
  );
}

function sortByName(sites: readonly Site[]): Site[] {
  return [...sites].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** A router's index in name order, and the hash that seeds its scores. */
interface IndexedRouter {
  readonly index: number;
  readonly seed: number;
}

/** Routers that are equally near to a location. */
interface Tier {
  readonly nearness: number;
  readonly routers: readonly IndexedRouter[];
}

/** Tiers of routers by location, cached since most endpoints share one. */
class RouterTiers {
  private readonly indexedRouters: readonly IndexedRouter[];
  private readonly cache = new Map<string, readonly Tier[]>();

  constructor(private readonly routers: readonly Site[]) {
    this.indexedRouters = routers.map((router, index) => ({
      index,
      seed: core.hash32(router.name),
    }));
  }

  /** The routers in tiers by nearness to the site, the nearest first. */
  tiers(site: Site): readonly Tier[] {
    const location = JSON.stringify([site.region, site.failureDomain]);
    const cached = this.cache.get(location);
    if (cached) return cached;
    const nearnessByIndex = this.routers.map(router => nearness(site, router));
    const tiers = Object.values(NEARNESS).map(value => ({
      nearness: value,
      routers: this.indexedRouters.filter(
        ({index}) => nearnessByIndex[index] === value,
      ),
    }));
    this.cache.set(location, tiers);
    return tiers;
  }

  names(indexes: readonly number[]): string[] {
    return indexes.map(index => this.routers[index]!.name);
  }
}

function nearness(endpoint: Site, router: Site): number {
  const isSameDomain = endpoint.failureDomain === router.failureDomain;
  if (endpoint.region === router.region) {
    return isSameDomain ? NEARNESS.both : NEARNESS.region;
  }
  return isSameDomain ? NEARNESS.failureDomain : NEARNESS.neither;
}

/** An endpoint's proposal to a router; both by their index in name order. */
interface Proposal {
  readonly endpoint: number;
  readonly router: number;
  /** Nearness, then rendezvous score; the same for both sides. */
  readonly affinity: number;
}

/**
 * One endpoint's ranking of the routers. A tier is sorted only when its first
 * router is needed, since most endpoints find an owner in the nearest tier.
 */
class Preference {
  /** Sort keys of the tiers sorted so far, in descending order. */
  private readonly keys: Float64Array[] = [];

  constructor(
    private readonly endpoint: number,
    private readonly name: string,
    private readonly tiers: readonly Tier[],
  ) {}

  /** The proposal at a rank, from 0; undefined beyond the last router. */
  proposalAt(rank: number): Proposal | undefined {
    let tierStart = 0;
    for (const [index, tier] of this.tiers.entries()) {
      const tierEnd = tierStart + tier.routers.length;
      if (rank < tierEnd) return this.createProposal(index, rank - tierStart);
      tierStart = tierEnd;
    }
    return undefined;
  }

  /** The owner, then the highest-ranked other routers. */
  ownerOrder(owner: number | undefined): number[] {
    if (owner === undefined) return [];
    const order = [owner];
    for (let rank = 0; order.length < MAX_LISTED; rank++) {
      const proposal = this.proposalAt(rank);
      if (!proposal) break;
      if (proposal.router !== owner) order.push(proposal.router);
    }
    return order;
  }

  private createProposal(tier: number, rank: number): Proposal {
    const {nearness, routers} = this.tiers[tier]!;
    const keys = (this.keys[tier] ??= sortedKeys(this.name, routers));
    const key = keys[rank]!;
    const score = Math.floor(key / MAX_ROUTERS);
    return {
      endpoint: this.endpoint,
      router: MAX_ROUTERS - 1 - (key % MAX_ROUTERS),
      affinity: nearness * SCORE_RANGE + score,
    };
  }
}

/**
 * Sort keys of the routers, in descending order. A key packs a router's score
 * and index into one number, since numbers sort far faster than objects. Among
 * equal scores, the lower index comes first.
 */
function sortedKeys(
  name: string,
  routers: readonly IndexedRouter[],
): Float64Array {
  const keys = new Float64Array(routers.length);
  for (let position = 0; position < keys.length; position++) {
    const {index, seed} = routers[position]!;
    const score = core.hash32(name, seed);
    keys[position] = score * MAX_ROUTERS + (MAX_ROUTERS - 1 - index);
  }
  return keys.sort().reverse();
}

/**
 * Deferred acceptance (Gale-Shapley): endpoints propose to routers in order of
 * preference; a full router keeps the endpoints with the highest affinity.
 * @returns the owner of each endpoint, by index; undefined if there is none
 */
function assignOwners(
  preferences: readonly Preference[],
  routerCount: number,
): ReadonlyArray<number | undefined> {
  const owners = new Array<number | undefined>(preferences.length);
  if (routerCount === 0) return owners;
  const capacity = Math.ceil(preferences.length / routerCount);
  const acceptedByRouter = Array.from(
    {length: routerCount},
    (): Proposal[] => [],
  );
  const nextRanks = preferences.map(() => 0);
  const unmatched = [...preferences.keys()];
  for (
    let endpoint = unmatched.pop();
    endpoint !== undefined;
    endpoint = unmatched.pop()
  ) {
    const proposal = preferences[endpoint]!.proposalAt(nextRanks[endpoint]!++)!;
    owners[endpoint] = proposal.router;
    const accepted = acceptedByRouter[proposal.router]!;
    accepted.push(proposal);
    if (accepted.length <= capacity) continue;
    const rejected = removeWorst(accepted);
    owners[rejected] = undefined;
    unmatched.push(rejected);
  }
  return owners;
}

/** Removes the router's least preferred proposal; returns its endpoint. */
function removeWorst(proposals: Proposal[]): number {
  let worst = 0;
  for (const [index, proposal] of proposals.entries()) {
    if (isPreferred(proposals[worst]!, proposal)) worst = index;
  }
  return proposals.splice(worst, 1)[0]!.endpoint;
}

function isPreferred(left: Proposal, right: Proposal): boolean {
  if (left.affinity !== right.affinity) return left.affinity > right.affinity;
  return left.endpoint < right.endpoint;
}

/** Options of `LocalOwnership`. */
export interface LocalOwnershipOptions {
  /** Name of this router, which counts as the owner of every endpoint. */
  readonly router: string;
}

/** Baseline without owners: every router sends to every endpoint itself. */
export class LocalOwnership implements Ownership {
  constructor(private readonly options: LocalOwnershipOptions) {}

  assign(endpoints: readonly Site[]): OwnerTable {
    const {router} = this.options;
    return new Map(endpoints.map(endpoint => [endpoint.name, [router]]));
  }

  rankLeaders(): readonly string[] {
    return [this.options.router];
  }
}
