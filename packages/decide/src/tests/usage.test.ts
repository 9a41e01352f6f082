/** Usage: limits over a sliding minute, totals of bounded cardinality. */
import * as chai from 'chai';
import * as usage from '../usage.js';

function usageOf(customer: string, requests = 1, tokens = 0): usage.Usage {
  return {customer, route: 'r', pool: 'p', requests, tokens};
}

describe('usage', () => {
  it('applies a limit over a sliding minute', () => {
    const tracker = new usage.MinuteUsageTracker();
    const limit = {requestsPerMinute: 2};
    tracker.add(usageOf('a'), 1_000);
    tracker.add(usageOf('a'), 31_000);
    const retryAfterMs = tracker.retryAfterMs('a', limit, 32_000);
    chai.expect(retryAfterMs).to.be.within(29_000, 34_000);
    chai
      .expect(tracker.retryAfterMs('a', limit, 31_999 + retryAfterMs))
      .to.equal(1);
    chai
      .expect(tracker.retryAfterMs('a', limit, 32_000 + retryAfterMs))
      .to.equal(0);
    chai.expect(tracker.retryAfterMs('b', limit, 32_000)).to.equal(0);
    chai
      .expect(tracker.retryAfterMs('b', {requestsPerMinute: 0}, 0))
      .to.be.above(0);
  });

  it('adds local tokens, and replaces the counts of other routers', () => {
    const tracker = new usage.MinuteUsageTracker();
    const limit = {tokensPerMinute: 100};
    tracker.add(usageOf('a', 1, 0), 0);
    tracker.add(usageOf('a', 0, 60), 0);
    const [localUse] = tracker.minuteUse(['a', 'b'], 0);
    chai
      .expect(localUse)
      .to.deep.equal({customer: 'a', requests: 1, tokens: 60});
    const remote = {customer: 'a', requests: 1, tokens: 39};
    tracker.applyRemote('other', [remote], 0);
    tracker.applyRemote('other', [remote], 0);
    chai.expect(tracker.retryAfterMs('a', limit, 0)).to.equal(0);
    tracker.applyRemote('third', [{...remote, tokens: 1}], 0);
    chai.expect(tracker.retryAfterMs('a', limit, 0)).to.be.above(0);
    chai.expect(tracker.minuteUse(['a'], 0)).to.deep.equal([localUse]);
    chai.expect(tracker.retryAfterMs('a', limit, 66_000)).to.equal(0);
  });

  it('sums up customers beyond the limit as one', () => {
    const tracker = new usage.MinuteUsageTracker({maxCustomers: 3});
    for (let count = 0; count < 1_000; count += 1) {
      tracker.add(usageOf('big', 1, 10), count);
      tracker.add(usageOf(`c${count}`, 1, 1), count);
    }
    const rows = tracker.totals(10);
    chai.expect(rows[0]).to.deep.equal(usageOf('big', 1_000, 10_000));
    chai.expect(rows[1]).to.include({customer: usage.OTHER_CUSTOMERS});
    chai.expect(rows).to.have.length(4);
    const sum = rows.reduce((total, {requests}) => total + requests, 0);
    chai.expect(sum).to.equal(2_000);
    chai.expect(tracker.totals(1)).to.have.length(1);
  });
});
