/** Claims under failure: routers in memory over one log. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as uuid from 'uuid';
import * as parts from './parts.js';
import * as sharedLog from './sharedlog.js';
import * as waiting from './until.js';

const STREAM = core.claimStream(0);
const MINUTE_MS = 60_000;
const FLAGS = {
  claimStreams: '1',
  claimLingerMs: '0',
  claimTimeoutMs: '300',
  claimValidityMs: '500',
};

type Part = Awaited<ReturnType<typeof parts.startClaims>>;

function kindOf(result: core.Result<unknown>): string {
  return result.ok ? 'won' : result.failure.kind;
}

function keyOf(agoMs: number): string {
  return uuid.v7({msecs: Date.now() - agoMs});
}

function isRelease(record: unknown): boolean {
  return (record as core.ClaimBatch).entries[0]?.type === 'release';
}

describe('claims under failure', () => {
  let log: sharedLog.SharedLog;
  let clock: sharedLog.TestClock;
  const running: Part[] = [];

  async function boot(name: string, flags: parts.Flags = {}): Promise<Part> {
    const all = {...FLAGS, ...flags};
    // Nobody leads, so no mark stands among the claims.
    const leader = 'nobody';
    const part = await parts.startClaims({name, log, flags: all, leader});
    running.push(part);
    return part;
  }

  beforeEach(() => {
    clock = new sharedLog.TestClock();
    log = new sharedLog.SharedLog(clock);
  });

  afterEach(async () => {
    const parts = running.splice(0);
    for (const part of parts) part.link.cut(false);
    await Promise.all(parts.map(part => part.stop()));
  });

  it('lets one of two routers win where both believe they lead', async () => {
    const left = await boot('left');
    const right = await boot('right');
    const keys = Array.from({length: 200}, () => keyOf(0));
    const pairs = keys.map(key =>
      Promise.all([left.service.claim(key), right.service.claim(key)]),
    );
    for (const pair of await Promise.all(pairs)) {
      const kinds = pair.map(kindOf).sort();
      chai.expect(kinds).to.deep.equal(['duplicate_running', 'won']);
    }
  });

  it('keeps a claim whose append reply was lost', async () => {
    const left = await boot('left');
    const right = await boot('right');
    const key = keyOf(0);
    left.link.lostReplies = 2;
    const won = await left.service.claim(key);
    chai.expect(kindOf(won)).to.equal('won');
    const second = await right.service.claim(key);
    chai.expect(kindOf(second)).to.equal('duplicate_running');
    chai.expect(log.records(STREAM)).to.have.length(4);
  });

  it('takes a key in either case for the same key', async () => {
    const flags = {claimStreams: '64'};
    const left = await boot('left', flags);
    const right = await boot('right', flags);
    for (let count = 0; count < 20; count++) {
      const key = keyOf(0);
      await left.service.claim(key);
      const second = await right.service.claim(key.toUpperCase());
      chai.expect(kindOf(second)).to.equal('duplicate_running');
    }
  });

  it('refuses at an outage though a release waits, and then runs', async () => {
    const left = await boot('left');
    const won = await left.service.claim(keyOf(0));
    if (!won.ok) throw new Error('not won');
    left.link.cut(true);
    const released = left.service.release(won.value);
    await waiting.until('its try', () => isRelease(left.link.sent));
    const key = keyOf(0);
    const refused = await left.service.claim(key);
    chai.expect(kindOf(refused)).to.equal('log_unavailable');
    left.link.cut(false);
    await released;
    const again = await left.service.claim(key);
    chai.expect(kindOf(again)).to.equal('won');
  });

  it('releases a claim that was given up and stands on the log', async () => {
    const left = await boot('left');
    const right = await boot('right');
    const key = keyOf(0);
    left.link.lostReplies = 1;
    const claim = left.service.claim(key);
    await waiting.until('the claim', () => log.records(STREAM).length === 1);
    left.link.cut(true);
    chai.expect(kindOf(await claim)).to.equal('log_unavailable');
    left.link.cut(false);
    await waiting.until('its release', () =>
      log.records(STREAM).some(isRelease),
    );
    const second = await right.service.claim(key);
    chai.expect(kindOf(second)).to.equal('won');
  });

  it('does not let a claim hold that lands after it was given up', async () => {
    const left = await boot('left');
    const right = await boot('right');
    const key = keyOf(0);
    left.link.lostRequests = Number.POSITIVE_INFINITY;
    const claim = left.service.claim(key);
    await waiting.until('the request', () => left.link.sent !== undefined);
    const late = left.link.sent;
    chai.expect(kindOf(await claim)).to.equal('log_unavailable');
    left.link.lostRequests = 0;
    await waiting.until('its release', () =>
      log.records(STREAM).some(isRelease),
    );
    log.append(STREAM, late);
    const second = await right.service.claim(key);
    chai.expect(kindOf(second)).to.equal('won');
  });

  it('grants nothing to dispatch after a pause within the append', async () => {
    const left = await boot('left');
    let proceed: () => void = () => undefined;
    left.link.pause = new Promise(resolve => (proceed = resolve));
    const claim = left.service.claim(keyOf(0));
    await waiting.until('the claim', () => log.records(STREAM).length === 1);
    clock.shiftMs += 501;
    proceed();
    const won = await claim;
    chai.expect(won.ok && left.service.isValid(won.value)).to.equal(false);
  });

  it('refuses keys by their time', async () => {
    const {service} = await boot('left');
    const kinds = [keyOf(11 * MINUTE_MS), keyOf(-MINUTE_MS), 'key'].map(key =>
      kindOf(service.checkKey(key)),
    );
    const expected = ['key_expired', 'key_from_future', 'key_invalid'];
    chai.expect(kinds).to.deep.equal(expected);
  });

  it('refuses keys whose claims may have been dropped', async () => {
    const left = await boot('left');
    const key = keyOf(0);
    chai.expect(kindOf(await left.service.claim(key))).to.equal('won');
    log.forget(STREAM);
    const fresh = await boot('fresh');
    const second = await fresh.service.claim(key);
    chai.expect(kindOf(second)).to.equal('key_expired');
    clock.shiftMs += MINUTE_MS;
    const later = await fresh.service.claim(keyOf(-MINUTE_MS));
    chai.expect(kindOf(later)).to.equal('won');
    const known = await left.service.claim(keyOf(-MINUTE_MS));
    chai.expect(kindOf(known)).to.equal('won');
  });

  it('refuses keys where a router missed dropped records', async () => {
    const left = await boot('left');
    const right = await boot('right');
    await left.service.claim(keyOf(0));
    const key = keyOf(0);
    chai.expect(kindOf(await right.service.claim(key))).to.equal('won');
    log.forget(STREAM);
    const second = await left.service.claim(key);
    chai.expect(kindOf(second)).to.equal('key_expired');
  });

  it('keeps a quiet stream from running empty', async () => {
    const flags = {...FLAGS, keyWindowMs: '1000'};
    const left = await parts.startClaims({name: 'left', log, flags});
    running.push(left);
    const count = () => log.records(STREAM).length;
    await waiting.until('two marks', () => count() >= 2);
    const others = log
      .records(STREAM)
      .filter(record => (record as core.ClaimBatch).entries.length > 0);
    chai.expect(others).to.deep.equal([]);
  });
});
