/** Configuration under failures: in-process routers that share one log. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as isolatedServices from './isolatedservices.js';
import * as sharedLog from './sharedlog.js';
import * as polling from './polling.js';

/** Clock ms per real ms: runs the production time-outs ten times faster. */
const CLOCK_SPEED = 10;
const SEED = 5;

function createEdit(id: string, version: number, name = 'p'): core.Edit {
  const change = {
    table: 'pools' as const,
    name,
    expected_version: version,
    row: {name, endpoints: [id]},
  };
  const [operator] = id.split('-');
  return {
    type: 'edit',
    edit_id: id,
    operator: operator ?? '',
    at_ms: 0,
    changes: [change],
  };
}

function versionOf(
  router: isolatedServices.ConfigurationRouter,
  name = 'p',
): number {
  return router.service.tables().pools[name]?.version ?? 0;
}

function endpointOf(
  router: isolatedServices.ConfigurationRouter,
  name = 'p',
): string | undefined {
  return router.service.tables().pools[name]?.row.endpoints[0];
}

function outcomeOf(result: core.Result<core.Verdict>): string {
  return result.ok ? result.value.outcome : result.failure.kind;
}

function isSnapshot(record: unknown): boolean {
  return (record as core.ConfigRecord).type === 'snapshot';
}

