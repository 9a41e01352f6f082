/** Requests that go straight to endpoints: what callers and endpoints see. */
import * as chai from 'chai';
import * as support from './directfleet.js';
import * as until from './until.js';

const {expect} = chai;

/** Time in which a request that was sent on would have run, in ms. */
const SEND_ON_WAIT_MS = 100;

describe('a router that sends straight to endpoints', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  it('forwards method, path, body and id, and returns the whole answer', async () => {
    const got = await fleet.call('/read/a?b=c', {
      body: 'question',
      headers: {'attempt-id': 'a1', 'x-other': 'kept'},
    });
    const [run] = fleet.runs();
    expect(got.status).to.equal(200);
    expect(got.headers['attempt-id']).to.equal('a1');
    expect(got.headers['response-seal']).to.match(/\.a1$/);
    expect(run).to.include({method: 'POST', path: '/read/a?b=c'});
    expect(run?.body).to.equal('question');
    expect(run?.headers).to.include({'x-other': 'kept', tenant: 'acme'});
    expect(run?.headers).not.to.have.property('x-api-key');
    expect(Number(run?.headers['deadline-ms'])).to.be.within(1, 2_000);
  });

  it('drops what only routers may set', async () => {
    const forged = {
      tenant: 'other',
      hold: 'h1',
      'pin-ms': '100',
      'kv-from': '1.2.3.4:5/h',
      'kv-backup': '1.2.3.4:5',
      'kv-fetch': '1.2.3.4:5',
      'expect-instance': 'e9',
    };
    await fleet.call('/read/a', {headers: forged});
    const headers = fleet.runs()[0]!.headers;
    expect(headers.tenant).to.equal('acme');
    for (const name of ['hold', 'pin-ms', 'kv-from', 'kv-backup', 'kv-fetch']) {
      expect(headers).not.to.have.property(name);
    }
  });

  /** Serves one prefix, then once more after its endpoint began to drain. */
  async function drainHome(version: number, linkMbps: number) {
    const engine = {kvTokenBytes: 327_680, linkMbps};
    const services = [{name: 'pool', healthPath: '/health', engine}];
    fleet.store.put('keyed.op', 'config', support.config(version, {services}));
    await until.until('tables', () => fleet.version(0) === version);
    const headers = {'prompt-prefix': `p${version}:9000,own:10`};
    await fleet.call('/read/a', {headers});
    const home = fleet.endpoints.find(({runs}) => runs.length === 1)!;
    fleet.store.put('keyed.servers', home.id, home.entry('draining'));
    const other = fleet.endpoints.find(each => each !== home)!;
    await until.until('the other serves', async () => {
      await fleet.call('/read/a', {headers});
      return other.runs.length > 0;
    });
    return {home, run: other.runs[0]!};
  }

  it('has an endpoint copy context from a home that drains', async () => {
    const {home, run} = await drainHome(2, 1_500_000);
    const address = `127.0.0.1:${home.port}`;
    expect(run.headers['kv-fetch']).to.equal(address);
  });

  it('has nothing copied where reading is quicker', async () => {
    const {run} = await drainHome(2, 10_000);
    expect(run.headers).not.to.have.property('kv-fetch');
  });

  it('refuses unknown keys and paths without asking an endpoint', async () => {
    const noKey = await fleet.call('/read/a', {headers: {'x-api-key': 'no'}});
    const noRoute = await fleet.call('/none/a');
    expect([noKey.status, noRoute.status]).to.deep.equal([401, 404]);
    expect(fleet.runs()).to.have.length(0);
  });

  for (const type of ['fail', 'reset', 'foreign', 'truncate'] as const) {
    it(`runs an idempotent request elsewhere after ${type}`, async () => {
      for (const endpoint of fleet.endpoints) endpoint.next.push({type});
      fleet.endpoints[0]!.next.length = 0;
      for (let count = 0; count < 4; count++) {
        const got = await fleet.call('/read/a');
        expect(got.status).to.equal(200);
      }
    });

    it(`runs a call that may run once no second time after ${type}`, async () => {
      for (const endpoint of fleet.endpoints) endpoint.usual = {type};
      const got = await fleet.call('/book/a');
      expect(fleet.runs()).to.have.length(1);
      expect(got.status).to.be.oneOf([500, 502, 504]);
    });
  }

  it('takes an answer without a length that is reset for no answer', async () => {
    for (const each of fleet.endpoints) {
      each.usual = {type: 'unframed', isReset: true};
    }
    const cut = await fleet.call('/book/a');
    expect(cut.status).to.equal(502);
    for (const each of fleet.endpoints) {
      each.usual = {type: 'unframed', isReset: false};
    }
    const whole = await fleet.call('/book/a');
    expect(whole.body).to.equal('half and half');
    expect(whole.headers).to.include({connection: 'close'});
    expect(whole.headers).not.to.have.any.keys(
      'content-length',
      'transfer-encoding',
    );
  });

  it('passes a long answer on whole, or visibly cut', async () => {
    const body = 'long '.repeat(600_000);
    for (const each of fleet.endpoints) each.usual = {type: 'answer', body};
    const whole = await fleet.call('/read/a');
    expect(whole.isWhole).to.equal(true);
    expect(whole.body === body).to.equal(true);
    for (const each of fleet.endpoints) {
      each.usual = {type: 'truncate', body};
    }
    const runs = fleet.runs().length;
    const cut = await fleet.call('/read/a');
    expect(cut.isWhole).to.equal(false);
    expect(fleet.runs(), 'nobody can take over').to.have.length(runs + 1);
  });

  it('takes a success without a seal for no answer', async () => {
    for (const each of fleet.endpoints) each.usual = {type: 'unsealed'};
    const got = await fleet.call('/book/a');
    expect(got.status).to.equal(502);
  });

  it('sends a refused call elsewhere, and says truly that it did not run', async () => {
    fleet.endpoints[0]!.usual = {type: 'shed'};
    const served = await fleet.call('/book/a');
    expect(served.status).to.equal(200);
    fleet.endpoints[1]!.usual = {type: 'shed'};
    const refused = await fleet.call('/book/a');
    expect(refused.status).to.equal(503);
    expect(Number(refused.headers['retry-after'])).to.be.greaterThan(0);
    expect(fleet.runs()).to.have.length(1);
  });

  it('gives a call up at the time of its route', async () => {
    const routes = [
      support.route('/book/', 'non_idempotent', {timeoutMs: 200}),
    ];
    fleet.store.put('keyed.op', 'config', support.config(2, {routes}));
    await until.until('version 2', () => fleet.version(0) === 2);
    for (const each of fleet.endpoints) each.usual = {type: 'hang'};
    const beganMs = performance.now();
    const got = await fleet.call('/book/a');
    expect(got.status).to.equal(504);
    expect(performance.now() - beganMs).to.be.within(190, 700);
  });

  it('ends the work of an endpoint whose caller has left', async () => {
    for (const each of fleet.endpoints) each.usual = {type: 'hang'};
    const leave = new AbortController();
    const call = fleet.call('/read/a', {signal: leave.signal}).catch(() => 0);
    await until.until('it runs', () => fleet.runs().length === 1);
    leave.abort();
    await until.until('it ends', () => fleet.runs()[0]!.hasLeft, 500);
    await call;
  });

  it('sends nothing on for a caller that left while the router was busy', async () => {
    for (let count = 0; count < 6; count++) await fleet.call('/read/a');
    const runs = fleet.runs().length;
    // Request and end wait together at the router, as after a pause of it.
    for (let count = 0; count < 6; count++) {
      fleet.callAndDisconnect('/read/gone');
    }
    await until.until('a later request is served', async () => {
      return (await fleet.call('/read/b')).status === 200;
    });
    await new Promise(resolve => setTimeout(resolve, SEND_ON_WAIT_MS));
    const gone = fleet.runs().filter(({path}) => path === '/read/gone');
    expect(gone).to.have.length(0);
    expect(fleet.runs()).to.have.length(runs + 1);
  });

  it('passes a stream on whole', async () => {
    for (const each of fleet.endpoints) {
      each.usual = {type: 'stream', events: 9};
    }
    const got = await fleet.call('/chat/a');
    expect(got.body).to.equal(support.events(9));
    expect(got.isWhole).to.equal(true);
  });

  it('goes on with a broken stream elsewhere, after the last whole event', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.next.push({type: 'stream', events: 9, breakIn: 4});
      endpoint.usual = {type: 'stream', events: 9};
    }
    fleet.endpoints[0]!.next.length = 0;
    for (let count = 0; count < 4; count++) {
      const got = await fleet.call('/chat/a');
      expect(got.body).to.equal(support.events(9));
      expect(got.isWhole).to.equal(true);
    }
  });

  it('cuts a stream that may not go on, visibly and without half an event', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.usual = {type: 'stream', events: 9, breakIn: 4};
    }
    const got = await fleet.call('/once/a');
    expect(got.body).to.equal(support.events(3));
    expect(got.isWhole).to.equal(false);
    expect(fleet.runs()).to.have.length(1);
  });

  it('sends a call on where no connection can be made', async () => {
    await fleet.endpoints[0]!.stop();
    for (let count = 0; count < 4; count++) {
      const got = await fleet.call('/book/a');
      expect(got.status).to.equal(200);
    }
    await fleet.endpoints[0]!.start();
  });

  it('quarantines a request under which endpoints crash, and no other', async () => {
    const poison = {body: 'poison'};
    for (const endpoint of fleet.endpoints) {
      endpoint.usual = {type: 'crash'};
    }
    for (let crash = 1; crash <= 2; crash++) {
      const got = await fleet.call('/book/a', poison);
      expect(got.status).to.equal(502);
      expect(fleet.runs()).to.have.length(crash);
    }
    for (const endpoint of fleet.endpoints) {
      endpoint.usual = {type: 'answer'};
      await endpoint.start();
    }
    const refused = await fleet.call('/book/a', poison);
    expect(refused.status).to.equal(503);
    expect(refused.body).to.include('quarantined');
    expect(fleet.runs()).to.have.length(2);
    const other = await fleet.call('/book/a', {body: 'other'});
    expect(other.status).to.equal(200);
  });

  it('sends the same prefix to the same endpoint', async () => {
    for (let count = 0; count < 6; count++) {
      const headers = {'prompt-prefix': `p:9,shared:5000,own${count}:10`};
      await fleet.call('/read/a', {headers});
    }
    const counts = fleet.endpoints.map(({runs}) => runs.length).sort();
    expect(counts).to.deep.equal([0, 6]);
  });

  it('serves its counters and histograms', async () => {
    await fleet.call('/read/a');
    const {body} = await fleet.ready(0, '/metrics');
    expect(body).to.match(
      /oleander_requests_total\{route="r-read-",result="200"\} 1/,
    );
    expect(body).to.include('oleander_request_seconds_bucket');
  });
});
