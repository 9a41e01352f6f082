/** Neighbours: within the limit, everyone is watched, few change. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as neighbours from '../neighbours.js';

const {expect} = chai;

const LIMIT = 32;
const ROUTERS = 410;
const MATES = 50;
const SEED = 7;

type Choose = (
  self: string,
  routers: readonly string[],
  mates: readonly string[],
) => neighbours.Neighbourhood;

const names = (count: number) =>
  [...Array(count).keys()].map(index => `r${index}`);

const bounded = new neighbours.BoundedNeighbours({limit: LIMIT});

/** Pools of `MATES` routers, two of which overlap in each router. */
function createMates(routers: readonly string[]): Map<string, string[]> {
  const random = new core.SeededRandom(SEED);
  const mates = new Map(routers.map(name => [name, new Set<string>()]));
  for (let pool = 0; pool < (2 * ROUTERS) / MATES; pool += 1) {
    const owners = Array.from(
      {length: MATES},
      () => routers[random.below(routers.length)]!,
    );
    for (const one of owners) {
      for (const other of owners) if (other !== one) mates.get(one)!.add(other);
    }
  }
  return new Map([...mates].map(([name, all]) => [name, [...all]]));
}

/** What every router chooses. */
function chooseAll(
  routers: readonly string[],
  mates: ReadonlyMap<string, string[]>,
): Map<string, neighbours.Neighbourhood> {
  const choose: Choose = (...args) => bounded.select(...args);
  return new Map(
    routers.map(self => {
      const others = routers.filter(name => name !== self);
      const known = (mates.get(self) ?? []).filter(name => name !== self);
      return [self, choose(self, others, known)];
    }),
  );
}

describe('neighbours', () => {
  const routers = names(ROUTERS);
  const mates = createMates(routers);
  const all = chooseAll(routers, mates);

  it('sends to all others in a small fleet, and expects all', () => {
    const others = names(LIMIT);
    const chosen = bounded.select('self', others, []);
    expect(chosen.receivers).to.have.members(others);
    expect(chosen.watched).to.have.members(others);
  });

  it('never chooses more than the limit, nor itself, nor one twice', () => {
    for (const [self, {receivers}] of all) {
      expect(receivers.length).to.be.at.most(LIMIT);
      expect(new Set(receivers).size).to.equal(receivers.length);
      expect(receivers).to.not.include(self);
    }
  });

  it('keeps small limits too', () => {
    for (const limit of [2, 3, 4, 5, 8]) {
      const own = new neighbours.BoundedNeighbours({limit});
      const chosen = own.select('self', routers, routers.slice(0, MATES));
      expect(chosen.receivers.length, `limit ${limit}`).to.equal(limit);
      expect(chosen.watched, `limit ${limit}`).to.not.deep.equal([]);
    }
  });

  it('has every router watched by several others', () => {
    const watchers = new Map(routers.map(name => [name, 0]));
    for (const {watched} of all.values()) {
      for (const name of watched) watchers.set(name, watchers.get(name)! + 1);
    }
    expect(Math.min(...watchers.values())).to.be.at.least(LIMIT / 4);
  });

  it('expects digests of none that does not send any', () => {
    const silent: string[] = [];
    for (const [self, {watched}] of all) {
      for (const name of watched) {
        const isSent = all.get(name)!.receivers.includes(self);
        if (!isSent) silent.push(`${self} waits for ${name}`);
      }
    }
    expect(silent).to.deep.equal([]);
  });

  it('gives pool mates half of the receivers', () => {
    for (const [self, {receivers}] of all) {
      const known = mates.get(self)!;
      const told = receivers.filter(name => known.includes(name));
      const most = Math.min(known.length, LIMIT / 2);
      expect(told.length).to.be.at.least(most);
    }
  });

  it('changes a few choices when one router goes', () => {
    const [gone = '', ...left] = routers;
    const after = chooseAll(left, mates);
    let changed = 0;
    for (const [self, {receivers}] of after) {
      const before = all.get(self)!.receivers;
      const fresh = receivers.filter(name => !before.includes(name));
      expect(fresh.length, self).to.be.at.most(1);
      expect(receivers).to.not.include(gone);
      changed += fresh.length;
    }
    expect(changed).to.be.within(1, 2 * LIMIT);
  });

  it('grows with the fleet where every router sends to every other', () => {
    const naive = new neighbours.AllNeighbours();
    const {receivers} = naive.select('r0', routers);
    expect(receivers.length).to.equal(ROUTERS - 1);
  });
});
