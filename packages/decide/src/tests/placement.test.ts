/** Placement: chats return to their endpoint, and churn moves few of them. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as memory from '../memory.js';
import * as placement from '../placement.js';

const SEED = 411;
const RUNS = 200;

const candidates = fc.uniqueArray(
  fc.record({
    name: fc.integer({min: 0, max: 99}).map(id => `engine-${id}`),
    inFlight: fc.nat(5),
    isSettled: fc.boolean(),
  }),
  {selector: candidate => candidate.name, maxLength: 12},
);
const chat = fc.nat(10_000).map(id => `chat-${id}`);

function settledCandidates(count: number): placement.Candidate[] {
  return Array.from({length: count}, (none, id) => ({
    name: `engine-${id}`,
    inFlight: 0,
    isSettled: true,
  }));
}

function createPlacement() {
  const chats = new memory.LruChatMemory({maxChats: 100});
  return {
    chats,
    rendezvous: new placement.RendezvousPlacement({memory: chats}),
  };
}

function names(choices: readonly placement.PlacementChoice[]): string[] {
  return choices.map(choice => choice.endpoint);
}

describe('placement', () => {
  it('ranks settled endpoints first, then by rendezvous score', () => {
    const {rendezvous} = createPlacement();
    const property = fc.property(candidates, chat, (pool, key) => {
      const model = [...pool].sort(
        (a, b) =>
          Number(b.isSettled) - Number(a.isSettled) ||
          core.rendezvousScore(key, b.name) - core.rendezvousScore(key, a.name),
      );
      const order = rendezvous.order({requestId: 'r', chat: key}, pool);
      chai
        .expect(names(order))
        .to.deep.equal(model.map(candidate => candidate.name));
      const reasons = pool.map((none, rank) => (rank === 0 ? 'home' : 'next'));
      chai.expect(order.map(choice => choice.reason)).to.deep.equal(reasons);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('puts the remembered endpoint first if it is a candidate', () => {
    const {chats, rendezvous} = createPlacement();
    const endpoint = fc.nat(99).map(id => `engine-${id}`);
    const property = fc.property(
      candidates,
      chat,
      endpoint,
      (pool, key, last) => {
        const request = {requestId: 'r', chat: key};
        const before = names(createPlacement().rendezvous.order(request, pool));
        chats.remember({chat: key, endpoint: last});
        const order = rendezvous.order(request, pool);
        const rest = before.filter(name => name !== last);
        const expected = before.includes(last) ? [last, ...rest] : before;
        chai.expect(names(order)).to.deep.equal(expected);
        const isMemory = order[0]?.reason === 'memory';
        chai.expect(isMemory).to.equal(before.includes(last));
        const home = order.find(choice => choice.reason === 'home')?.endpoint;
        const isHomeListed = before.length > 0 && before[0] !== last;
        chai.expect(home).to.equal(isHomeListed ? before[0] : undefined);
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('sends a call without a chat to the least loaded endpoint', () => {
    const {rendezvous} = createPlacement();
    const property = fc.property(candidates, chat, (pool, requestId) => {
      const order = rendezvous.order({requestId}, pool);
      const load = (name: string) =>
        pool.find(candidate => candidate.name === name)!.inFlight;
      const loads = names(order).map(load);
      chai.expect(loads).to.deep.equal([...loads].sort((a, b) => a - b));
      chai
        .expect(names(order).sort())
        .to.deep.equal(pool.map(candidate => candidate.name).sort());
      chai.expect(order.every(choice => choice.reason === 'least_load')).to.be
        .true;
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('moves only the chats of an endpoint that leaves, unlike round robin', () => {
    const {rendezvous} = createPlacement();
    const roundRobin = new placement.NaivePlacement();
    const all = settledCandidates(8);
    const rest = all.filter(candidate => candidate.name !== 'engine-3');
    let moved = 0;
    let changed = 0;
    for (let id = 0; id < 800; id++) {
      const request = {requestId: 'r', chat: `chat-${id}`};
      const before = rendezvous.order(request, all)[0]!.endpoint;
      const after = rendezvous.order(request, rest)[0]!.endpoint;
      chai.expect(after === before).to.equal(before !== 'engine-3');
      if (after !== before) moved += 1;
      const first = roundRobin.order(request, all)[0]!.endpoint;
      if (roundRobin.order(request, rest)[0]!.endpoint !== first) changed += 1;
    }
    chai.expect(moved).to.be.within(60, 140);
    chai.expect(changed).to.be.above(400);
  });

  it('uses the endpoints in turn in the baseline', () => {
    const roundRobin = new placement.NaivePlacement();
    const firstChoices = settledCandidates(3).map(
      () =>
        roundRobin.order({requestId: 'r'}, settledCandidates(3))[0]!.endpoint,
    );
    chai.expect(new Set(firstChoices).size).to.equal(3);
    chai.expect(roundRobin.order({requestId: 'r'}, [])).to.deep.equal([]);
  });
});
