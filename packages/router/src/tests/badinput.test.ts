/** Bad input from callers, peers, platform and endpoints. */
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as digest from '../digest.js';
import * as gate from '../gate.js';
import * as support from './faultsupport.js';

const {expect} = chai;
const SEED = 51;
const RUNS = 500;
const SECRET = 'a secret of the fleet';
const SLOW_MS = 1_000;
const WORKS = {body: '{"output_tokens":1}'};

describe('bad input, decoded', () => {
  it('is no digest, whatever bytes come', () => {
    const bytes = fc.uint8Array({maxLength: 200});
    fc.assert(
      fc.property(bytes, raw => {
        expect(digest.decode(Buffer.from(raw), SECRET)).to.equal(undefined);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('matches a route or none, whatever the path', () => {
    const row = (name: string, prefix: string) => {
      const match = {path_prefix: prefix};
      const parsed = v.parse(core.routeSchema, {name, match, pool: 'p'});
      return {version: 1, row: parsed};
    };
    const routes = {a: row('a', '/a'), ab: row('ab', '/a/b')};
    fc.assert(
      fc.property(fc.string(), path => {
        const found = gate.matchRoute(routes, 'GET', path);
        const [plain = ''] = path.split('?');
        const isUnder = plain === '/a' || plain.startsWith('/a/');
        expect(found !== undefined).to.equal(isUnder);
      }),
      {seed: SEED, numRuns: RUNS},
    );
    expect(gate.matchRoute(routes, 'GET', '/a/b/c')?.name).to.equal('ab');
    expect(gate.matchRoute(routes, 'GET', '/ab')).to.equal(undefined);
  });

  it('is refused by the schemas of list, edits and claims', () => {
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

/** Sends raw bytes and resolves with all that comes until the end. */
function speak(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let heard = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (chunk: Buffer) => (heard += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(heard));
  });
}

describe('bad input, sent', () => {
  let fleet: standins.Fleet;
  let router: core.Instance;

  before(async function () {
    this.timeout(30_000);
    const flags = ['--request-timeout-ms', String(SLOW_MS)];
    fleet = await support.startFleet({
      routers: 2,
      engines: 2,
      routerFlags: flags,
    });
    router = fleet.member('r1').instance;
  });

  after(() => fleet.stop());

  async function stillServes(): Promise<void> {
    for (const address of fleet.addresses()) {
      const answer = await support.call(address, '/chat', WORKS);
      expect(answer.status).to.equal(200);
    }
  }

  const WRONG = [
    ['a message that is not HTTP', 'what is this\r\n\r\n', /^HTTP\/1.1 400/],
    [
      'a head above the limit',
      `GET /chat HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      /^HTTP\/1.1 413/,
    ],
    [
      'two lengths',
      'POST /chat HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
      /^HTTP\/1.1 400/,
    ],
    [
      'a body that never ends',
      'POST /chat HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab',
      /^(HTTP\/1.1 4\d\d|$)/,
    ],
  ] as const;

  for (const [what, text, expected] of WRONG) {
    it(`ends ${what} with a clear error, and serves on`, async () => {
      expect(await speak(router.port, text)).to.match(expected);
      await stillServes();
    });
  }

  it('answers odd paths without failing', async () => {
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
      const heard = await speak(router.port, `${head}\r\n\r\n`);
      expect(heard, path).to.match(new RegExp(`^HTTP/1.1 ${status} `));
    }
    // The engine itself refuses a request without a body.
    const head = 'GET /chat/%00 HTTP/1.1\r\nhost: a\r\nconnection: close';
    const heard = await speak(router.port, `${head}\r\n\r\n`);
    expect(heard).to.match(/oleander-endpoint: e\d/);
    await stillServes();
  });

  it('admits no peer without the token', async () => {
    const address = `127.0.0.1:${router.peer_port}`;
    for (const path of ['/pass/chat', '/trpc/status', '/trpc/snapshot']) {
      for (const token of [undefined, 'wrong', `${fleet.options.peerToken}x`]) {
        const headers = token ? {'oleander-peer-token': token} : {};
        const answer = await support.call(address, path, {headers});
        expect(answer.status).to.equal(401);
      }
    }
    await stillServes();
  });

  it('drops datagrams that no peer signed', async () => {
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
        uses: [],
      },
      'another secret',
    );
    for (const datagram of [Buffer.alloc(0), Buffer.alloc(2_000, 1), forged]) {
      await new Promise(done =>
        socket.send(datagram, router.peer_port, '127.0.0.1', done),
      );
    }
    socket.close();
    await stillServes();
  });

  it('keeps the fleet where the list loses all instances at once', async () => {
    const names = fleet.instances('endpoint').map(item => item.name);
    for (const name of names) await fleet.unlist(name);
    await stillServes();
    for (const name of names) await fleet.list(name);
  });

  it('writes no token into a log line', () => {
    const {peerToken, adminToken} = fleet.options;
    for (const name of ['r1', 'r2']) {
      const lines = fleet.lines(name).join('\n');
      expect(lines).to.include('event=listening');
      expect(lines).to.not.include(peerToken);
      expect(lines).to.not.include(adminToken);
      expect(lines).to.not.match(/uncaught|unhandled/i);
    }
  });
});
