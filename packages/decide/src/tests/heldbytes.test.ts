/** Tests of the budget of bytes and of the seats of connections. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as heldBytes from '../heldbytes.js';
import * as connectionSeats from '../connectionseats.js';

const {expect} = chai;
const SEED = 42;
const LIMIT_BYTES = 1_000_000;
const STALL_MS = 10_000;
const LARGE_BYTES = heldBytes.SMALL_ACCOUNT_BYTES + 1;

type Account = heldBytes.ByteAccount;

class Holder implements heldBytes.AccountHolder {
  readonly reasons: heldBytes.CutReason[] = [];

  cut(reason: heldBytes.CutReason): void {
    this.reasons.push(reason);
  }
}

function createBudget(): heldBytes.HeldBytesBudget {
  return new heldBytes.HeldBytesBudget({
    limitBytes: LIMIT_BYTES,
    stallMs: STALL_MS,
  });
}

const step = fc.record({
  account: fc.nat(7),
  action: fc.constantFrom(
    'hold' as const,
    'holdWaiting' as const,
    'endWaiting' as const,
    'release' as const,
    'close' as const,
    'serve' as const,
    'progress' as const,
    'cutStalled' as const,
  ),
  bytes: fc.nat(600_000),
  elapsedMs: fc.nat(4_000),
});

describe('the budget of bytes', () => {
  it('lets nobody give way for bytes that are held only if they fit', () => {
    const budget = createBudget();
    const holder = new Holder();
    const large = budget.open(holder, 0);
    budget.hold(large, 700_000, 0);
    const asking = budget.open(new Holder(), 0);
    expect(budget.holdWaiting(asking, 100_000)).to.equal(true);
    expect(budget.holdWaiting(asking, 100_000)).to.equal(false);
    expect(holder.reasons).to.deep.equal([]);
    expect(budget.heldBytes).to.equal(800_000);
    budget.close(asking);
    expect(budget.holdWaiting(asking, 1)).to.equal(false);
  });

  // Waiting heads filled the heap of a router, which is smaller than its memory.
  it('holds a quarter for requests that wait for others', () => {
    const budget = createBudget();
    const accounts = [0, 1, 2].map(() => budget.open(new Holder(), 0));
    const [first, second, third] = accounts as [Account, Account, Account];
    expect(budget.holdWaiting(first, 125_000)).to.equal(true);
    expect(budget.holdWaiting(second, 125_000)).to.equal(true);
    expect(budget.holdWaiting(third, 1)).to.equal(false);
    budget.endWaiting(first, 125_000);
    expect(budget.holdWaiting(third, 125_000)).to.equal(true);
    budget.close(second);
    expect(budget.holdWaiting(third, 125_001)).to.equal(false);
    expect(budget.hold(first, 1, 0)).to.equal(true);
    expect(budget.heldBytes).to.equal(250_001);
  });

  it('is never exceeded, and holds nothing once all accounts are closed', () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), steps => {
        const budget = createBudget();
        const holders: Holder[] = [];
        const open = () => {
          const holder = new Holder();
          holders.push(holder);
          return budget.open(holder, nowMs);
        };
        let nowMs = 0;
        const accounts = [...Array(8).keys()].map(open);
        for (const {account: index, action, bytes, elapsedMs} of steps) {
          nowMs += elapsedMs;
          let account = accounts[index]!;
          if (account.isClosed) account = accounts[index] = open();
          const wasServed = accounts.map(
            ({isServed, isClosed}) => isServed && !isClosed,
          );
          if (action === 'hold') budget.hold(account, bytes, nowMs);
          if (action === 'holdWaiting') budget.holdWaiting(account, bytes);
          if (action === 'endWaiting') budget.endWaiting(account, bytes);
          if (action === 'release') budget.release(account, bytes);
          if (action === 'close') budget.close(account);
          if (action === 'serve') account.isServed = !account.isServed;
          if (action === 'progress') account.progressMs = nowMs;
          if (action === 'cutStalled') budget.cutStalled(nowMs);
          const sum = accounts.reduce((all, {heldBytes}) => all + heldBytes, 0);
          expect(budget.heldBytes).to.equal(sum);
          expect(sum).to.be.at.most(LIMIT_BYTES);
          if (action === 'hold') {
            accounts.forEach(({isClosed}, other) => {
              if (wasServed[other]) expect(isClosed).to.equal(false);
            });
          }
        }
        for (const account of accounts) budget.close(account);
        expect(budget.heldBytes).to.equal(0);
        for (const {reasons} of holders) {
          expect(reasons.length).to.be.at.most(1);
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('lets the largest and slowest give way', () => {
    const budget = createBudget();
    const [slow, quick, next] = [new Holder(), new Holder(), new Holder()];
    const slowAccount = budget.open(slow, 0);
    const quickAccount = budget.open(quick, 0);
    budget.hold(slowAccount, 300_000, 0);
    budget.hold(quickAccount, 320_000, 0);
    quickAccount.progressMs = 1_000;
    const nextAccount = budget.open(next, 1_000);
    expect(budget.hold(nextAccount, 200_000, 1_000)).to.equal(true);
    expect(slow.reasons).to.deep.equal(['memory']);
    expect(quick.reasons).to.deep.equal([]);
  });

  it('refuses more to the one that would be the largest', () => {
    const budget = createBudget();
    const other = budget.open(new Holder(), 0);
    budget.hold(other, 400_000, 0);
    const account = budget.open(new Holder(), 0);
    expect(budget.hold(account, 500_000, 0)).to.equal(false);
    expect(budget.heldBytes).to.equal(400_000);
  });

  it('keeps room for small ones beside large ones that are served', () => {
    const budget = createBudget();
    for (let count = 0; count < 10; count++) {
      const account = budget.open(new Holder(), 0);
      budget.hold(account, LARGE_BYTES, 0);
      account.isServed = true;
    }
    expect(budget.heldBytes).to.equal(5 * LARGE_BYTES);
    const small = budget.open(new Holder(), 0);
    expect(budget.hold(small, 72_000, 0)).to.equal(true);
  });

  it('lets no small account give way that makes progress', () => {
    const budget = createBudget();
    const holders = [...Array(13).keys()].map(() => new Holder());
    for (const holder of holders) {
      budget.hold(budget.open(holder, 0), 72_000, 0);
    }
    const large = budget.open(new Holder(), 0);
    expect(budget.hold(large, LARGE_BYTES, 1_000)).to.equal(false);
    for (const {reasons} of holders) expect(reasons).to.deep.equal([]);
  });

  it('cuts those that keep it waiting for long, and no others', () => {
    const budget = createBudget();
    const [waiting, resting] = [new Holder(), new Holder()];
    budget.open(waiting, 0).awaitsCaller = true;
    budget.open(resting, 0);
    budget.cutStalled(STALL_MS);
    expect(waiting.reasons).to.deep.equal([]);
    budget.cutStalled(STALL_MS + 1);
    expect(waiting.reasons).to.deep.equal(['stalled']);
    expect(resting.reasons).to.deep.equal([]);
  });
});

describe('seats of connections', () => {
  let vacated: string[];

  const seat = (
    name: string,
    fields: Partial<connectionSeats.Seat> = {},
  ): connectionSeats.Seat => ({
    address: 'a',
    restsSinceMs: 0,
    hasAsked: false,
    vacate: () => vacated.push(name),
    ...fields,
  });

  beforeEach(() => {
    vacated = [];
  });

  it('are never more than the limit, and all are free in the end', () => {
    const events = fc.array(fc.tuple(fc.nat(20), fc.boolean()));
    fc.assert(
      fc.property(events, steps => {
        const seats = new connectionSeats.ConnectionSeats(() => 5);
        const all = [...Array(21).keys()].map(index =>
          seat(String(index), index % 2 ? {restsSinceMs: undefined} : {}),
        );
        const taken = new Set<number>();
        for (const [index, isTake] of steps) {
          if (isTake && !taken.has(index)) {
            if (seats.take(all[index]!, 0)) taken.add(index);
          } else {
            seats.leave(all[index]!);
            taken.delete(index);
          }
          for (const name of vacated) taken.delete(Number(name));
          vacated = [];
          expect(seats.taken).to.be.at.most(5);
          expect(seats.taken).to.equal(taken.size);
        }
        for (const one of all) seats.leave(one);
        expect(seats.taken).to.equal(0);
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('go from the one that asked for nothing and rests longest to a new one', () => {
    const seats = new connectionSeats.ConnectionSeats(() => 3);
    seats.take(seat('kept', {hasAsked: true}), 0);
    seats.take(seat('old'), 0);
    seats.take(seat('young', {restsSinceMs: 50}), 50);
    expect(seats.take(seat('new', {restsSinceMs: 100}), 100)).to.equal(true);
    expect(vacated).to.deep.equal(['old']);
  });

  it('stay with requests in progress', () => {
    const seats = new connectionSeats.ConnectionSeats(() => 1);
    seats.take(seat('busy', {restsSinceMs: undefined, hasAsked: true}), 0);
    expect(seats.take(seat('new'), 60_000)).to.equal(false);
    expect(vacated).to.deep.equal([]);
  });

  it('go first from the address that has most', () => {
    const seats = new connectionSeats.ConnectionSeats(() => 3);
    seats.take(seat('lone', {address: 'b'}), 0);
    seats.take(seat('first', {restsSinceMs: 10}), 10);
    seats.take(seat('second', {restsSinceMs: 20}), 20);
    seats.take(seat('new', {restsSinceMs: 30}), 30);
    expect(vacated).to.deep.equal(['first']);
  });
});
