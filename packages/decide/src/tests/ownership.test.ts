/** Ownership: even, near, a function of the sets, steady under churn. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as ownership from '../ownership.js';

const SEED = 413;
const RUNS = 100;

function sites(prefix: string, maxLength: number) {
  const site = fc.record({
    name: fc.nat(999).map(id => `${prefix}-${id}`),
    region: fc.constantFrom('north', 'south'),
    failureDomain: fc.constantFrom('a', 'b', 'c'),
  });
  return fc.uniqueArray(site, {selector: one => one.name, maxLength});
}

const endpoints = sites('engine', 24);
const routers = sites('router', 10);
const chosen = new ownership.RendezvousOwnership();

function near(endpoint: ownership.Site, router: ownership.Site): number {
  const region = Number(endpoint.region === router.region);
  const domain = Number(endpoint.failureDomain === router.failureDomain);
  return 2 * region + domain;
}

/** All pairs, the best first; a pair counts while both of it have room. */
function greedy(
  all: readonly ownership.Site[],
  by: readonly ownership.Site[],
): Map<string, string> {
  const most = Math.ceil(all.length / by.length);
  const pairs = all.flatMap(endpoint =>
    by.map(router => ({
      endpoint: endpoint.name,
      router: router.name,
      near: near(endpoint, router),
      score: core.score(endpoint.name, router.name),
    })),
  );
  pairs.sort((a, b) => b.near - a.near || b.score - a.score);
  const owners = new Map<string, string>();
  for (const {endpoint, router} of pairs) {
    const owned = [...owners.values()].filter(name => name === router).length;
    if (!owners.has(endpoint) && owned < most) owners.set(endpoint, router);
  }
  return owners;
}

function owners(table: ownership.OwnerTable): Map<string, string> {
  const entries = [...table].filter(([, order]) => order.length > 0);
  return new Map(entries.map(([name, order]) => [name, order[0]!]));
}

function counts(table: ownership.OwnerTable): Map<string, number> {
  const sums = new Map<string, number>();
  for (const owner of owners(table).values()) {
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
  it('gives the owners that a greedy choice over all pairs gives', () => {
    const property = fc.property(endpoints, routers, (all, by) => {
      const table = chosen.assign(all, by);
      chai
        .expect([...table.keys()].sort())
        .to.deep.equal(all.map(endpoint => endpoint.name).sort());
      chai
        .expect(new Map([...owners(table)].sort()))
        .to.deep.equal(new Map([...greedy(all, by)].sort()));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('depends on the sets only, not on their order', () => {
    const shuffled = fc.tuple(endpoints, routers).chain(([all, by]) =>
      fc.record({
        all: fc.constant(all),
        by: fc.constant(by),
        otherAll: fc.shuffledSubarray(all, {minLength: all.length}),
        otherBy: fc.shuffledSubarray(by, {minLength: by.length}),
      }),
    );
    const property = fc.property(shuffled, ({all, by, otherAll, otherBy}) => {
      const table = chosen.assign(all, by);
      const other = chosen.assign(otherAll, otherBy);
      chai.expect(new Map(other)).to.deep.equal(new Map(table));
      chai
        .expect(chosen.leader('claims-0', otherBy))
        .to.deep.equal(chosen.leader('claims-0', by));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('loads no router above its share and prefers the near ones', () => {
    const property = fc.property(endpoints, routers, (all, by) => {
      const most = Math.ceil(all.length / Math.max(1, by.length));
      const table = chosen.assign(all, by);
      const owned = counts(table);
      for (const count of owned.values()) {
        chai.expect(count).to.be.at.most(most);
      }
      for (const endpoint of all) {
        const order = table.get(endpoint.name)!;
        const owner = by.find(router => router.name === order[0]);
        if (!owner) continue;
        const nearer = by.filter(
          router => near(endpoint, router) > near(endpoint, owner),
        );
        for (const {name} of nearer) {
          chai.expect(owned.get(name)).to.equal(most);
        }
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('names the best other routers behind the owner, each once', () => {
    const property = fc.property(endpoints, routers, (all, by) => {
      for (const [name, order] of chosen.assign(all, by)) {
        const endpoint = all.find(one => one.name === name)!;
        const others = by
          .filter(router => router.name !== order[0])
          .sort(
            (a, b) =>
              near(endpoint, b) - near(endpoint, a) ||
              core.score(name, b.name) - core.score(name, a.name),
          );
        const expected = others.map(router => router.name).slice(0, 3);
        chai.expect(order.slice(1)).to.deep.equal(expected);
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('moves few endpoints when any one router goes', () => {
    const all = fleet('engine', 120);
    const by = fleet('router', 41);
    const before = owners(chosen.assign(all, by));
    let total = 0;
    for (const gone of by) {
      const left = by.filter(router => router !== gone);
      const after = owners(chosen.assign(all, left));
      const moved = all.filter(
        ({name}) => before.get(name) !== after.get(name),
      ).length;
      chai.expect(moved).to.be.at.most(all.length / 4);
      total += moved;
    }
    chai.expect(total / by.length).to.be.below((2 * all.length) / by.length);
  });

  it('evens out what plain scores leave uneven', () => {
    const all = fleet('engine', 120);
    const by = fleet('router', 40);
    const most = (table: ownership.OwnerTable) =>
      Math.max(...counts(table).values());
    const naive = new ownership.NaiveOwnership().assign(all, by);
    chai.expect(most(chosen.assign(all, by))).to.equal(3);
    chai.expect(most(naive)).to.be.above(3);
    chai
      .expect(naive.get('engine-0'))
      .to.deep.equal(chosen.leader('engine-0', by).slice(0, 4));
  });
});
