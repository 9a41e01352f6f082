/**
 * Guards against fields of a head that are dropped without an error: Node.js
 * keeps the first 1,000 by default, so that a request ran without what its
 * caller sent behind them, and an answer lost its seal, id or notices.
 */
import * as http from 'node:http';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

/** Number of short fields in front of those that matter. */
const SHORT_FIELDS = 1_100;
/** As many of the shortest fields as fit in a head of 16 KB. */
const MOST_FIELDS = 3_100;

const REQUEST_FIELDS: Readonly<Record<string, string>> = {
  model: 'm-7',
  'token-counts': '1460,80',
  'prompt-prefix': '5c1e07a2:800,91bd3f06:410',
  'last-event-id': '12',
};

function shortFields(count: number): Record<string, string> {
  const names = [...Array(count).keys()].map(index => `z${index.toString(36)}`);
  return Object.fromEntries(names.map(name => [name, '']));
}

function lines(fields: Readonly<Record<string, string>>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
}

describe('a head of very many short fields', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, 1, {}, {isFirstStart: 'true'});
  });

  afterEach(() => fleet.stop());

  for (const count of [SHORT_FIELDS, MOST_FIELDS]) {
    it(`of a request reaches the endpoint whole: ${count} fields`, async () => {
      const headers = {...shortFields(count), ...REQUEST_FIELDS};
      const {status} = await fleet.call('/chat/a', {headers});
      expect(status).to.equal(200);
      const [run] = fleet.runs();
      expect(run!.headers).to.include(REQUEST_FIELDS);
      expect(run!.headers).to.include.all.keys(
        Object.keys(shortFields(count)).slice(-10),
      );
    });
  }

  it('of a request keeps the API key behind them', async () => {
    const {status} = await fleet.callWithHeaders('/read/a', {
      host: support.HOST,
      'attempt-id': 'many-1',
      'deadline-ms': '3000',
      ...shortFields(SHORT_FIELDS),
      'x-api-key': support.API_KEY,
    });
    expect(status).to.equal(200);
  });

  it('of an answer reaches the caller with its seal and id', async () => {
    fleet.setBehaviour({
      type: 'raw',
      isReset: false,
      text: ({headers}) =>
        `HTTP/1.1 200 OK\r\n${lines(shortFields(SHORT_FIELDS))}` +
        `attempt-id: ${String(headers['attempt-id'])}\r\n` +
        'response-seal: s\r\ncontent-length: 2\r\n\r\nok',
    });
    const response = await fleet.call('/book/a');
    expect([response.status, response.body]).to.deep.equal([200, 'ok']);
    expect(response.headers).to.include({'response-seal': 's', zuj: ''});
  });

  it('of a refusal keeps what it says behind them', async () => {
    const refusal: standins.Behaviour = {
      type: 'raw',
      isReset: false,
      text: ({headers}) =>
        `HTTP/1.1 503 Full\r\n${lines(shortFields(SHORT_FIELDS))}` +
        `attempt-id: ${String(headers['attempt-id'])}\r\n` +
        'not-executed: 1\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n',
    };
    let arrivals = 0;
    for (const endpoint of fleet.endpoints) {
      endpoint.chooseBehaviour = () =>
        arrivals++ === 0 ? refusal : {type: 'answer'};
    }
    for (let count = 0; count < 6; count++) {
      const {status} = await fleet.call(`/book/${count}`);
      expect(status).to.equal(200);
    }
    const counts = fleet.endpoints.map(({arrivalCount}) => arrivalCount);
    expect(counts, 'arrivals').to.have.members([1, 6]);
  });

  it('is served at the other listeners', async () => {
    const {status} = await fleet.getReadiness(0, '/ready', {
      ...shortFields(SHORT_FIELDS),
    });
    expect(status).to.equal(200);
  });

  it('does not take trailers for fields of the head', async () => {
    const {status} = await fleet.callWithTrailers('/chat/a', {
      headers: {model: 'm-7'},
      trailers: {model: 'other', 'token-counts': '1,1'},
    });
    expect(status).to.equal(200);
    const [run] = fleet.runs();
    expect(run!.headers.model).to.equal('m-7');
    expect(run!.headers).to.not.have.property('token-counts');
  });

  it('of an answer is whole for each use of the relay', async () => {
    const fields = {...shortFields(SHORT_FIELDS), last: 'kept'};
    const server = http.createServer((request, response) => {
      request.resume();
      response.writeHead(200, fields).end();
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    try {
      const result = await core.relay.send({
        address: '127.0.0.1',
        port: (server.address() as {port: number}).port,
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        connectTimeoutMs: 1_000,
      });
      if (result.type !== 'head') throw new Error(result.error.detail);
      expect(result.response.headers).to.include({last: 'kept'});
      result.response.resume();
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
});
