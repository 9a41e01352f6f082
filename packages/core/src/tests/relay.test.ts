/** Tests of bodies that arrive slowly or never end, and of invalid requests. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

const LIMITS = {
  maxBytes: 1_000,
  idleTimeoutMs: 300,
  totalTimeoutMs: 1_200,
};

const REQUEST = {
  address: '127.0.0.1',
  port: 1,
  method: 'GET',
  path: '/',
  headers: {},
  body: Buffer.alloc(0),
  connectTimeoutMs: 1_000,
  firstByteTimeoutMs: 1_000,
};

/** How a server writes the body: pieces, the pause between them, and an end. */
interface Writing {
  readonly pieces: number;
  readonly pauseMs: number;
  readonly hasEnd: boolean;
}

describe('a response body that is read as a whole', () => {
  const servers: http.Server[] = [];

  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });

  async function collect(writing: Writing): Promise<Buffer | undefined> {
    const server = http.createServer((request, response) => {
      void writeSlowly(response, writing);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    const result = await core.relay.send({...REQUEST, port});
    if (result.type === 'error') throw new Error(result.error.detail);
    return core.relay.collectBody(result.response, LIMITS);
  }

  it('is not cut while bytes arrive, though it takes longer than the idle time', async () => {
    const body = await collect({pieces: 6, pauseMs: 100, hasEnd: true});
    expect(body?.toString()).to.equal('xxxxxx');
  });

  it('is given up after the idle time', async () => {
    const startMs = performance.now();
    const body = await collect({pieces: 1, pauseMs: 0, hasEnd: false});
    expect(body).to.equal(undefined);
    expect(performance.now() - startMs).to.be.within(250, 1_000);
  });

  it('is given up after the total time, though a byte comes now and then', async () => {
    const startMs = performance.now();
    const body = await collect({pieces: 100, pauseMs: 100, hasEnd: false});
    expect(body).to.equal(undefined);
    expect(performance.now() - startMs).to.be.within(1_100, 2_500);
  });
});

describe('a request that cannot be written', () => {
  const invalid = [
    {port: 99_999},
    {headers: {name: 'line\nbreak'}},
    {headers: {name: '\u6e2c'}},
    {path: '/a b'},
    {method: 'G T'},
  ];
  for (const fields of invalid) {
    it(`fails without a throw: ${JSON.stringify(fields)}`, async () => {
      const result = await core.relay.send({...REQUEST, ...fields});
      const stage = result.type === 'error' ? result.error.stage : 'none';
      expect(stage).to.equal('request');
    });
  }
});

async function writeSlowly(
  response: http.ServerResponse,
  {pieces, pauseMs, hasEnd}: Writing,
): Promise<void> {
  response.writeHead(200);
  for (let piece = 0; piece < pieces && !response.destroyed; piece++) {
    response.write('x');
    await timers.setTimeout(pauseMs);
  }
  if (hasEnd) response.end();
}
