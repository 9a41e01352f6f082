/** The lagging list of instances, and the rate of the weight store. */
import * as chai from 'chai';
import * as servers from '../servers.js';
import * as manualclock from './manualclock.js';
import * as support from './support.js';

const {expect} = chai;
const ENGINE = {kind: 'endpoint', address: '127.0.0.1', port: 1};

describe('instances and weights', () => {
  let clock: manualclock.ManualClock;
  let platform: servers.PlatformServer;

  beforeEach(async () => {
    clock = new manualclock.ManualClock();
    platform = new servers.PlatformServer({clock});
    await platform.listen();
  });

  afterEach(() => platform.close());

  const put = (name: string, body: object = ENGINE) =>
    support.json('PUT', `${platform.url}/instances/${name}`, body);

  const list = (query = '') =>
    support.json('GET', `${platform.url}/instances?${query}`);

  const names = async () => {
    const {body} = await list();
    const {version, instances} = body as {
      version: number;
      instances: Array<{name: string}>;
    };
    return [version, ...instances.map(({name}) => name)];
  };

  it('lists what was put and removed, each with a version', async () => {
    await put('e1');
    await put('e2');
    expect(await names()).to.deep.equal([2, 'e1', 'e2']);
    await support.json('DELETE', `${platform.url}/instances/e1`);
    expect(await names()).to.deep.equal([3, 'e2']);
    expect((await put('e3', {kind: 'other'})).status).to.equal(400);
  });

  it('shows a change only after the lag', async () => {
    platform.control({list_lag_ms: 1_000});
    await put('e1');
    clock.advance(500);
    await put('e2');
    expect(await names()).to.deep.equal([0]);
    clock.advance(500);
    expect(await names()).to.deep.equal([1, 'e1']);
    clock.advance(500);
    expect(await names()).to.deep.equal([2, 'e1', 'e2']);
  });

  it('never goes back when the lag grows', async () => {
    await put('e1');
    expect(await names()).to.deep.equal([1, 'e1']);
    platform.control({list_lag_ms: 1_000});
    expect(await names()).to.deep.equal([1, 'e1']);
  });

  it('answers a long poll when a version becomes visible', async () => {
    platform.control({list_lag_ms: 1_000});
    const waiting = list('known=0&wait_ms=60000');
    await support.until(() => reads() === 1);
    await put('e1');
    clock.advance(1_000);
    expect((await waiting).body).to.include({version: 1});
  });

  it('answers 304 where nothing changed, 503 where it is down', async () => {
    expect((await list('known=0&wait_ms=0')).status).to.equal(304);
    platform.control({list_down: true});
    expect((await list()).status).to.equal(503);
  });

  it('limits the rate of calls for weights', async () => {
    platform.control({weight_calls_per_second: 2});
    const address = `${platform.url}/weights/k`;
    const written = await support.json('PUT', address, {weight: 3});
    expect(written.body).to.deep.equal({key: 'k', weight: 3});
    expect((await support.json('GET', address)).body).to.include({weight: 3});
    expect((await support.json('GET', address)).status).to.equal(429);
  });

  function reads(): number {
    return (platform.stats() as {list: {reads: number}}).list.reads;
  }
});
