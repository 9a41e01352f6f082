/** Configuration under failure: routers in memory over one log. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as parts from './parts.js';
import * as sharedLog from './sharedlog.js';
import * as waiting from './until.js';

/** Clock ms in one real ms: the waits are those of production, shorter. */
const SPEED = 10;
const SEED = 5;

function edit(id: string, version: number, name = 'p'): core.Edit {
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

function versionOf(part: parts.ConfigPart, name = 'p'): number {
  return part.service.tables().pools[name]?.version ?? 0;
}

function endpointOf(part: parts.ConfigPart, name = 'p'): string | undefined {
  return part.service.tables().pools[name]?.row.endpoints[0];
}

function outcomeOf(result: core.Result<core.Verdict>): string {
  return result.ok ? result.value.outcome : result.failure.kind;
}

function isSnapshot(record: unknown): boolean {
  return (record as core.ConfigRecord).type === 'snapshot';
}

describe('configuration under failure', () => {
  let log: sharedLog.SharedLog;
  const running = new Map<string, parts.ConfigPart>();

  async function boot(name: string, flags: parts.Flags = {}, isCut = false) {
    const options = {name, log, flags, isCut, leader: 'a', peers: running};
    const part = await parts.startConfiguration(options);
    running.set(name, part);
    return part;
  }

  function offsets(): number[] {
    return [...running.values()].map(part => part.service.nextOffset());
  }

  /** Waits until all routers have read the whole log. */
  async function settle(): Promise<void> {
    const {length} = log.open(core.CONFIG_STREAM);
    const isRead = () => offsets().every(offset => offset === length);
    await waiting.until('all have read the log', isRead);
  }

  function records(): unknown[] {
    return log.records(core.CONFIG_STREAM);
  }

  function snapshots(): unknown[] {
    return records().filter(isSnapshot);
  }

  beforeEach(() => {
    log = new sharedLog.SharedLog(new sharedLog.TestClock(SPEED));
  });

  afterEach(async () => {
    const all = [...running.values()];
    running.clear();
    await Promise.all(all.map(part => part.stop()));
  });

  it('accepts one of two edits of a row, and all routers agree', async () => {
    const [a, b, c] = [await boot('a'), await boot('b'), await boot('c')];
    for (let round = 0; round < 50; round++) {
      const version = versionOf(a);
      const results = await Promise.all([
        a.service.submit(edit(`left-${round}`, version)),
        b.service.submit(edit(`right-${round}`, version)),
      ]);
      const outcomes = results.map(outcomeOf).sort();
      chai.expect(outcomes).to.deep.equal(['accepted', 'conflict']);
      await settle();
    }
    for (const part of [b, c]) {
      chai.expect(part.service.verdicts()).to.deep.equal(a.service.verdicts());
      chai.expect(part.service.tables()).to.deep.equal(a.service.tables());
    }
  });

  it('counts an edit once whose requests or replies are lost', async () => {
    const a = await boot('a');
    const random = new core.SeededRandom(SEED);
    const names = [...Array(20).keys()].map(index => `p${index}`);
    for (const name of names) {
      a.link.lostReplies = random.below(2);
      a.link.lostRequests = random.below(2);
      const result = await a.service.submit(edit(`ann-${name}`, 0, name));
      chai.expect(outcomeOf(result)).to.equal('accepted');
      await settle();
    }
    const verdicts = a.service.verdicts().map(verdict => verdict.edit_id);
    chai.expect(verdicts).to.deep.equal(names.map(name => `ann-${name}`));
  });

  it('counts an edit once that is recorded twice', async () => {
    const a = await boot('a');
    await a.service.submit(edit('ann-1', 0));
    const version = versionOf(a);
    log.append(core.CONFIG_STREAM, edit('ann-1', 0));
    await settle();
    chai.expect(versionOf(a)).to.equal(version);
    const outcomes = a.service.verdicts().map(verdict => verdict.outcome);
    chai.expect(outcomes).to.deep.equal(['accepted']);
  });

  it('boots from a snapshot where the edits have expired', async () => {
    const a = await boot('a', {snapshotEvery: '4'});
    log.maxRecords = 8;
    for (let count = 0; count < 30; count++) {
      const name = `p${count % 12}`;
      await a.service.submit(edit(`ann-${count}`, versionOf(a, name), name));
      if (count % 4 < 3) continue;
      await waiting.until('a snapshot', () => records().some(isSnapshot));
    }
    const [first] = records();
    chai.expect(first).to.not.include({edit_id: 'ann-0'});
    const b = await boot('b');
    await settle();
    chai.expect(b.service.tables()).to.deep.equal(a.service.tables());
    chai.expect(b.service.verdicts()).to.deep.equal(a.service.verdicts());
  });

  it('renews the snapshot before it expires, also without edits', async () => {
    const a = await boot('a', {snapshotMaxAgeMs: '2000'});
    await a.service.submit(edit('ann-1', 0));
    await waiting.until('three snapshots', () => snapshots().length >= 3);
    chai.expect(endpointOf(a)).to.equal('ann-1');
  });

  it('counts the age of a snapshot from when it was written', async () => {
    const a = await boot('a', {snapshotMaxAgeMs: '3000000'});
    await a.service.submit(edit('ann-1', 0));
    log.append(core.CONFIG_STREAM, a.service.snapshot());
    await settle();
    (log.clock as sharedLog.TestClock).shiftMs += 2_000_000;
    running.delete('a');
    await a.stop();
    await boot('a', {snapshotMaxAgeMs: '3000000'});
    await settle();
    (log.clock as sharedLog.TestClock).shiftMs += 1_500_000;
    await waiting.until('a second', () => snapshots().length >= 2);
  });

  it('boots from a peer while the log is down', async () => {
    const a = await boot('a');
    await a.service.submit(edit('ann-1', 0));
    const b = await boot('b', {}, true);
    await waiting.until('b in force', () => {
      b.service.heard('a', a.service.nextOffset());
      return b.service.isCurrent();
    });
    chai.expect(endpointOf(b)).to.equal('ann-1');
  });

  it('has nothing to serve with while log and peers are away', async () => {
    const a = await boot('a');
    await a.service.submit(edit('ann-1', 0));
    const b = await boot('b', {}, true);
    b.service.heard('nobody', a.service.nextOffset());
    await waiting.until('three tries', () => b.link.reads >= 3);
    chai.expect(b.service.isCurrent()).to.equal(false);
    chai.expect(b.service.isStale()).to.equal(true);
    b.link.cut(false);
    await waiting.until('b in force', () => endpointOf(b) === 'ann-1');
  });

  it('waits where the log lost its history, until it is written', async () => {
    const a = await boot('a');
    await a.service.submit(edit('ann-1', 0));
    a.link.cut(true);
    log.forget(core.CONFIG_STREAM);
    const b = await boot('b');
    await waiting.until('three tries', () => b.link.reads >= 3);
    chai.expect(b.service.isCurrent()).to.equal(false);
    a.link.cut(false);
    await waiting.until('b in force', () => b.service.isCurrent());
    chai.expect(b.service.tables()).to.deep.equal(a.service.tables());
    const outcome = await b.service.submit(edit('bob-1', versionOf(b)));
    chai.expect(outcomeOf(outcome)).to.equal('accepted');
  });

  it('reverts nothing after an outage longer than the retention', async () => {
    const [a, b] = [await boot('a'), await boot('b')];
    await a.service.submit(edit('ann-1', 0));
    await settle();
    b.link.cut(true);
    await a.service.submit(edit('ann-2', versionOf(a)));
    a.link.cut(true);
    log.forget(core.CONFIG_STREAM);
    b.link.cut(false);
    const gap = await waiting.until('b in a gap', () => !b.service.isCurrent());
    chai.expect(gap).to.equal(true);
    const early = b.service.submit(edit('bob-1', versionOf(b)));
    a.link.cut(false);
    chai.expect(outcomeOf(await early)).to.equal('conflict');
    await settle();
    chai
      .expect([endpointOf(a), endpointOf(b)])
      .to.deep.equal(['ann-2', 'ann-2']);
  });

  it('is stale without the log and peers that know the newest', async () => {
    const a = await boot('a', {staleConfigMs: '2000'});
    await a.service.submit(edit('ann-1', 0));
    const next = a.service.nextOffset();
    chai.expect(a.service.isStale()).to.equal(false);
    a.link.cut(true);
    const stale = waiting.until('stale', () => {
      a.service.heard('b', next - 1);
      return a.service.isStale();
    });
    await stale;
    a.service.heard('b', next);
    chai.expect(a.service.isStale()).to.equal(false);
  });
});
