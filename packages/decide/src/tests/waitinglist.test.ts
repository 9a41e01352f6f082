/** The list of waiting requests: bounds, order, fairness, and that none starves. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const OPTIONS = {seed: 20_261_206, numRuns: 300};
const MAX_REQUESTS = 8;
const MAX_BYTES = 1_000;

interface Item extends decide.WaitingRequest {
  readonly id: number;
}

function item(fields: Partial<Item> = {}): Item {
  return {
    id: 0,
    customer: 'a',
    priority: 1,
    bytes: 10,
    sinceMs: 0,
    goalMs: 500,
    untilMs: 1_000,
    ...fields,
  };
}

function newList(): decide.FairWaitingList<Item> {
  const options = {maxRequests: MAX_REQUESTS, maxBytes: MAX_BYTES};
  return new decide.FairWaitingList<Item>(options);
}

const STEP = fc.record({
  action: fc.constantFrom('add', 'add', 'add', 'take', 'expire', 'remove'),
  customer: fc.constantFrom('a', 'a', 'a', 'b', 'c'),
  priority: fc.nat(2),
  bytes: fc.integer({min: 1, max: 400}),
  waitMs: fc.integer({min: 1, max: 60}),
  pick: fc.nat(100),
});

describe('the list of waiting requests', () => {
  it('loses none, doubles none, and stays within its bounds', () => {
    fc.assert(
      fc.property(fc.array(STEP, {maxLength: 60}), steps => {
        const list = newList();
        let waiting: Item[] = [];
        const drop = (gone: readonly Item[]) => {
          for (const each of gone) expect(waiting).to.include(each);
          waiting = waiting.filter(each => !gone.includes(each));
        };
        steps.forEach(({action, pick, waitMs, ...fields}, nowMs) => {
          if (action === 'add') {
            const untilMs = nowMs + waitMs;
            const added = item({...fields, id: nowMs, sinceMs: nowMs, untilMs});
            const result = list.add(added);
            if (result.type === 'waiting') {
              drop(result.displaced);
              waiting.push(added);
            } else {
              expect(waiting).not.to.have.length(0);
            }
          } else if (action === 'take') {
            const taken = list.take(nowMs);
            const live = waiting.filter(({untilMs}) => untilMs > nowMs);
            expect(taken === undefined).to.equal(live.length === 0);
            if (taken) expect(taken.untilMs).to.be.above(nowMs);
            drop(taken ? [taken] : []);
          } else if (action === 'expire') {
            const expired = list.expire(nowMs);
            expect(expired.every(({untilMs}) => untilMs <= nowMs)).to.equal(
              true,
            );
            drop(expired);
          } else {
            const removed = waiting[pick % Math.max(1, waiting.length)];
            if (removed && list.remove(removed)) drop([removed]);
          }
          expect(list.size).to.equal(waiting.length);
          expect(list.size).to.be.at.most(MAX_REQUESTS);
          const bytes = waiting.reduce((sum, each) => sum + each.bytes, 0);
          expect(list.bytes).to.equal(bytes);
          expect(list.bytes).to.be.at.most(MAX_BYTES);
        });
      }),
      OPTIONS,
    );
  });

  it('goes by urgency, then by goals still in reach, then by time left', () => {
    const list = newList();
    const late = item({id: 1, goalMs: 50});
    const relaxed = item({id: 2, untilMs: 900});
    const cameBack = item({id: 3, untilMs: 400});
    const urgent = item({id: 4, priority: 0});
    const least = item({id: 5, priority: 2});
    for (const each of [late, least, relaxed, cameBack, urgent]) list.add(each);
    const ids = Array.from({length: 5}, () => list.take(100)?.id);
    expect(ids).to.deep.equal([4, 3, 2, 1, 5]);
  });

  it('lets customers take turns, however many requests one has', () => {
    const list = newList();
    for (let id = 0; id < 5; id++) list.add(item({id, customer: 'hot'}));
    list.add(item({id: 10, customer: 'b'}));
    list.add(item({id: 11, customer: 'c'}));
    const firstThree = [0, 1, 2].map(() => list.take(0)?.customer);
    expect([...firstThree].sort()).to.deep.equal(['b', 'c', 'hot']);
  });

  it('gives a customer that returns no second turn before the others', () => {
    const list = newList();
    list.add(item({customer: 'b', untilMs: 900}));
    list.add(item({customer: 'hot', untilMs: 800}));
    const taken: Array<string | undefined> = [];
    for (let round = 0; round < 4; round++) {
      taken.push(list.take(0)?.customer);
      list.add(item({customer: 'hot', untilMs: 800 + round}));
    }
    expect(taken.slice(0, 2)).to.deep.equal(['hot', 'b']);
  });

  it('displaces the least urgent of the customer with most, when full', () => {
    const list = newList();
    for (let id = 0; id < 5; id++) {
      list.add(item({id, customer: 'hot', priority: 2}));
    }
    for (let id = 5; id < 8; id++) {
      list.add(item({id, customer: 'b', priority: 2}));
    }
    const urgent = list.add(item({id: 8, customer: 'hot', priority: 0}));
    const ids = urgent.type === 'waiting' && urgent.displaced.map(({id}) => id);
    expect(ids).to.deep.equal([4]);
    const fair = list.add(item({id: 9, customer: 'c', priority: 2}));
    expect(fair.type).to.equal('waiting');
    const own = list.add(item({id: 10, customer: 'hot', priority: 2}));
    expect(own.type).to.equal('full');
  });

  it('serves the least urgent too while urgent ones keep coming', () => {
    const list = newList();
    list.add(item({id: -1, priority: 2, sinceMs: -1, untilMs: 1e6}));
    let turns = 0;
    for (let id = 0; id < 20; id++) {
      list.add(item({id, priority: 0, sinceMs: id, untilMs: 1e6}));
      turns += 1;
      if (list.take(id)?.id === -1) break;
    }
    expect(turns).to.be.at.most(8);
  });

  it('is always full in the baseline', () => {
    const list = new decide.NoWaitingList<Item>();
    expect(list.add().type).to.equal('full');
    expect(list.take()).to.equal(undefined);
  });
});
