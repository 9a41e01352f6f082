/** Log: offsets, retention, rate limit, lost appends and outages. */
import * as chai from 'chai';
import * as servers from '../servers.js';
import * as manualclock from './manualclock.js';
import * as support from './support.js';

const {expect} = chai;

describe('log', () => {
  let clock: manualclock.ManualClock;
  let platform: servers.PlatformServer;

  beforeEach(async () => {
    clock = new manualclock.ManualClock();
    platform = new servers.PlatformServer({clock});
    await platform.listen();
  });

  afterEach(() => platform.close());

  const append = (record: unknown, signal?: AbortSignal) =>
    support.requestJson('POST', `${platform.url}/log/s`, {record}, signal);

  const read = (query: string) =>
    support.requestJson('GET', `${platform.url}/log/s?${query}`);

  const runAction = (action: string, body: object) =>
    support.requestJson('POST', `${platform.url}/control/${action}`, body);

  const pageOffsets = async (query: string) => {
    const {body} = await read(query);
    const page = body as {first: number; next: number; records: unknown[]};
    const records = page.records as Array<{offset: number}>;
    return [page.first, page.next, records.map(({offset}) => offset)];
  };

  it('assigns offsets and reads from a given offset', async () => {
    for (const record of ['a', 'b', 'c']) await append(record);
    expect((await append('d')).body).to.deep.equal({offset: 3});
    expect(await pageOffsets('from=2')).to.deep.equal([0, 4, [2, 3]]);
    expect(await pageOffsets('from=1&limit=2')).to.deep.equal([0, 4, [1, 2]]);
    expect(await pageOffsets('from=9')).to.deep.equal([0, 4, []]);
  });

  it('drops records above the maximum age', async () => {
    platform.setFaults({retention_ms: 1_000});
    await append('old');
    clock.advance(600);
    await append('new');
    clock.advance(600);
    expect(await pageOffsets('from=0')).to.deep.equal([1, 2, [1]]);
    clock.advance(600);
    expect(await pageOffsets('from=0')).to.deep.equal([2, 2, []]);
  });

  it('drops records above the maximum number', async () => {
    platform.setFaults({retention_records: 2});
    for (const record of ['a', 'b', 'c']) await append(record);
    expect(await pageOffsets('from=0')).to.deep.equal([1, 3, [1, 2]]);
  });

  it('does not reuse offsets after records were truncated or forgotten', async () => {
    for (const record of ['a', 'b', 'c']) await append(record);
    await runAction('truncate', {stream: 's', before: 2});
    expect(await pageOffsets('from=0')).to.deep.equal([2, 3, [2]]);
    await runAction('forget', {stream: 's'});
    expect(await pageOffsets('from=0')).to.deep.equal([3, 3, []]);
    expect((await append('d')).body).to.deep.equal({offset: 3});
  });

  it('wakes a long poll on the next append', async () => {
    const waiting = pageOffsets('from=0&wait_ms=60000');
    await support.waitUntil(() => streamStats().reads === 1);
    await append('a');
    expect(await waiting).to.deep.equal([0, 1, [0]]);
  });

  it('rejects appends above the rate limit', async () => {
    platform.setFaults({appends_per_second: 2});
    const statuses = [];
    for (let i = 0; i < 3; i++) statuses.push((await append(i)).status);
    clock.advance(1_000);
    statuses.push((await append(3)).status);
    expect(statuses).to.deep.equal([200, 200, 429, 200]);
    expect(streamStats()).to.include({appends: 3, rejected_appends: 1});
  });

  it('loses the reply to an append that took effect', async () => {
    platform.setFaults({lose_append_replies: 1});
    expect(await hasFailed(append('a'))).to.equal(true);
    expect(await pageOffsets('from=0')).to.deep.equal([0, 1, [0]]);
    expect((await append('b')).status).to.equal(200);
  });

  it('loses an append that has no effect', async () => {
    platform.setFaults({lose_append_requests: 1});
    expect(await hasFailed(append('a'))).to.equal(true);
    expect(await pageOffsets('from=0')).to.deep.equal([0, 0, []]);
  });

  it('answers 503 while it is down, even to a waiting long poll', async () => {
    const waiting = read('from=0&wait_ms=60000');
    await support.waitUntil(() => streamStats().reads === 1);
    platform.setFaults({log_down: true});
    expect((await waiting).status).to.equal(503);
    expect((await append('a')).status).to.equal(503);
    platform.setFaults({log_down: false});
    expect((await append('a')).status).to.equal(200);
  });

  it('accepts requests but never answers them while it is silent', async () => {
    platform.setFaults({log_silent: true});
    const controller = new AbortController();
    const silent = hasFailed(append('a', controller.signal));
    await support.waitUntil(() => streamStats().unanswered === 1);
    platform.setFaults({log_silent: false});
    expect((await append('b')).body).to.deep.equal({offset: 0});
    controller.abort();
    expect(await silent).to.equal(true);
    expect(await pageOffsets('from=0')).to.deep.equal([0, 1, [0]]);
  });

  it('delays an append while it is slow', async () => {
    platform.setFaults({log_slow_ms: 500});
    const slow = append('a');
    await support.waitUntil(() => streamStats().bytes_in > 0);
    expect(streamStats().appends).to.equal(0);
    clock.advance(500);
    expect((await slow).body).to.deep.equal({offset: 0});
  });

  function streamStats() {
    const stats = platform.stats() as {
      streams: Record<string, Record<string, number>>;
    };
    const zeroCounts = {reads: 0, appends: 0, unanswered: 0, bytes_in: 0};
    return {...zeroCounts, ...stats.streams['s']};
  }

  function hasFailed(call: Promise<unknown>): Promise<boolean> {
    return call.then(
      () => false,
      () => true,
    );
  }
});
