/** Tests of the trace generator. */
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

function chatCalls(trace: readonly traces.Call[]): traces.ChatCall[] {
  return trace.filter(call => call.type === 'chat');
}

describe('trace', () => {
  it('is the same for the same seed and differs for another seed', () => {
    const first = traces.generateTrace(OPTIONS);
    const second = traces.generateTrace(OPTIONS);
    const other = traces.generateTrace({...OPTIONS, seed: 6});
    chai.expect(second).to.deep.equal(first);
    chai.expect(other).to.not.deep.equal(first);
  });

  it('is in order of time and within its duration', () => {
    const times = traces.generateTrace(OPTIONS).map(call => call.atMs);
    const sorted = [...times].sort((a, b) => a - b);
    chai.expect(times).to.deep.equal(sorted);
    chai.expect(times.at(-1)).to.be.lessThan(OPTIONS.durationMs);
  });

  it('lets the context of each chat grow with each turn', () => {
    const lastCallByChat = new Map<string, traces.ChatCall>();
    for (const call of chatCalls(traces.generateTrace(OPTIONS))) {
      const previousCall = lastCallByChat.get(call.chat);
      chai.expect(call.turn).to.equal((previousCall?.turn ?? 0) + 1);
      const contextTokens = previousCall
        ? previousCall.promptTokens + previousCall.outputTokens
        : 0;
      chai.expect(call.promptTokens).to.be.greaterThan(contextTokens);
      lastCallByChat.set(call.chat, call);
    }
    chai.expect(lastCallByChat.size).to.equal(OPTIONS.chats);
  });

  it('gives the hot customer half of all requests', () => {
    const trace = traces.generateTrace({...OPTIONS, chats: 0});
    const hotCalls = trace.filter(
      call => call.customer === customers.HOT_CUSTOMER,
    ).length;
    chai.expect(hotCalls / trace.length).to.be.within(0.45, 0.55);
  });

  it('raises the rate of a surging customer during its surge only', () => {
    const surge = {
      customer: 'customer-2',
      fromMs: 20_000,
      toMs: 40_000,
      factor: 10,
    };
    const normalTrace = traces.generateTrace(OPTIONS);
    const surgeTrace = traces.generateTrace({...OPTIONS, surge});
    const countPrompts = (trace: traces.Call[], fromMs: number, toMs: number) =>
      trace.filter(
        ({type, customer, atMs}) =>
          (type === 'chat' || type === 'draft') &&
          customer === surge.customer &&
          atMs >= fromMs &&
          atMs < toMs,
      ).length;
    const normalCount = countPrompts(normalTrace, 20_000, 40_000);
    const surgeCount = countPrompts(surgeTrace, 20_000, 40_000);
    chai.expect(surgeCount / normalCount).to.be.within(6, 14);
    const countBeforeSurge = countPrompts(surgeTrace, 0, 20_000);
    chai
      .expect(countBeforeSurge)
      .to.equal(countPrompts(normalTrace, 0, 20_000));
  });
});
