/** Usage: limits over a running minute, totals of a bounded cardinality. */
import * as chai from 'chai';
import * as usage from '../usage.js';

function use(customer: string, requests = 1, tokens = 0): usage.Usage {
  return {customer, route: 'r', pool: 'p', requests, tokens};
}

describe('usage', () => {
  it('holds a limit over the running minute', () => {
    const book = new usage.MinuteUsageBook();
    const limit = {requestsPerMinute: 2};
    book.add(use('a'), 1_000);
    book.add(use('a'), 31_000);
    const excessMs = book.excessMs('a', limit, 32_000);
    chai.expect(excessMs).to.be.within(29_000, 34_000);
    chai.expect(book.excessMs('a', limit, 31_999 + excessMs)).to.equal(1);
    chai.expect(book.excessMs('a', limit, 32_000 + excessMs)).to.equal(0);
    chai.expect(book.excessMs('b', limit, 32_000)).to.equal(0);
    chai.expect(book.excessMs('b', {requestsPerMinute: 0}, 0)).to.be.above(0);
  });

  it('counts tokens when they come, and other routers once', () => {
    const book = new usage.MinuteUsageBook();
    const limit = {tokensPerMinute: 100};
    book.add(use('a', 1, 0), 0);
    book.add(use('a', 0, 60), 0);
    const [own] = book.minute(['a', 'b'], 0);
    chai.expect(own).to.deep.equal({customer: 'a', requests: 1, tokens: 60});
    const remote = {customer: 'a', requests: 1, tokens: 39};
    book.learn('other', [remote], 0);
    book.learn('other', [remote], 0);
    chai.expect(book.excessMs('a', limit, 0)).to.equal(0);
    book.learn('third', [{...remote, tokens: 1}], 0);
    chai.expect(book.excessMs('a', limit, 0)).to.be.above(0);
    chai.expect(book.minute(['a'], 0)).to.deep.equal([own]);
    chai.expect(book.excessMs('a', limit, 66_000)).to.equal(0);
  });

  it('sums up the customers beyond the bound as one', () => {
    const book = new usage.MinuteUsageBook({maxCustomers: 3});
    for (let count = 0; count < 1_000; count += 1) {
      book.add(use('big', 1, 10), count);
      book.add(use(`c${count}`, 1, 1), count);
    }
    const rows = book.totals(10);
    chai.expect(rows[0]).to.deep.equal(use('big', 1_000, 10_000));
    chai.expect(rows[1]).to.include({customer: usage.OTHER_CUSTOMERS});
    chai.expect(rows).to.have.length(4);
    const sum = rows.reduce((total, {requests}) => total + requests, 0);
    chai.expect(sum).to.equal(2_000);
    chai.expect(book.totals(1)).to.have.length(1);
  });
});
