/** Tests of the turns of the event loop that waiting work takes. */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

describe('turns of the event loop', () => {
  // Requests ahead of 930 connections were served in the same turns, of 30 ms
  // and more, and no ordinary caller was accepted in time.
  it('are given to one at a time, in order of arrival', async () => {
    const turns = new core.SingleLoopTurns();
    const done: string[] = [];
    const wait = async (name: string) => {
      await turns.next();
      done.push(name);
    };
    const waiting = Promise.all(['a', 'b', 'c'].map(name => wait(name)));
    const seen: string[] = [];
    while (done.length < 3) {
      await timers.setImmediate();
      seen.push(done.join(''));
    }
    await waiting;
    expect(seen).to.deep.equal(['a', 'ab', 'abc']);
  });

  it('are given anew after a rest', async () => {
    const turns = new core.SingleLoopTurns();
    await turns.next();
    await timers.setImmediate();
    await turns.next();
  });
});
