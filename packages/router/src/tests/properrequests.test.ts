/**
 * Tests that a proper request gets no 400, 401, 404, 413 or 431 from a router,
 * whatever the router knows and however the request is sent.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

/** Body limit of the configuration, in bytes. */
const MAX_BODY_BYTES = 1_048_576;

const NO_STORE = '127.0.0.1:9';

let attemptCount = 0;

function head(extraHeaders: readonly string[], path = '/read/a'): string {
  attemptCount += 1;
  const headers = [
    `host: ${support.HOST}`,
    `attempt-id: raw-${attemptCount}`,
    'deadline-ms: 3000',
    `x-api-key: ${support.API_KEY}`,
    ...extraHeaders,
  ];
  return `POST ${path} HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`;
}

function withLength(body: string): string {
  return head([`content-length: ${body.length}`]) + body;
}

function inChunks(body: string, chunkBytes: number): string {
  const chunks: string[] = [];
  for (let start = 0; start < body.length; start += chunkBytes) {
    const chunk = body.slice(start, start + chunkBytes);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return `${head(['transfer-encoding: chunked'])}${chunks.join('')}0\r\n\r\n`;
}

describe('a proper request of a caller', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, 1);
  });

  afterEach(() => fleet.stop());

  /** Sends requests over one connection; resolves with the statuses. */
  async function exchange(
    requests: readonly string[],
    {router = 0, endsItsSide = false} = {},
  ): Promise<number[]> {
    const socket = net.connect({
      host: fleet.address(router),
      port: fleet.entryPort,
      allowHalfOpen: true,
    });
    let received = '';
    let isEnded = false;
    socket.on('data', chunk => (received += chunk.toString()));
    socket.on('end', () => (isEnded = true));
    socket.on('close', () => (isEnded = true));
    socket.on('error', () => undefined);
    const statuses = () =>
      [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
        Number(status),
      );
    for (const [index, request] of requests.entries()) {
      if (endsItsSide) socket.end(request);
      else socket.write(request);
      for (let waitedMs = 0; waitedMs < 2_000; waitedMs += 10) {
        if (isEnded || statuses().length > index) break;
        await timers.setTimeout(10);
      }
    }
    socket.destroy();
    return statuses();
  }

  it('is served with a body of the limit, with a length or in chunks', async () => {
    const body = 'x'.repeat(MAX_BODY_BYTES);
    expect(
      await exchange([withLength(body), inChunks(body, 50_000)]),
    ).to.deep.equal([200, 200]);
  });

  it('is served with a head of 16 KB', async () => {
    const request = head([
      `x-long: ${'x'.repeat(16_000)}`,
      'content-length: 0',
    ]);
    expect(await exchange([request])).to.deep.equal([200]);
  });

  it('is served with a port in its host, and with a host in other case', async () => {
    for (const host of [`${support.HOST}:8227`, support.HOST.toUpperCase()]) {
      const {status} = await fleet.call('/read/a', {headers: {host}});
      expect(status, host).to.equal(200);
    }
  });

  it('is served in chunks of one byte, one after the other', async () => {
    const [first = '', ...rest] = inChunks('chunked body', 1).split('\r\n\r\n');
    expect(
      await exchange([`${first}\r\n\r\n${rest.join('\r\n\r\n')}`]),
    ).to.deep.equal([200]);
  });

  it('is served if it expects a 100', async () => {
    const request = head(['expect: 100-continue', 'content-length: 4']);
    expect(await exchange([request, 'body'])).to.deep.equal([100, 200]);
  });

  it('gets no 4xx if its caller ends its side after it', async () => {
    const statuses = await exchange([withLength('body')], {endsItsSide: true});
    expect(statuses.filter(status => status >= 400)).to.deep.equal([]);
  });

  it('is served after a request that was refused on the same connection', async () => {
    const unknown = head(['content-length: 70000'], '/unknown/');
    const statuses = await exchange([
      unknown + 'x'.repeat(70_000),
      withLength('body'),
    ]);
    expect(statuses).to.deep.equal([404, 200]);
  });

  describe('at a router that has no tables yet', () => {
    beforeEach(async () => {
      await fleet.addRouter({
        storeAddress: NO_STORE,
        seeds: NO_STORE,
      });
      expect(fleet.version(1)).to.equal(direct.NO_VERSION);
    });

    it('gets a 503, with or without a body', async () => {
      for (const body of ['', 'x'.repeat(70_000)]) {
        expect(await exchange([withLength(body)], {router: 1})).to.deep.equal([
          503,
        ]);
      }
    });

    it('gets a 503 if its body is in chunks and larger than a head may be', async () => {
      const request = inChunks('x'.repeat(200_000), 8_000);
      expect(await exchange([request], {router: 1})).to.deep.equal([503]);
    });
  });

  it('is served as the last version allows after the store lost its history', async () => {
    const [kernel] = fleet.kernels;
    const tables = kernel!.find(direct.ACTIVE_TABLES);
    const handler = new direct.OperatorHandler(kernel!);
    handler.onLost();
    handler.onLatest({records: [], nextOffset: 0});
    handler.onLatest({
      records: [{key: 'config', offset: 0, value: undefined}],
      nextOffset: 1,
    });
    handler.onRecovered();
    expect(tables.version()).to.equal(1);
    expect((await fleet.call('/read/a')).status).to.equal(200);
    fleet.store.put('keyed.op', 'config', support.config(2));
    await polling.until('version 2', () => fleet.version(0) === 2);
    expect((await fleet.call('/read/a')).status).to.equal(200);
  });
});
