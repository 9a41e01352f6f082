/** Tests of the traces. */
import * as chai from 'chai';
import * as customers from '../customers.js';
import * as traces from '../trace.js';

const OPTIONS: traces.TraceOptions = {
  seed: 5,
  durationMs: 60_000,
  chats: 100,
  meanPauseMs: 4_000,
  draftsPerSecond: 10,
  statusPerSecond: 10,
  certificatesPerSecond: 1,
};

function chatsOf(trace: readonly traces.Call[]): traces.ChatCall[] {
  return trace.filter(call => call.type === 'chat');
}

describe('trace', () => {
  it('is the same for the same seed, and another for another', () => {
    const first = traces.generate(OPTIONS);
    const second = traces.generate(OPTIONS);
    const other = traces.generate({...OPTIONS, seed: 6});
    chai.expect(second).to.deep.equal(first);
    chai.expect(other).to.not.deep.equal(first);
  });

  it('is in the order of time and within its duration', () => {
    const times = traces.generate(OPTIONS).map(call => call.atMs);
    const sorted = [...times].sort((a, b) => a - b);
    chai.expect(times).to.deep.equal(sorted);
    chai.expect(times.at(-1)).to.be.lessThan(OPTIONS.durationMs);
  });

  it('lets the context of each chat grow by what was said', () => {
    const last = new Map<string, traces.ChatCall>();
    for (const call of chatsOf(traces.generate(OPTIONS))) {
      const before = last.get(call.chat);
      chai.expect(call.turn).to.equal((before?.turn ?? 0) + 1);
      const said = before ? before.promptTokens + before.outputTokens : 0;
      chai.expect(call.promptTokens).to.be.greaterThan(said);
      last.set(call.chat, call);
    }
    chai.expect(last.size).to.equal(OPTIONS.chats);
  });

  it('gives the hot customer half of all requests', () => {
    const trace = traces.generate({...OPTIONS, chats: 0});
    const hot = trace.filter(
      call => call.customer === customers.HOT_CUSTOMER,
    ).length;
    chai.expect(hot / trace.length).to.be.within(0.45, 0.55);
  });

  it('lets a surging customer send a multiple within its time only', () => {
    const surge = {
      customer: 'customer-2',
      fromMs: 20_000,
      toMs: 40_000,
      factor: 10,
    };
    const plain = traces.generate(OPTIONS);
    const surging = traces.generate({...OPTIONS, surge});
    const count = (trace: traces.Call[], fromMs: number, toMs: number) =>
      trace.filter(
        ({type, customer, atMs}) =>
          (type === 'chat' || type === 'draft') &&
          customer === surge.customer &&
          atMs >= fromMs &&
          atMs < toMs,
      ).length;
    const usual = count(plain, 20_000, 40_000);
    const during = count(surging, 20_000, 40_000);
    chai.expect(during / usual).to.be.within(6, 14);
    const before = count(surging, 0, 20_000);
    chai.expect(before).to.equal(count(plain, 0, 20_000));
  });
});
