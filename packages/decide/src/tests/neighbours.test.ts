/** Neighbours: limited in number, each router watched, few changes. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as neighbours from '../neighbours.js';

const {expect} = chai;

const LIMIT = 32;
const ROUTERS = 410;
const POOL_OWNERS = 50;
const SEED = 7;

type Choose = (
  self: string,
  routers: readonly string[],
  poolPeers: readonly string[],
) => neighbours.NeighbourSelection;

const names = (count: number) =>
  [...Array(count).keys()].map(index => `r${index}`);

const bounded = new neighbours.BoundedNeighbours({limit: LIMIT});

/** Pool peers by router: pools of `POOL_OWNERS` routers, about two for each. */
function createPoolPeers(routers: readonly string[]): Map<string, string[]> {
  const random = new core.SeededRandom(SEED);
  const all = new Map(routers.map(name => [name, new Set<string>()]));
  for (let pool = 0; pool < (2 * ROUTERS) / POOL_OWNERS; pool += 1) {
    const owners = Array.from(
      {length: POOL_OWNERS},
      () => routers[random.nextInt(routers.length)]!,
    );
    for (const owner of owners) {
      for (const peer of owners) if (peer !== owner) all.get(owner)!.add(peer);
    }
  }
  return new Map([...all].map(([name, peers]) => [name, [...peers]]));
}

/** The selection of every router. */
function chooseAll(
  routers: readonly string[],
  peers: ReadonlyMap<string, string[]>,
): Map<string, neighbours.NeighbourSelection> {
  const choose: Choose = (...args) => bounded.select(...args);
  return new Map(
    routers.map(self => {
      const others = routers.filter(name => name !== self);
      const poolPeers = (peers.get(self) ?? []).filter(name => name !== self);
      return [self, choose(self, others, poolPeers)];
    }),
  );
}

describe('neighbours', () => {
  const routers = names(ROUTERS);
  const peers = createPoolPeers(routers);
  const selections = chooseAll(routers, peers);

  it('sends to all others in a small fleet, and watches all', () => {
    const others = names(LIMIT);
    const selection = bounded.select('self', others, []);
    expect(selection.receivers).to.have.members(others);
    expect(selection.watched).to.have.members(others);
  });

  it('chooses no more receivers than the limit, never itself, and none twice', () => {
    for (const [self, {receivers}] of selections) {
      expect(receivers.length).to.be.at.most(LIMIT);
      expect(new Set(receivers).size).to.equal(receivers.length);
      expect(receivers).to.not.include(self);
    }
  });

  it('chooses as many receivers as small limits allow, and watches some', () => {
    for (const limit of [2, 3, 4, 5, 8]) {
      const limited = new neighbours.BoundedNeighbours({limit});
      const selection = limited.select(
        'self',
        routers,
        routers.slice(0, POOL_OWNERS),
      );
      expect(selection.receivers.length, `limit ${limit}`).to.equal(limit);
      expect(selection.watched, `limit ${limit}`).to.not.deep.equal([]);
    }
  });

  it('has every router watched by several others', () => {
    const watchers = new Map(routers.map(name => [name, 0]));
    for (const {watched} of selections.values()) {
      for (const name of watched) watchers.set(name, watchers.get(name)! + 1);
    }
    expect(Math.min(...watchers.values())).to.be.at.least(LIMIT / 4);
  });

  it('watches only routers that send digests to this one', () => {
    const nonSenders: string[] = [];
    for (const [self, {watched}] of selections) {
      for (const name of watched) {
        const isReceiver = selections.get(name)!.receivers.includes(self);
        if (!isReceiver) nonSenders.push(`${name}, watched by ${self}`);
      }
    }
    expect(nonSenders).to.deep.equal([]);
  });

  it('fills at least half of the receivers with pool peers if it can', () => {
    for (const [self, {receivers}] of selections) {
      const poolPeers = peers.get(self)!;
      const chosenPeers = receivers.filter(name => poolPeers.includes(name));
      const expected = Math.min(poolPeers.length, LIMIT / 2);
      expect(chosenPeers.length).to.be.at.least(expected);
    }
  });

  it('changes few receivers when a router leaves', () => {
    const [leaving = '', ...remaining] = routers;
    const after = chooseAll(remaining, peers);
    let changed = 0;
    for (const [self, {receivers}] of after) {
      const before = selections.get(self)!.receivers;
      const added = receivers.filter(name => !before.includes(name));
      expect(added.length, self).to.be.at.most(1);
      expect(receivers).to.not.include(leaving);
      changed += added.length;
    }
    expect(changed).to.be.within(1, 2 * LIMIT);
  });

  it('sends to all others in the baseline, however large the fleet', () => {
    const baseline = new neighbours.AllNeighbours();
    const {receivers} = baseline.select('r0', routers);
    expect(receivers.length).to.equal(ROUTERS - 1);
  });
});