describe('configuration under failure', () => {
  let log: sharedLog.SharedLog;
  const routers = new Map<string, isolatedServices.ConfigurationRouter>();

  async function startRouter(
    name: string,
    flags: isolatedServices.Flags = {},
    isDisconnected = false,
  ) {
    const options = {
      name,
      log,
      flags,
      isDisconnected,
      leader: 'a',
      peers: routers,
    };
    const router = await isolatedServices.startConfiguration(options);
    routers.set(name, router);
    return router;
  }

  function nextOffsets(): number[] {
    return [...routers.values()].map(router => router.service.nextOffset());
  }

  /** Resolves once all routers have read the whole log. */
  async function waitUntilRead(): Promise<void> {
    const {endOffset: length} = log.stream(core.CONFIG_STREAM);
    const isAllRead = () => nextOffsets().every(offset => offset === length);
    await polling.until('all routers to have read the log', isAllRead);
  }

  function records(): unknown[] {
    return log.records(core.CONFIG_STREAM);
  }

  function snapshots(): unknown[] {
    return records().filter(isSnapshot);
  }

  beforeEach(() => {
    log = new sharedLog.SharedLog(new sharedLog.TestClock(CLOCK_SPEED));
  });

  afterEach(async () => {
    const stopping = [...routers.values()];
    routers.clear();
    await Promise.all(stopping.map(router => router.stop()));
  });

  it('accepts the same one of two concurrent edits of a row at all routers', async () => {
    const [a, b, c] = [
      await startRouter('a'),
      await startRouter('b'),
      await startRouter('c'),
    ];
    for (let round = 0; round < 50; round++) {
      const version = versionOf(a);
      const results = await Promise.all([
        a.service.submit(createEdit(`left-${round}`, version)),
        b.service.submit(createEdit(`right-${round}`, version)),
      ]);
      const outcomes = results.map(outcomeOf).sort();
      chai.expect(outcomes).to.deep.equal(['accepted', 'conflict']);
      await waitUntilRead();
    }
    for (const router of [b, c]) {
      chai
        .expect(router.service.verdicts())
        .to.deep.equal(a.service.verdicts());
      chai.expect(router.service.tables()).to.deep.equal(a.service.tables());
    }
  });

  it('applies an edit only once if append requests or replies are lost', async () => {
    const a = await startRouter('a');
    const random = new core.SeededRandom(SEED);
    const names = [...Array(20).keys()].map(index => `p${index}`);
    for (const name of names) {
      a.link.repliesToDrop = random.nextInt(2);
      a.link.requestsToDrop = random.nextInt(2);
      const result = await a.service.submit(createEdit(`ann-${name}`, 0, name));
      chai.expect(outcomeOf(result)).to.equal('accepted');
      await waitUntilRead();
    }
    const verdicts = a.service.verdicts().map(verdict => verdict.edit_id);
    chai.expect(verdicts).to.deep.equal(names.map(name => `ann-${name}`));
  });

  it('applies an edit only once if the log holds it twice', async () => {
    const a = await startRouter('a');
    await a.service.submit(createEdit('ann-1', 0));
    const version = versionOf(a);
    log.append(core.CONFIG_STREAM, createEdit('ann-1', 0));
    await waitUntilRead();
    chai.expect(versionOf(a)).to.equal(version);
    const outcomes = a.service.verdicts().map(verdict => verdict.outcome);
    chai.expect(outcomes).to.deep.equal(['accepted']);
  });

  it('starts from a snapshot when the edits have expired from the log', async () => {
    const a = await startRouter('a', {snapshotEvery: '4'});
    log.maxRecords = 8;
    for (let count = 0; count < 30; count++) {
      const name = `p${count % 12}`;
      await a.service.submit(
        createEdit(`ann-${count}`, versionOf(a, name), name),
      );
      if (count % 4 < 3) continue;
      await polling.until('a snapshot on the log', () =>
        records().some(isSnapshot),
      );
    }
    const [first] = records();
    chai.expect(first).to.not.include({edit_id: 'ann-0'});
    const b = await startRouter('b');
    await waitUntilRead();
    chai.expect(b.service.tables()).to.deep.equal(a.service.tables());
    chai.expect(b.service.verdicts()).to.deep.equal(a.service.verdicts());
  });

  it('renews the snapshot before it expires, even without new edits', async () => {
    const a = await startRouter('a', {snapshotMaxAgeMs: '2000'});
    await a.service.submit(createEdit('ann-1', 0));
    await polling.until(
      'three snapshots on the log',
      () => snapshots().length >= 3,
    );
    chai.expect(endpointOf(a)).to.equal('ann-1');
  });

  it("measures a snapshot's age from its append, also after a restart", async () => {
    const a = await startRouter('a', {snapshotMaxAgeMs: '3000000'});
    await a.service.submit(createEdit('ann-1', 0));
    log.append(core.CONFIG_STREAM, a.service.snapshot());
    await waitUntilRead();
    (log.clock as sharedLog.TestClock).shiftMs += 2_000_000;
    routers.delete('a');
    await a.stop();
    await startRouter('a', {snapshotMaxAgeMs: '3000000'});
    await waitUntilRead();
    (log.clock as sharedLog.TestClock).shiftMs += 1_500_000;
    await polling.until('a second snapshot', () => snapshots().length >= 2);
  });

  it("starts from a peer's snapshot while the log is down", async () => {
    const a = await startRouter('a');
    await a.service.submit(createEdit('ann-1', 0));
    const b = await startRouter('b', {}, true);
    await polling.until('b to be current', () => {
      b.service.recordPeerOffset('a', a.service.nextOffset());
      return b.service.isCurrent();
    });
    chai.expect(endpointOf(b)).to.equal('ann-1');
  });

  it('has no configuration while log and peers are unreachable', async () => {
    const a = await startRouter('a');
    await a.service.submit(createEdit('ann-1', 0));
    const b = await startRouter('b', {}, true);
    b.service.recordPeerOffset('nobody', a.service.nextOffset());
    await polling.until('three reads by b', () => b.link.readCount >= 3);
    chai.expect(b.service.isCurrent()).to.equal(false);
    chai.expect(b.service.isStale()).to.equal(true);
    b.link.setDown(false);
    await polling.until('b to be current', () => endpointOf(b) === 'ann-1');
  });

  it('waits for a snapshot when the log has lost its history', async () => {
    const a = await startRouter('a');
    await a.service.submit(createEdit('ann-1', 0));
    a.link.setDown(true);
    log.truncate(core.CONFIG_STREAM);
    const b = await startRouter('b');
    await polling.until('three reads by b', () => b.link.readCount >= 3);
    chai.expect(b.service.isCurrent()).to.equal(false);
    a.link.setDown(false);
    await polling.until('b to be current', () => b.service.isCurrent());
    chai.expect(b.service.tables()).to.deep.equal(a.service.tables());
    const outcome = await b.service.submit(createEdit('bob-1', versionOf(b)));
    chai.expect(outcomeOf(outcome)).to.equal('accepted');
  });

  it("loses no edit in an outage longer than the log's retention", async () => {
    const [a, b] = [await startRouter('a'), await startRouter('b')];
    await a.service.submit(createEdit('ann-1', 0));
    await waitUntilRead();
    b.link.setDown(true);
    await a.service.submit(createEdit('ann-2', versionOf(a)));
    a.link.setDown(true);
    log.truncate(core.CONFIG_STREAM);
    b.link.setDown(false);
    const isInGap = await polling.until(
      'b to find a gap',
      () => !b.service.isCurrent(),
    );
    chai.expect(isInGap).to.equal(true);
    const pendingSubmit = b.service.submit(createEdit('bob-1', versionOf(b)));
    a.link.setDown(false);
    chai.expect(outcomeOf(await pendingSubmit)).to.equal('conflict');
    await waitUntilRead();
    chai
      .expect([endpointOf(a), endpointOf(b)])
      .to.deep.equal(['ann-2', 'ann-2']);
  });

  it('is stale while neither the log nor a peer confirms its offset as the newest', async () => {
    const a = await startRouter('a', {staleConfigMs: '2000'});
    await a.service.submit(createEdit('ann-1', 0));
    const nextOffset = a.service.nextOffset();
    chai.expect(a.service.isStale()).to.equal(false);
    a.link.setDown(true);
    const staleWait = polling.until('a to be stale', () => {
      a.service.recordPeerOffset('b', nextOffset - 1);
      return a.service.isStale();
    });
    await staleWait;
    a.service.recordPeerOffset('b', nextOffset);
    chai.expect(a.service.isStale()).to.equal(false);
  });
});
