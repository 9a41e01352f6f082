/** Invalid input from callers, peers, platform and endpoints. */
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as digest from '../digest.js';
import * as requestHandler from '../requesthandler.js';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;
const SEED = 51;
const RUNS = 500;
const SECRET = 'a secret of the fleet';
const REQUEST_TIMEOUT_MS = 1_000;
const VALID_CALL = {body: '{"output_tokens":1}'};

describe('decoding of invalid input', () => {
  it('yields no digest for random bytes', () => {
    const anyBytes = fc.uint8Array({maxLength: 200});
    fc.assert(
      fc.property(anyBytes, raw => {
        expect(digest.decode(Buffer.from(raw), SECRET)).to.equal(undefined);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it("matches any path to a route only if it is under the route's prefix", () => {
    const row = (name: string, prefix: string) => {
      const match = {path_prefix: prefix};
      const parsed = v.parse(core.routeSchema, {name, match, pool: 'p'});
      return {version: 1, row: parsed};
    };
    const routes = {a: row('a', '/a'), ab: row('ab', '/a/b')};
    fc.assert(
      fc.property(fc.string(), path => {
        const route = requestHandler.matchRoute(routes, 'GET', path);
        const [pathname = ''] = path.split('?');
        const isUnder = pathname === '/a' || pathname.startsWith('/a/');
        expect(route !== undefined).to.equal(isUnder);
      }),
      {seed: SEED, numRuns: RUNS},
    );
    expect(requestHandler.matchRoute(routes, 'GET', '/a/b/c')?.name).to.equal(
      'ab',
    );
    expect(requestHandler.matchRoute(routes, 'GET', '/ab')).to.equal(undefined);
  });

  it('validates any JSON value as list, record, claim batch or problem without throwing', () => {
    const schemas = [
      core.instanceListSchema,
      core.configRecordSchema,
      core.claimBatchSchema,
      core.problemSchema,
    ];
    fc.assert(
      fc.property(fc.jsonValue(), value => {
        for (const schema of schemas) v.safeParse(schema, value);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});

/** Sends raw text and resolves with all data received until the close. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let received = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on(
      'data',
      (chunk: Buffer) => (received += chunk.toString('latin1')),
    );
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });
}

describe('a router under invalid input', () => {
  let fleet: standins.Fleet;
  let router: core.Instance;

  before(async function () {
    this.timeout(30_000);
    const flags = ['--request-timeout-ms', String(REQUEST_TIMEOUT_MS)];
    fleet = await faultSupport.startFleet({
      routers: 2,
      engines: 2,
      routerFlags: flags,
    });
    router = fleet.member('r1').instance;
  });

  after(() => fleet.stop());

  async function expectServing(): Promise<void> {
    for (const address of fleet.entryAddresses()) {
      const answer = await faultSupport.call(address, '/chat', VALID_CALL);
      expect(answer.status).to.equal(200);
    }
  }

  const INVALID_REQUESTS = [
    ['a message that is not HTTP', 'what is this\r\n\r\n', /^HTTP\/1.1 400/],
    [
      'a request head above the size limit',
      `GET /chat HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      /^HTTP\/1.1 431/,
    ],
    [
      'two content-length headers',
      'POST /chat HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
      /^HTTP\/1.1 400/,
    ],
    [
      'a body that is never completed',
      'POST /chat HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab',
      /^HTTP\/1.1 408/,
    ],
  ] as const;

  for (const [description, text, expected] of INVALID_REQUESTS) {
    it(`refuses ${description} and keeps serving`, async () => {
      expect(await sendRaw(router.port, text)).to.match(expected);
      await expectServing();
    });
  }

  it('answers a body above the limit with a 413, and the next request on its connection', async () => {
    const body = 'x'.repeat(4 << 20);
    const received = await sendRaw(
      router.port,
      `POST /chat HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n` +
        `${body}GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`,
    );
    const heads = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
    expect(heads.map(([, status]) => status)).to.deep.equal(['413', '200']);
  });

  it('answers malformed paths with an error and keeps serving', async () => {
    const paths = [
      ['/%zz', 404],
      ['//', 404],
      ['/../..', 404],
      ['/where?path=x', 400],
      ['/where?%', 400],
      ['http://elsewhere/chat', 404],
      ['*', 404],
    ] as const;
    for (const [path, status] of paths) {
      const head = `GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: close`;
      const received = await sendRaw(router.port, `${head}\r\n\r\n`);
      expect(received, path).to.match(new RegExp(`^HTTP/1.1 ${status} `));
    }
    // This path is valid and is routed to an engine, which refuses the request
    // itself because it has no body.
    const head = 'GET /chat/%00 HTTP/1.1\r\nhost: a\r\nconnection: close';
    const received = await sendRaw(router.port, `${head}\r\n\r\n`);
    expect(received).to.match(/oleander-endpoint: e\d/);
    await expectServing();
  });

  it('refuses peer calls without a valid peer token', async () => {
    const address = `127.0.0.1:${router.peer_port}`;
    for (const path of ['/pass/chat', '/trpc/status', '/trpc/snapshot']) {
      for (const token of [undefined, 'wrong', `${fleet.options.peerToken}x`]) {
        const headers = token ? {'oleander-peer-token': token} : {};
        const answer = await faultSupport.call(address, path, {headers});
        expect(answer.status).to.equal(401);
      }
    }
    await expectServing();
  });

  it('drops datagrams without a valid MAC', async () => {
    const socket = dgram.createSocket('udp4');
    const forged = digest.encode(
      {
        routerHash: core.hash32('r2'),
        incarnation: 4_000_000_000,
        sequence: 1,
        nextOffset: 9_999_999,
        isDraining: true,
        counts: [],
        down: [{routerHash: core.hash32('r1'), incarnation: 4_000_000_000}],
        suspects: [],
        usage: [],
      },
      'another secret',
    );
    for (const datagram of [Buffer.alloc(0), Buffer.alloc(2_000, 1), forged]) {
      await new Promise(done =>
        socket.send(datagram, router.peer_port, '127.0.0.1', done),
      );
    }
    socket.close();
    await expectServing();
  });

  it('keeps serving when the list loses all endpoints at once', async () => {
    const names = fleet.instances('endpoint').map(item => item.name);
    for (const name of names) await fleet.removeFromInstanceList(name);
    await expectServing();
    for (const name of names) await fleet.putOnInstanceList(name);
  });

  it('writes no token to the log', () => {
    const {peerToken, adminToken} = fleet.options;
    for (const name of ['r1', 'r2']) {
      const lines = fleet.outputLines(name).join('\n');
      expect(lines).to.include('event=listening');
      expect(lines).to.not.include(peerToken);
      expect(lines).to.not.include(adminToken);
      expect(lines).to.not.match(/uncaught|unhandled/i);
    }
  });
});
