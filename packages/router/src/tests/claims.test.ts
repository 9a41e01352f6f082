/**
 * Guards against two routers that both win the claim of one key while the log
 * fails. The routers are claims services in one process that share a log.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as uuid from 'uuid';
import * as isolatedServices from './isolatedservices.js';
import * as sharedLog from './sharedlog.js';
import * as polling from './polling.js';

const STREAM = core.claimStreamName(0);
const MINUTE_MS = 60_000;
const FLAGS = {
  claimStreams: '1',
  claimLingerMs: '0',
  claimTimeoutMs: '300',
  claimValidityMs: '500',
};

type ClaimsRouter = Awaited<ReturnType<typeof isolatedServices.startClaims>>;

function resultOf(result: core.Result<unknown>): string {
  return result.ok ? 'won' : result.failure.kind;
}

function createKey(ageMs: number): string {
  return uuid.v7({msecs: Date.now() - ageMs});
}

function isRelease(record: unknown): boolean {
  return (record as core.ClaimBatch).entries[0]?.type === 'release';
}

describe('claims under failures of the log', () => {
  let log: sharedLog.SharedLog;
  let clock: sharedLog.TestClock;
  const startedRouters: ClaimsRouter[] = [];

  async function startRouter(
    name: string,
    flags: isolatedServices.Flags = {},
  ): Promise<ClaimsRouter> {
    const allFlags = {...FLAGS, ...flags};
    // No router leads the stream, so no markers mix with the claims.
    const leader = 'nobody';
    const router = await isolatedServices.startClaims({
      name,
      log,
      flags: allFlags,
      leader,
    });
    startedRouters.push(router);
    return router;
  }

  beforeEach(() => {
    clock = new sharedLog.TestClock();
    log = new sharedLog.SharedLog(clock);
  });

  afterEach(async () => {
    const stopping = startedRouters.splice(0);
    for (const router of stopping) router.link.setDown(false);
    await Promise.all(stopping.map(router => router.stop()));
  });

  it('lets exactly one of two routers win a key that both claim', async () => {
    const routerA = await startRouter('routerA');
    const routerB = await startRouter('routerB');
    const keys = Array.from({length: 200}, () => createKey(0));
    const pairs = keys.map(key =>
      Promise.all([routerA.service.claim(key), routerB.service.claim(key)]),
    );
    for (const pair of await Promise.all(pairs)) {
      const kinds = pair.map(resultOf).sort();
      chai.expect(kinds).to.deep.equal(['duplicate_running', 'won']);
    }
  });

  it('keeps a claim whose append reply was lost', async () => {
    const routerA = await startRouter('routerA');
    const routerB = await startRouter('routerB');
    const key = createKey(0);
    routerA.link.repliesToDrop = 2;
    const wonClaim = await routerA.service.claim(key);
    chai.expect(resultOf(wonClaim)).to.equal('won');
    const secondClaim = await routerB.service.claim(key);
    chai.expect(resultOf(secondClaim)).to.equal('duplicate_running');
    chai.expect(log.records(STREAM)).to.have.length(4);
  });

  it('treats a key in upper case and in lower case as the same key', async () => {
    const flags = {claimStreams: '64'};
    const routerA = await startRouter('routerA', flags);
    const routerB = await startRouter('routerB', flags);
    for (let count = 0; count < 20; count++) {
      const key = createKey(0);
      await routerA.service.claim(key);
      const secondClaim = await routerB.service.claim(key.toUpperCase());
      chai.expect(resultOf(secondClaim)).to.equal('duplicate_running');
    }
  });

  it('refuses a claim in a log outage with a release pending, accepts it later', async () => {
    const routerA = await startRouter('routerA');
    const wonClaim = await routerA.service.claim(createKey(0));
    if (!wonClaim.ok) throw new Error('the claim was not won');
    routerA.link.setDown(true);
    const releasing = routerA.service.release(wonClaim.value);
    await polling.until('the release is sent', () =>
      isRelease(routerA.link.lastSentRecord),
    );
    const key = createKey(0);
    const refused = await routerA.service.claim(key);
    chai.expect(resultOf(refused)).to.equal('log_unavailable');
    routerA.link.setDown(false);
    await releasing;
    const retried = await routerA.service.claim(key);
    chai.expect(resultOf(retried)).to.equal('won');
  });

  it('releases a timed-out claim that had reached the log', async () => {
    const routerA = await startRouter('routerA');
    const routerB = await startRouter('routerB');
    const key = createKey(0);
    routerA.link.repliesToDrop = 1;
    const claim = routerA.service.claim(key);
    await polling.until(
      'the claim is on the log',
      () => log.records(STREAM).length === 1,
    );
    routerA.link.setDown(true);
    chai.expect(resultOf(await claim)).to.equal('log_unavailable');
    routerA.link.setDown(false);
    await polling.until('the release is on the log', () =>
      log.records(STREAM).some(isRelease),
    );
    const secondClaim = await routerB.service.claim(key);
    chai.expect(resultOf(secondClaim)).to.equal('won');
  });

  it('ignores a timed-out claim that reaches the log after its release', async () => {
    const routerA = await startRouter('routerA');
    const routerB = await startRouter('routerB');
    const key = createKey(0);
    routerA.link.requestsToDrop = Number.POSITIVE_INFINITY;
    const claim = routerA.service.claim(key);
    await polling.until(
      'the claim is sent',
      () => routerA.link.lastSentRecord !== undefined,
    );
    const lateRecord = routerA.link.lastSentRecord;
    chai.expect(resultOf(await claim)).to.equal('log_unavailable');
    routerA.link.requestsToDrop = 0;
    await polling.until('the release is on the log', () =>
      log.records(STREAM).some(isRelease),
    );
    log.append(STREAM, lateRecord);
    const secondClaim = await routerB.service.claim(key);
    chai.expect(resultOf(secondClaim)).to.equal('won');
  });

  it("forbids the dispatch if the append took longer than the claim's validity", async () => {
    const routerA = await startRouter('routerA');
    let resumeAppend: () => void = () => undefined;
    routerA.link.replyBarrier = new Promise(
      resolve => (resumeAppend = resolve),
    );
    const claim = routerA.service.claim(createKey(0));
    await polling.until(
      'the claim is on the log',
      () => log.records(STREAM).length === 1,
    );
    clock.shiftMs += 501;
    resumeAppend();
    const wonClaim = await claim;
    chai
      .expect(wonClaim.ok && routerA.service.isValid(wonClaim.value))
      .to.equal(false);
  });

  it('refuses keys that are expired, from the future or not a UUID', async () => {
    const {service} = await startRouter('routerA');
    const kinds = [createKey(11 * MINUTE_MS), createKey(-MINUTE_MS), 'key'].map(
      key => resultOf(service.checkKey(key)),
    );
    const expected = ['key_expired', 'key_from_future', 'key_invalid'];
    chai.expect(kinds).to.deep.equal(expected);
  });

  it('refuses keys whose claims may have been dropped from the log', async () => {
    const routerA = await startRouter('routerA');
    const key = createKey(0);
    chai.expect(resultOf(await routerA.service.claim(key))).to.equal('won');
    log.truncate(STREAM);
    const newRouter = await startRouter('newRouter');
    const secondClaim = await newRouter.service.claim(key);
    chai.expect(resultOf(secondClaim)).to.equal('key_expired');
    clock.shiftMs += MINUTE_MS;
    const newer = await newRouter.service.claim(createKey(-MINUTE_MS));
    chai.expect(resultOf(newer)).to.equal('won');
    const unaffected = await routerA.service.claim(createKey(-MINUTE_MS));
    chai.expect(resultOf(unaffected)).to.equal('won');
  });

  it('refuses keys if records were dropped before the router read them', async () => {
    const routerA = await startRouter('routerA');
    const routerB = await startRouter('routerB');
    await routerA.service.claim(createKey(0));
    const key = createKey(0);
    chai.expect(resultOf(await routerB.service.claim(key))).to.equal('won');
    log.truncate(STREAM);
    const secondClaim = await routerA.service.claim(key);
    chai.expect(resultOf(secondClaim)).to.equal('key_expired');
  });

  it('appends markers to an idle stream so that it never becomes empty', async () => {
    const flags = {...FLAGS, keyWindowMs: '1000'};
    const routerA = await isolatedServices.startClaims({
      name: 'routerA',
      log,
      flags,
    });
    startedRouters.push(routerA);
    const countRecords = () => log.records(STREAM).length;
    await polling.until(
      'two markers are on the log',
      () => countRecords() >= 2,
    );
    const nonMarkers = log
      .records(STREAM)
      .filter(record => (record as core.ClaimBatch).entries.length > 0);
    chai.expect(nonMarkers).to.deep.equal([]);
  });
});
