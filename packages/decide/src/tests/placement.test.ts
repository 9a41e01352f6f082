/** Placement: chats return, churn moves only its share, naive turns do not. */
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

function settled(count: number): placement.Candidate[] {
  return Array.from({length: count}, (none, id) => ({
    name: `engine-${id}`,
    inFlight: 0,
    isSettled: true,
  }));
}

function make() {
  const chats = new memory.LruChatMemory({maxChats: 100});
  return {
    chats,
    chosen: new placement.RendezvousPlacement({memory: chats}),
  };
}

function names(choices: readonly placement.Choice[]): string[] {
  return choices.map(choice => choice.endpoint);
}

describe('placement', () => {
  it('ranks as a plain sort by settled and score does', () => {
    const {chosen} = make();
    const property = fc.property(candidates, chat, (pool, key) => {
      const model = [...pool].sort(
        (a, b) =>
          Number(b.isSettled) - Number(a.isSettled) ||
          core.score(key, b.name) - core.score(key, a.name),
      );
      const order = chosen.order({requestId: 'r', chat: key}, pool);
      chai
        .expect(names(order))
        .to.deep.equal(model.map(candidate => candidate.name));
      const reasons = pool.map((one, at) => (at === 0 ? 'home' : 'next'));
      chai.expect(order.map(one => one.reason)).to.deep.equal(reasons);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('puts the remembered endpoint first only if it is a candidate', () => {
    const {chats, chosen} = make();
    const endpoint = fc.nat(99).map(id => `engine-${id}`);
    const property = fc.property(candidates, chat, endpoint, (pool, key, e) => {
      const request = {requestId: 'r', chat: key};
      const before = names(make().chosen.order(request, pool));
      chats.remember({chat: key, endpoint: e});
      const order = chosen.order(request, pool);
      const rest = before.filter(name => name !== e);
      const expected = before.includes(e) ? [e, ...rest] : before;
      chai.expect(names(order)).to.deep.equal(expected);
      const isMemory = order[0]?.reason === 'memory';
      chai.expect(isMemory).to.equal(before.includes(e));
      const home = order.find(one => one.reason === 'home')?.endpoint;
      const isHomeLeft = before.length > 0 && before[0] !== e;
      chai.expect(home).to.equal(isHomeLeft ? before[0] : undefined);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('sends a call without a chat to the least loaded endpoint', () => {
    const {chosen} = make();
    const property = fc.property(candidates, chat, (pool, requestId) => {
      const order = chosen.order({requestId}, pool);
      const load = (name: string) =>
        pool.find(candidate => candidate.name === name)!.inFlight;
      const loads = names(order).map(load);
      chai.expect(loads).to.deep.equal([...loads].sort((a, b) => a - b));
      chai
        .expect(names(order).sort())
        .to.deep.equal(pool.map(candidate => candidate.name).sort());
      chai.expect(order.every(one => one.reason === 'least_load')).to.be.true;
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('moves only the chats of an endpoint that goes, unlike naive turns', () => {
    const {chosen} = make();
    const naive = new placement.NaivePlacement();
    const all = settled(8);
    const left = all.filter(candidate => candidate.name !== 'engine-3');
    let moved = 0;
    let turned = 0;
    for (let id = 0; id < 800; id++) {
      const request = {requestId: 'r', chat: `chat-${id}`};
      const before = chosen.order(request, all)[0]!.endpoint;
      const after = chosen.order(request, left)[0]!.endpoint;
      chai.expect(after === before).to.equal(before !== 'engine-3');
      if (after !== before) moved += 1;
      const first = naive.order(request, all)[0]!.endpoint;
      if (naive.order(request, left)[0]!.endpoint !== first) turned += 1;
    }
    chai.expect(moved).to.be.within(60, 140);
    chai.expect(turned).to.be.above(400);
  });

  it('takes the endpoints in turn where it is naive', () => {
    const naive = new placement.NaivePlacement();
    const firsts = settled(3).map(
      () => naive.order({requestId: 'r'}, settled(3))[0]!.endpoint,
    );
    chai.expect(new Set(firsts).size).to.equal(3);
    chai.expect(naive.order({requestId: 'r'}, [])).to.deep.equal([]);
  });
});
