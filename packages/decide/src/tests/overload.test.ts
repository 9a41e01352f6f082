/** Decisions under load: room, waiting time, times of return, second sends. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const OPTIONS = {seed: 20_261_206, numRuns: 300};
const KIND = {pool: 'p', route: 'r'};

describe('the room of endpoints', () => {
  it('is asked for more and more seldom, until the endpoint takes a request', () => {
    const room = new decide.BackedOffRoom();
    let nowMs = 0;
    const pausesMs: number[] = [];
    for (let count = 0; count < 6; count++) {
      room.recordRefusal('e', nowMs);
      expect(room.isFull('e', nowMs)).to.equal(true);
      const untilMs = room.earliestRoomMs(['e', 'f'], nowMs)!;
      pausesMs.push(untilMs - nowMs);
      nowMs = untilMs;
      expect(room.isFull('e', nowMs)).to.equal(false);
    }
    const ascending = [...pausesMs].sort((a, b) => a - b);
    expect(pausesMs).to.deep.equal(ascending);
    expect(pausesMs.at(-1)).to.be.at.most(500);
    room.recordAccepted('e');
    room.recordRefusal('e', nowMs);
    expect(room.earliestRoomMs(['e'], nowMs)! - nowMs).to.equal(pausesMs[0]);
  });

  it('counts refusals of requests that were under way together once', () => {
    const room = new decide.BackedOffRoom();
    room.recordRefusal('e', 0);
    const untilMs = room.earliestRoomMs(['e'], 0);
    room.recordRefusal('e', 1);
    expect(room.earliestRoomMs(['e'], 1)).to.equal(untilMs);
  });

  it('is remembered for a bounded number of endpoints', () => {
    const room = new decide.BackedOffRoom(2);
    for (const id of ['a', 'b', 'c']) room.recordRefusal(id, 0);
    expect(['a', 'b', 'c'].map(id => room.isFull(id, 0))).to.deep.equal([
      false,
      true,
      true,
    ]);
  });
});

describe('the rate at which waiting requests find room', () => {
  it('follows what is seen, and forgets', () => {
    const rate = new decide.DecayingRoomRate();
    rate.recordStart(0);
    expect(rate.perSecond(50)).to.equal(undefined);
    for (let nowMs = 0; nowMs < 4_000; nowMs += 20) rate.recordRoom(nowMs);
    expect(rate.perSecond(4_000)).to.be.within(45, 55);
    for (let nowMs = 4_000; nowMs < 9_000; nowMs += 200) rate.recordRoom(nowMs);
    expect(rate.perSecond(9_000)).to.be.within(4, 7);
  });

  it('does not count the time in which none waits', () => {
    const rate = new decide.DecayingRoomRate();
    rate.recordStart(0);
    for (let nowMs = 0; nowMs < 2_000; nowMs += 20) rate.recordRoom(nowMs);
    rate.recordStart(8_000);
    expect(rate.perSecond(8_000)).to.be.within(40, 60);
  });
});

describe('the decision to wait', () => {
  const policy = new decide.TimelyWaitPolicy();

  it('refuses at once what finds no room in its time', () => {
    const question = {remainingMs: 1_000, aheadCount: 20, roomsPerSecond: 10};
    expect(policy.decide(question).maxWaitMs).to.equal(0);
    expect(policy.decide({...question, aheadCount: 2}).maxWaitMs).to.be.above(
      299,
    );
  });

  it('leaves at least half of the time to be served or to come back', () => {
    fc.assert(
      fc.property(
        fc.nat(20_000),
        fc.nat(100),
        fc.option(fc.float({min: 0, max: 500, noNaN: true}), {nil: undefined}),
        (remainingMs, aheadCount, roomsPerSecond) => {
          const question = {remainingMs, aheadCount, roomsPerSecond};
          const {maxWaitMs} = policy.decide(question);
          expect(maxWaitMs).to.be.within(0, remainingMs / 2);
        },
      ),
      OPTIONS,
    );
  });

  it('leaves the time that an endpoint is estimated to need', () => {
    const estimate = {firstEventMs: 900, completeMs: 950, workMs: 900};
    const question = {remainingMs: 1_000, aheadCount: 0, estimate};
    expect(policy.decide(question).maxWaitMs).to.be.at.most(100);
  });
});

describe('the time after which a caller comes back', () => {
  const times = new decide.SpreadReturnTimes(new core.SeededRandom(3));

  it('exceeds the time for which callers wait only if endpoints named it', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 30, max: 20_000}),
        fc.option(fc.nat(30_000), {nil: undefined}),
        fc.option(fc.nat(30_000), {nil: undefined}),
        (remainingMs, expectedMs, notBeforeMs) => {
          const question = {remainingMs, expectedMs, notBeforeMs};
          const retryAfterMs = times.retryAfterMs(question);
          const isNamed = (notBeforeMs ?? 0) > remainingMs / 3 / 1.75;
          const maxMs = isNamed ? notBeforeMs! + 300 : remainingMs / 3;
          expect(retryAfterMs).to.be.within(notBeforeMs ?? 1, maxMs + 1);
        },
      ),
      OPTIONS,
    );
  });

  it('is when room is expected, and spread', () => {
    const question = {remainingMs: 9_000, expectedMs: 400, notBeforeMs: 100};
    const all = Array.from({length: 200}, () => times.retryAfterMs(question));
    expect(Math.min(...all)).to.be.within(400, 420);
    expect(Math.max(...all)).to.be.within(650, 701);
    expect(new Set(all).size).to.be.above(100);
  });
});

describe('second sends', () => {
  function learned(timesMs: readonly number[]): decide.UnusualTimeSecondSends {
    const sends = new decide.UnusualTimeSecondSends();
    for (const timeMs of timesMs) sends.recordAnswer(KIND, timeMs);
    return sends;
  }

  it('are due when a request takes longer than its route explains', () => {
    const random = new core.SeededRandom(5);
    const timesMs = Array.from(
      {length: 400},
      () => 40 - 30 * Math.log(1 - random.nextFloat()),
    );
    const delayMs = learned(timesMs).delayMs(KIND)!;
    const unusual = timesMs.filter(each => each > delayMs);
    expect(unusual.length / timesMs.length).to.be.below(0.1);
    expect(delayMs).to.be.below(40 + 30 * 8);
  });

  it('are not due before the times are known, or the estimate has passed', () => {
    expect(learned([40, 40]).delayMs(KIND)).to.equal(undefined);
    const sends = learned(Array.from({length: 50}, () => 40));
    const estimate = {firstEventMs: 400, completeMs: 400, workMs: 400};
    expect(sends.delayMs(KIND, estimate)).to.be.at.least(400);
  });

  it('are learned from what outliers spoil for a short while only', () => {
    const sends = learned(Array.from({length: 50}, () => 40));
    sends.recordAnswer(KIND, 60_000);
    expect(sends.delayMs(KIND)).to.be.below(500);
    for (let count = 0; count < 30; count++) sends.recordAnswer(KIND, 40);
    expect(sends.delayMs(KIND)).to.be.below(60);
  });

  it('are a small share of the requests, whatever the pool does', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), tries => {
        const sends = new decide.UnusualTimeSecondSends();
        let spent = 0;
        for (const isTried of tries) {
          sends.recordSend('p');
          if (isTried && sends.trySpend('p')) spent += 1;
        }
        expect(spent).to.be.at.most(tries.length * 0.05 + 1e-6);
      }),
      OPTIONS,
    );
  });
});

describe('the record of runs beside an open send', () => {
  it('allows a second only within the runs of a route that may repeat', () => {
    for (const isRepeatable of [false, true]) {
      for (const maxRuns of [1, 2, 3]) {
        const runs = new decide.RequestRuns({isRepeatable, maxRuns});
        expect(() => runs.beginSecond()).to.throw('not one open send');
        runs.begin();
        if (!isRepeatable || maxRuns < 2) {
          expect(() => runs.beginSecond()).to.throw('no further run');
          continue;
        }
        runs.beginSecond();
        expect(String(runs)).to.equal('open,open');
        expect(runs.maySend()).to.equal(false);
        expect(runs.maySendAfterOpen()).to.equal(maxRuns > 2);
        runs.end('not_run');
        expect(runs.isKnownNotRun, 'one is open').to.equal(false);
        expect(runs.maySend()).to.equal(false);
        runs.end('not_run');
        expect(runs.isKnownNotRun).to.equal(true);
      }
    }
  });
});
