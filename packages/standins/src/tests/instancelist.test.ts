/** Instance list with its lag, and the rate limit of the weights. */
import * as chai from 'chai';
import * as servers from '../servers.js';
import * as manualclock from './manualclock.js';
import * as support from './support.js';

const {expect} = chai;
const ENGINE = {kind: 'endpoint', address: '127.0.0.1', port: 1};

describe('instance list and weights', () => {
  let clock: manualclock.ManualClock;
  let platform: servers.PlatformServer;

  beforeEach(async () => {
    clock = new manualclock.ManualClock();
    platform = new servers.PlatformServer({clock});
    await platform.listen();
  });

  afterEach(() => platform.close());

  const putInstance = (name: string, body: object = ENGINE) =>
    support.requestJson('PUT', `${platform.url}/instances/${name}`, body);

  const getList = (query = '') =>
    support.requestJson('GET', `${platform.url}/instances?${query}`);

  const versionAndNames = async () => {
    const {body} = await getList();
    const {version, instances} = body as {
      version: number;
      instances: Array<{name: string}>;
    };
    return [version, ...instances.map(({name}) => name)];
  };

  it('creates a version for each added and removed instance', async () => {
    await putInstance('e1');
    await putInstance('e2');
    expect(await versionAndNames()).to.deep.equal([2, 'e1', 'e2']);
    await support.requestJson('DELETE', `${platform.url}/instances/e1`);
    expect(await versionAndNames()).to.deep.equal([3, 'e2']);
    expect((await putInstance('e3', {kind: 'other'})).status).to.equal(400);
  });

  it('makes a change visible only after the lag', async () => {
    platform.setFaults({list_lag_ms: 1_000});
    await putInstance('e1');
    clock.advance(500);
    await putInstance('e2');
    expect(await versionAndNames()).to.deep.equal([0]);
    clock.advance(500);
    expect(await versionAndNames()).to.deep.equal([1, 'e1']);
    clock.advance(500);
    expect(await versionAndNames()).to.deep.equal([2, 'e1', 'e2']);
  });

  it('does not hide a visible version when the lag is raised', async () => {
    await putInstance('e1');
    expect(await versionAndNames()).to.deep.equal([1, 'e1']);
    platform.setFaults({list_lag_ms: 1_000});
    expect(await versionAndNames()).to.deep.equal([1, 'e1']);
  });

  it('answers a long poll when a version becomes visible', async () => {
    platform.setFaults({list_lag_ms: 1_000});
    const waiting = getList('known=0&wait_ms=60000');
    await support.waitUntil(() => readCount() === 1);
    await putInstance('e1');
    clock.advance(1_000);
    expect((await waiting).body).to.include({version: 1});
  });

  it('answers 304 if nothing changed and 503 while it is down', async () => {
    expect((await getList('known=0&wait_ms=0')).status).to.equal(304);
    platform.setFaults({list_down: true});
    expect((await getList()).status).to.equal(503);
  });

  it('limits the rate of calls to the weights', async () => {
    platform.setFaults({weight_calls_per_second: 2});
    const address = `${platform.url}/weights/k`;
    const written = await support.requestJson('PUT', address, {weight: 3});
    expect(written.body).to.deep.equal({key: 'k', weight: 3});
    expect((await support.requestJson('GET', address)).body).to.include({
      weight: 3,
    });
    expect((await support.requestJson('GET', address)).status).to.equal(429);
  });

  function readCount(): number {
    return (platform.stats() as {list: {reads: number}}).list.reads;
  }
});
