/** Plain services: which requests count as runs. */
import * as chai from 'chai';
import * as net from 'node:net';
import type * as onecall from '../onecall.js';
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

  const body = async (request: Partial<onecall.CallRequest>) => {
    const outcome = await support.post(service, request);
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return JSON.parse(outcome.answer.text) as unknown;
  };

  it('counts the runs of each key', async () => {
    const booking = {path: '/bookings', idempotencyKey: 'k1'};
    expect(await body(booking)).to.deep.equal({key: 'k1', run: 1, nonce: 'n'});
    expect(await body(booking)).to.deep.equal({key: 'k1', run: 2, nonce: 'n'});
    expect(service.stats()).to.deep.include({runs_by_key: {k1: 2}});
  });

  it('answers a GET at once, with the nonce of the query', async () => {
    service.control({work_ms: 1_000_000});
    const lookup = {method: 'GET', path: '/jobs/1'};
    expect(await body(lookup)).to.deep.equal({run: 1, nonce: 'n'});
  });

  it('counts a run whose caller got no answer', async () => {
    service.control({malformed: true});
    const outcome = await support.post(service, {idempotencyKey: 'k1'});
    expect(outcome.type).to.equal('broken');
    expect(service.stats()).to.deep.include({runs_by_key: {k1: 1}, cut: 1});
  });

  it('does not count a request that was not read as a whole', async () => {
    const socket = net.connect(service.port, '127.0.0.1');
    const head = 'POST /b HTTP/1.1\r\nhost: a\r\nidempotency-key: k1\r\n';
    socket.write(`${head}content-length: 10\r\n\r\n{`);
    await support.until(() => connections(2));
    socket.destroy();
    await support.until(() => connections(1));
    expect(service.stats()).to.deep.include({runs_by_key: {}, started: 0});
  });

  it('refuses as not run', async () => {
    service.control({refuse: true});
    const outcome = await support.post(service, {idempotencyKey: 'k1'});
    const headers = outcome.type === 'raw' ? outcome.answer.headers : {};
    expect(headers).to.include({'oleander-ran': 'no'});
    expect(service.stats()).to.deep.include({runs_by_key: {}});
  });

  async function connections(expected: number): Promise<boolean> {
    const {body} = await support.json('GET', `${service.url}/stats?brief`);
    return (body as {connections: number}).connections === expected;
  }
});
