/**
 * Tests of requests sent directly to endpoints: what callers receive and what
 * endpoints run.
 */
import * as chai from 'chai';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

/**
 * Time in which a request would have reached an endpoint if it had been sent,
 * in ms.
 */
const FORWARD_WAIT_MS = 100;

describe('a router that sends requests directly to endpoints', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  it('forwards method, path, body and id, and returns the complete response', async () => {
    const response = await fleet.call('/read/a?b=c', {
      body: 'question',
      headers: {'attempt-id': 'a1', 'x-other': 'kept'},
    });
    const [run] = fleet.runs();
    expect(response.status).to.equal(200);
    expect(response.headers['attempt-id']).to.equal('a1');
    expect(response.headers['response-seal']).to.match(/\.a1$/);
    expect(run).to.include({method: 'POST', path: '/read/a?b=c'});
    expect(run?.body).to.equal('question');
    expect(run?.headers).to.include({'x-other': 'kept', tenant: 'acme'});
    expect(run?.headers).not.to.have.property('x-api-key');
    expect(Number(run?.headers['deadline-ms'])).to.be.within(1, 2_000);
  });

  it("drops a caller's headers that only routers may set", async () => {
    const callerHeaders = {
      tenant: 'other',
      hold: 'h1',
      'pin-ms': '100',
      'kv-from': '1.2.3.4:5/h',
      'kv-backup': '1.2.3.4:5',
      'kv-fetch': '1.2.3.4:5',
      'expect-instance': 'e9',
    };
    await fleet.call('/read/a', {headers: callerHeaders});
    const headers = fleet.runs()[0]!.headers;
    expect(headers.tenant).to.equal('acme');
    for (const name of ['hold', 'pin-ms', 'kv-from', 'kv-backup', 'kv-fetch']) {
      expect(headers).not.to.have.property(name);
    }
  });

  /**
   * Sends a request with a prefix to an endpoint, drains that endpoint, and
   * repeats the request until the other one runs it.
   */
  async function drainHome(version: number, linkMbps: number) {
    const engine = {kvTokenBytes: 327_680, linkMbps};
    const services = [{name: 'pool', healthPath: '/health', engine}];
    fleet.store.put('keyed.op', 'config', support.config(version, {services}));
    await polling.until(
      'the new version is in force',
      () => fleet.version(0) === version,
    );
    const headers = {'prompt-prefix': `p${version}:9000,own:10`};
    await fleet.call('/read/a', {headers});
    const home = fleet.endpoints.find(({runs}) => runs.length === 1)!;
    fleet.store.put('keyed.servers', home.id, home.entry('draining'));
    const otherEndpoint = fleet.endpoints.find(endpoint => endpoint !== home)!;
    await polling.until('the other endpoint runs a request', async () => {
      await fleet.call('/read/a', {headers});
      return otherEndpoint.runs.length > 0;
    });
    return {home, run: otherEndpoint.runs[0]!};
  }

  it('has another endpoint copy the context of a prompt from a draining home', async () => {
    const {home, run} = await drainHome(2, 1_500_000);
    const address = `127.0.0.1:${home.port}`;
    expect(run.headers['kv-fetch']).to.equal(address);
  });

  it('requests no copy if processing the prompt is faster', async () => {
    const {run} = await drainHome(2, 10_000);
    expect(run.headers).not.to.have.property('kv-fetch');
  });

  it('refuses unknown keys and paths without sending to an endpoint', async () => {
    const unknownKey = await fleet.call('/read/a', {
      headers: {'x-api-key': 'no'},
    });
    const unknownPath = await fleet.call('/none/a');
    expect([unknownKey.status, unknownPath.status]).to.deep.equal([401, 404]);
    expect(fleet.runs()).to.have.length(0);
  });

  for (const type of ['fail', 'reset', 'foreign', 'truncate'] as const) {
    it(`retries an idempotent request at another endpoint after a failure of type ${type}`, async () => {
      for (const endpoint of fleet.endpoints) {
        endpoint.nextBehaviours.push({type});
      }
      fleet.endpoints[0]!.nextBehaviours.length = 0;
      for (let count = 0; count < 4; count++) {
        const response = await fleet.call('/read/a');
        expect(response.status).to.equal(200);
      }
    });

    it(`does not retry a non-idempotent request after a failure of type ${type}`, async () => {
      for (const endpoint of fleet.endpoints) {
        endpoint.defaultBehaviour = {type};
      }
      const response = await fleet.call('/book/a');
      expect(fleet.runs()).to.have.length(1);
      expect(response.status).to.be.oneOf([500, 502, 504]);
    });
  }

  it('rejects a response without a length whose connection is reset', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'unframed', isReset: true};
    }
    const truncatedResponse = await fleet.call('/book/a');
    expect(truncatedResponse.status).to.equal(502);
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'unframed', isReset: false};
    }
    const completeResponse = await fleet.call('/book/a');
    expect(completeResponse.body).to.equal('half and half');
    expect(completeResponse.headers).to.include({connection: 'close'});
    expect(completeResponse.headers).not.to.have.any.keys(
      'content-length',
      'transfer-encoding',
    );
  });

  it('passes on a response too long to buffer, and truncates it visibly if its connection breaks', async () => {
    const body = 'long '.repeat(600_000);
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'answer', body};
    }
    const completeResponse = await fleet.call('/read/a');
    expect(completeResponse.isComplete).to.equal(true);
    expect(completeResponse.body === body).to.equal(true);
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'truncate', body};
    }
    const runCount = fleet.runs().length;
    const truncatedResponse = await fleet.call('/read/a');
    expect(truncatedResponse.isComplete).to.equal(false);
    expect(
      fleet.runs(),
      'a response that has begun is not retried',
    ).to.have.length(runCount + 1);
  });

  it('rejects a success response without a seal', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'unsealed'};
    }
    const response = await fleet.call('/book/a');
    expect(response.status).to.equal(502);
  });

  it('retries a refused request at another endpoint, and answers 503 with retry-after if all refuse', async () => {
    fleet.endpoints[0]!.defaultBehaviour = {type: 'shed'};
    const servedResponse = await fleet.call('/book/a');
    expect(servedResponse.status).to.equal(200);
    fleet.endpoints[1]!.defaultBehaviour = {type: 'shed'};
    const refusedResponse = await fleet.call('/book/a');
    expect(refusedResponse.status).to.equal(503);
    expect(Number(refusedResponse.headers['retry-after'])).to.be.greaterThan(0);
    expect(fleet.runs()).to.have.length(1);
  });

  it('answers 504 at the time limit of the route if the endpoint does not respond', async () => {
    const routes = [
      support.route('/book/', 'non_idempotent', {timeoutMs: 200}),
    ];
    fleet.store.put('keyed.op', 'config', support.config(2, {routes}));
    await polling.until('version 2 is in force', () => fleet.version(0) === 2);
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'hang'};
    }
    const startMs = performance.now();
    const response = await fleet.call('/book/a');
    expect(response.status).to.equal(504);
    expect(performance.now() - startMs).to.be.within(190, 700);
  });

  it('aborts a request at its endpoint when the caller disconnects', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'hang'};
    }
    const callerAbort = new AbortController();
    const call = fleet
      .call('/read/a', {signal: callerAbort.signal})
      .catch(() => 0);
    await polling.until(
      'an endpoint runs the request',
      () => fleet.runs().length === 1,
    );
    callerAbort.abort();
    await polling.until(
      'the endpoint sees the disconnect',
      () => fleet.runs()[0]!.isCutOff,
      500,
    );
    await call;
  });

  it('sends no request whose caller disconnected while the router was busy', async () => {
    for (let count = 0; count < 6; count++) await fleet.call('/read/a');
    const runCount = fleet.runs().length;
    // The request and the end of its connection arrive together, as after a
    // pause of the router.
    for (let count = 0; count < 6; count++) {
      fleet.callAndDisconnect('/read/gone');
    }
    await polling.until('a later request is served', async () => {
      return (await fleet.call('/read/b')).status === 200;
    });
    await new Promise(resolve => setTimeout(resolve, FORWARD_WAIT_MS));
    const abandonedRuns = fleet
      .runs()
      .filter(({path}) => path === '/read/gone');
    expect(abandonedRuns).to.have.length(0);
    expect(fleet.runs()).to.have.length(runCount + 1);
  });

  it('passes on a complete event stream', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'stream', events: 9};
    }
    const response = await fleet.call('/chat/a');
    expect(response.body).to.equal(support.events(9));
    expect(response.isComplete).to.equal(true);
  });

  it('resumes a broken event stream at another endpoint, after the last complete event', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.nextBehaviours.push({type: 'stream', events: 9, cutInEvent: 4});
      endpoint.defaultBehaviour = {type: 'stream', events: 9};
    }
    fleet.endpoints[0]!.nextBehaviours.length = 0;
    for (let count = 0; count < 4; count++) {
      const response = await fleet.call('/chat/a');
      expect(response.body).to.equal(support.events(9));
      expect(response.isComplete).to.equal(true);
    }
  });

  it('visibly truncates a broken event stream that may not be resumed, after a complete event', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'stream', events: 9, cutInEvent: 4};
    }
    const response = await fleet.call('/once/a');
    expect(response.body).to.equal(support.events(3));
    expect(response.isComplete).to.equal(false);
    expect(fleet.runs()).to.have.length(1);
  });

  it('sends a request to another endpoint if the connection is refused', async () => {
    await fleet.endpoints[0]!.stop();
    for (let count = 0; count < 4; count++) {
      const response = await fleet.call('/book/a');
      expect(response.status).to.equal(200);
    }
    await fleet.endpoints[0]!.start();
  });

  it('quarantines only the request that crashes endpoints', async () => {
    const poison = {body: 'poison'};
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'crash'};
    }
    for (let crash = 1; crash <= 2; crash++) {
      const response = await fleet.call('/book/a', poison);
      expect(response.status).to.equal(502);
      expect(fleet.runs()).to.have.length(crash);
    }
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'answer'};
      await endpoint.start();
    }
    const refusedResponse = await fleet.call('/book/a', poison);
    expect(refusedResponse.status).to.equal(503);
    expect(refusedResponse.body).to.include('quarantined');
    expect(fleet.runs()).to.have.length(2);
    const otherRequest = await fleet.call('/book/a', {body: 'other'});
    expect(otherRequest.status).to.equal(200);
  });

  it('sends requests with the same prefix to the same endpoint', async () => {
    for (let count = 0; count < 6; count++) {
      const headers = {'prompt-prefix': `p:9,shared:5000,own${count}:10`};
      await fleet.call('/read/a', {headers});
    }
    const runCounts = fleet.endpoints.map(({runs}) => runs.length).sort();
    expect(runCounts).to.deep.equal([0, 6]);
  });

  it('serves its counters and histograms', async () => {
    await fleet.call('/read/a');
    const {body} = await fleet.getReadiness(0, '/metrics');
    expect(body).to.match(
      /oleander_requests_total\{route="r-read-",result="200"\} 1/,
    );
    expect(body).to.include('oleander_request_seconds_bucket');
  });
});
