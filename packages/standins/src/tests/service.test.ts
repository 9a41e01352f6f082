/** Plain services: which requests are counted as runs. */
import * as chai from 'chai';
import * as net from 'node:net';
import type * as httpCall from '../httpcall.js';
import * as servers from '../servers.js';
import * as support from './support.js';

const {expect} = chai;

describe('service', () => {
  let service: servers.ServiceServer;

  beforeEach(async () => {
    service = new servers.ServiceServer({faults: {work_ms: 0}});
    await service.listen();
  });

  afterEach(() => service.close());

  const answerBody = async (request: Partial<httpCall.CallRequest>) => {
    const outcome = await support.sendRequest(service, request);
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return JSON.parse(outcome.answer.text) as unknown;
  };

  it('counts the runs of each idempotency key', async () => {
    const booking = {path: '/bookings', idempotencyKey: 'k1'};
    expect(await answerBody(booking)).to.deep.equal({
      key: 'k1',
      run: 1,
      nonce: 'n',
    });
    expect(await answerBody(booking)).to.deep.equal({
      key: 'k1',
      run: 2,
      nonce: 'n',
    });
    expect(service.stats()).to.deep.include({runs_by_key: {k1: 2}});
  });

  it('answers a GET without delay, with the nonce of the query', async () => {
    service.setFaults({work_ms: 1_000_000});
    const lookup = {method: 'GET', path: '/jobs/1'};
    expect(await answerBody(lookup)).to.deep.equal({run: 1, nonce: 'n'});
  });

  it('counts a run whose caller received no valid answer', async () => {
    service.setFaults({malformed: true});
    const outcome = await support.sendRequest(service, {idempotencyKey: 'k1'});
    expect(outcome.type).to.equal('broken');
    expect(service.stats()).to.deep.include({runs_by_key: {k1: 1}, cut: 1});
  });

  it('does not count a request whose body is incomplete', async () => {
    const socket = net.connect(service.port, '127.0.0.1');
    const head = 'POST /b HTTP/1.1\r\nhost: a\r\nidempotency-key: k1\r\n';
    socket.write(`${head}content-length: 10\r\n\r\n{`);
    await support.waitUntil(() => hasConnections(2));
    socket.destroy();
    await support.waitUntil(() => hasConnections(1));
    expect(service.stats()).to.deep.include({runs_by_key: {}, started: 0});
  });

  it('refuses requests without running them', async () => {
    service.setFaults({refuse: true});
    const outcome = await support.sendRequest(service, {idempotencyKey: 'k1'});
    const headers = outcome.type === 'raw' ? outcome.answer.headers : {};
    expect(headers).to.include({'oleander-ran': 'no'});
    expect(service.stats()).to.deep.include({runs_by_key: {}});
  });

  async function hasConnections(expected: number): Promise<boolean> {
    const {body} = await support.requestJson(
      'GET',
      `${service.url}/stats?brief`,
    );
    return (body as {connections: number}).connections === expected;
  }
});
