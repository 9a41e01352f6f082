/** Ownership: even, near, independent of order, and stable under churn. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as ownership from '../ownership.js';

const SEED = 413;
const RUNS = 100;

function sitesOf(prefix: string, maxLength: number) {
  const site = fc.record({
    name: fc.nat(999).map(id => `${prefix}-${id}`),
    region: fc.constantFrom('north', 'south'),
    failureDomain: fc.constantFrom('a', 'b', 'c'),
  });
  return fc.uniqueArray(site, {selector: site => site.name, maxLength});
}

const endpointSets = sitesOf('engine', 24);
const routerSets = sitesOf('router', 10);
const rendezvous = new ownership.RendezvousOwnership();

function nearness(endpoint: ownership.Site, router: ownership.Site): number {
  const region = Number(endpoint.region === router.region);
  const domain = Number(endpoint.failureDomain === router.failureDomain);
  return 2 * region + domain;
}

/** Model: matches all pairs in order of affinity, if both are still free. */
function greedyOwners(
  endpoints: readonly ownership.Site[],
  routers: readonly ownership.Site[],
): Map<string, string> {
  const capacity = Math.ceil(endpoints.length / routers.length);
  const pairs = endpoints.flatMap(endpoint =>
    routers.map(router => ({
      endpoint: endpoint.name,
      router: router.name,
      nearness: nearness(endpoint, router),
      score: core.rendezvousScore(endpoint.name, router.name),
    })),
  );
  pairs.sort((a, b) => b.nearness - a.nearness || b.score - a.score);
  const owners = new Map<string, string>();
  for (const {endpoint, router} of pairs) {
    const owned = [...owners.values()].filter(name => name === router).length;
    if (!owners.has(endpoint) && owned < capacity) owners.set(endpoint, router);
  }
  return owners;
}

function ownersOf(table: ownership.OwnerTable): Map<string, string> {
  const entries = [...table].filter(([, order]) => order.length > 0);
  return new Map(entries.map(([name, order]) => [name, order[0]!]));
}

function ownedCounts(table: ownership.OwnerTable): Map<string, number> {
  const sums = new Map<string, number>();
  for (const owner of ownersOf(table).values()) {
    sums.set(owner, (sums.get(owner) ?? 0) + 1);
  }
  return sums;
}

function fleet(prefix: string, count: number): ownership.Site[] {
  return Array.from({length: count}, (none, id) => ({
    name: `${prefix}-${id}`,
    region: 'north',
    failureDomain: `north-${id % 3}`,
  }));
}

describe('ownership', () => {
  it('assigns the same owners as a greedy choice over all pairs', () => {
    const property = fc.property(
      endpointSets,
      routerSets,
      (endpoints, routers) => {
        const table = rendezvous.assign(endpoints, routers);
        chai
          .expect([...table.keys()].sort())
          .to.deep.equal(endpoints.map(endpoint => endpoint.name).sort());
        chai
          .expect(new Map([...ownersOf(table)].sort()))
          .to.deep.equal(new Map([...greedyOwners(endpoints, routers)].sort()));
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('does not depend on the order of endpoints and routers', () => {
    const shuffled = fc
      .tuple(endpointSets, routerSets)
      .chain(([endpoints, routers]) =>
        fc.record({
          endpoints: fc.constant(endpoints),
          routers: fc.constant(routers),
          shuffledEndpoints: fc.shuffledSubarray(endpoints, {
            minLength: endpoints.length,
          }),
          shuffledRouters: fc.shuffledSubarray(routers, {
            minLength: routers.length,
          }),
        }),
      );
    const property = fc.property(
      shuffled,
      ({endpoints, routers, shuffledEndpoints, shuffledRouters}) => {
        const table = rendezvous.assign(endpoints, routers);
        const other = rendezvous.assign(shuffledEndpoints, shuffledRouters);
        chai.expect(new Map(other)).to.deep.equal(new Map(table));
        chai
          .expect(rendezvous.rankLeaders('claims-0', shuffledRouters))
          .to.deep.equal(rendezvous.rankLeaders('claims-0', routers));
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('gives no router more than an equal share, and prefers near ones', () => {
    const property = fc.property(
      endpointSets,
      routerSets,
      (endpoints, routers) => {
        const capacity = Math.ceil(
          endpoints.length / Math.max(1, routers.length),
        );
        const table = rendezvous.assign(endpoints, routers);
        const owned = ownedCounts(table);
        for (const count of owned.values()) {
          chai.expect(count).to.be.at.most(capacity);
        }
        for (const endpoint of endpoints) {
          const order = table.get(endpoint.name)!;
          const owner = routers.find(router => router.name === order[0]);
          if (!owner) continue;
          const nearer = routers.filter(
            router => nearness(endpoint, router) > nearness(endpoint, owner),
          );
          for (const {name} of nearer) {
            chai.expect(owned.get(name)).to.equal(capacity);
          }
        }
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('lists the highest-ranked other routers after the owner, each once', () => {
    const property = fc.property(
      endpointSets,
      routerSets,
      (endpoints, routers) => {
        for (const [name, order] of rendezvous.assign(endpoints, routers)) {
          const endpoint = endpoints.find(site => site.name === name)!;
          const others = routers
            .filter(router => router.name !== order[0])
            .sort(
              (a, b) =>
                nearness(endpoint, b) - nearness(endpoint, a) ||
                core.rendezvousScore(name, b.name) -
                  core.rendezvousScore(name, a.name),
            );
          const expected = others.map(router => router.name).slice(0, 3);
          chai.expect(order.slice(1)).to.deep.equal(expected);
        }
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('moves few endpoints when any one router leaves', () => {
    const endpoints = fleet('engine', 120);
    const routers = fleet('router', 41);
    const before = ownersOf(rendezvous.assign(endpoints, routers));
    let total = 0;
    for (const leaving of routers) {
      const remaining = routers.filter(router => router !== leaving);
      const after = ownersOf(rendezvous.assign(endpoints, remaining));
      const moved = endpoints.filter(
        ({name}) => before.get(name) !== after.get(name),
      ).length;
      chai.expect(moved).to.be.at.most(endpoints.length / 4);
      total += moved;
    }
    chai
      .expect(total / routers.length)
      .to.be.below((2 * endpoints.length) / routers.length);
  });

  it('assigns equal shares where plain rendezvous scores do not', () => {
    const endpoints = fleet('engine', 120);
    const routers = fleet('router', 40);
    const maxOwned = (table: ownership.OwnerTable) =>
      Math.max(...ownedCounts(table).values());
    const naive = new ownership.NaiveOwnership().assign(endpoints, routers);
    chai.expect(maxOwned(rendezvous.assign(endpoints, routers))).to.equal(3);
    chai.expect(maxOwned(naive)).to.be.above(3);
    chai
      .expect(naive.get('engine-0'))
      .to.deep.equal(rendezvous.rankLeaders('engine-0', routers).slice(0, 4));
  });
});
