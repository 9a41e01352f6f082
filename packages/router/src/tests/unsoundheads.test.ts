/**
 * Guards against answers whose heads, chunks or trailers are no HTTP: none of them
 * may reach a caller, whichever way it came, nor count as a reply of the store or of
 * another router.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';
import type * as rawEngine from './rawengine.js';
import * as rawFleet from './rawfleet.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const ENGINES = 2;
const CALLS_AT_ONCE = 20;
const ROUTES = ['/read/', '/book/', '/chat/', '/once/'] as const;

/** Lines of a head that are no fields. */
const UNSOUND_LINES: Readonly<Record<string, string>> = {
  'a blank in a name': 'x y: 1\r\n',
  'a control byte in a name': 'x\u0001y: 1\r\n',
  'a zero byte in a name': 'x\u0000y: 1\r\n',
  'an empty name': ': 1\r\n',
  'a blank before the colon': 'x : 1\r\n',
  'a control byte in a value': 'x: a\u0001b\r\n',
  'a zero byte in a value': 'x: a\u0000b\r\n',
  'a DEL in a value': 'x: a\u007fb\r\n',
  'a bare CR in a value': 'x: a\rb\r\n',
  'a folded line': 'x: a\r\n b\r\n',
  'a line without a colon': 'xy\r\n',
};

const UNSOUND_STATUSES = ['000 None', '099 Odd', '99 Odd', '20 OK', '2000 OK'];

/** Heads by what is wrong with them, without the lines that routers require. */
const UNSOUND_HEADS: ReadonlyArray<readonly [string, string, string]> = [
  ...Object.entries(UNSOUND_LINES).map(
    ([name, line]) => [name, '200 OK', line] as const,
  ),
  ...UNSOUND_STATUSES.map(status => [`status ${status}`, status, ''] as const),
];

/** How the body is framed, with an unsound piece. */
type Framing = (pieces: readonly [string, string]) => string;

function chunk(text: string, extension = ''): string {
  return `${text.length.toString(16)}${extension}\r\n${text}\r\n`;
}

const UNSOUND_BODIES: ReadonlyArray<readonly [string, Framing]> = [
  ...Object.entries(UNSOUND_LINES).map(
    ([name, line]) =>
      [
        `${name} of a trailer`,
        ([first, second]) => `${chunk(first + second)}0\r\n${line}\r\n`,
      ] as readonly [string, Framing],
  ),
  [
    'a control byte in a chunk extension',
    ([first, second]) =>
      `${chunk(first, ';a=\u0001')}${chunk(second)}0\r\n\r\n`,
  ],
  [
    'a bare CR in a chunk extension',
    ([first, second]) => `${chunk(first, ';a=\rb')}${chunk(second)}0\r\n\r\n`,
  ],
  [
    'a blank in a chunk size',
    ([first, second]) => `${chunk(first, ' 0')}${chunk(second)}0\r\n\r\n`,
  ],
];

type Choose = (request: rawEngine.RawRequest) => rawEngine.RawAnswer;

function withLength(
  request: rawEngine.RawRequest,
  status: string,
  lines: string,
): rawEngine.RawAnswer {
  const body = rawFleet.bodyOf(request, 'run').join('');
  return {
    text:
      `HTTP/1.1 ${status}\r\n${rawFleet.acceptedLines(request)}${lines}` +
      `content-length: ${body.length}\r\n\r\n${body}`,
    ending: 'keep',
  };
}

function withChunks(
  request: rawEngine.RawRequest,
  framing: Framing,
): rawEngine.RawAnswer {
  return {
    text:
      `HTTP/1.1 200 OK\r\n${rawFleet.acceptedLines(request)}` +
      `transfer-encoding: chunked\r\n\r\n${framing(rawFleet.bodyOf(request, 'run'))}`,
    ending: 'keep',
  };
}

const sound: Choose = request => withLength(request, '200 OK', '');

describe('an answer that is no HTTP', () => {
  let fleet: rawFleet.RawFleet;
  let choose: Choose;
  /** Runs by id of the attempt. */
  let runs: Map<string, rawEngine.RawRequest[]>;

  beforeEach(async () => {
    choose = sound;
    runs = new Map();
    fleet = new rawFleet.RawFleet(ENGINES, request => {
      const id = request.headers['attempt-id'] ?? '';
      runs.set(id, [...(runs.get(id) ?? []), request]);
      return choose(request);
    });
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  /** How many callers took an answer of an endpoint as whole, and lines of it. */
  function countTaken(results: readonly rawFleet.CallResult[]): number {
    return results.filter(
      ({status, isWhole}) => isWhole && (status < 500 || status > 599),
    ).length;
  }

  async function expectNoneTaken(route: string, name: string): Promise<void> {
    const results = await fleet.callAtOnce(route, CALLS_AT_ONCE);
    expect(countTaken(results), `${name} at ${route}`).to.equal(0);
  }

  const unsound: ReadonlyArray<readonly [string, Choose]> = [
    ...UNSOUND_HEADS.map(
      ([name, status, lines]) =>
        [name, request => withLength(request, status, lines)] as readonly [
          string,
          Choose,
        ],
    ),
    ...UNSOUND_BODIES.map(
      ([name, framing]) =>
        [name, request => withChunks(request, framing)] as readonly [
          string,
          Choose,
        ],
    ),
  ];

  for (const [name, answer] of unsound) {
    it(`is no answer to a caller: ${name}`, async () => {
      for (const route of ROUTES) {
        // Leaves connections to the endpoints that are kept.
        choose = sound;
        await fleet.callAtOnce(route, CALLS_AT_ONCE);
        choose = answer;
        await expectNoneTaken(route, name);
      }
    });

    it(`is no answer to a second send, and resumes no stream: ${name}`, async () => {
      for (const route of ['/read/', '/chat/']) {
        let secondRuns = 0;
        choose = request => {
          const id = request.headers['attempt-id'] ?? '';
          if (runs.get(id)!.length > 1) {
            secondRuns += 1;
            return answer(request);
          }
          return breakOff(request);
        };
        await expectNoneTaken(route, name);
        expect(secondRuns, 'second sends').to.be.above(0);
      }
    });
  }

  it('is told from one with the status 999, which is passed on', async () => {
    choose = request => withLength(request, '999 Odd', '');
    for (const route of ROUTES) {
      for (const {status} of await fleet.callAtOnce(route, CALLS_AT_ONCE)) {
        expect(status).to.equal(999);
      }
    }
  });

  it('is told from a sound one, on kept connections too', async () => {
    for (const route of ROUTES) {
      for (let round = 0; round < 2; round++) {
        const results = await fleet.callAtOnce(route, CALLS_AT_ONCE);
        expect(countTaken(results)).to.equal(CALLS_AT_ONCE);
      }
    }
    const requests = [...runs.values()].flat();
    const isKept = requests.some(({earlierRequests}) => earlierRequests > 0);
    expect(isKept, 'a connection is kept').to.equal(true);
  });
});

/** Breaks off an answer, a stream after its first events. */
function breakOff(request: rawEngine.RawRequest): rawEngine.RawAnswer {
  const framing: Framing = ([first]) => chunk(first);
  return {...withChunks(request, framing), ending: 'reset', delayMs: 5};
}

describe('a reply that is no HTTP', () => {
  let server: net.Server;
  let reply: string;

  beforeEach(async () => {
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(reply, 'latin1'));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  afterEach(() => {
    server.close();
  });

  const port = () => (server.address() as net.AddressInfo).port;

  async function isFetched(): Promise<boolean> {
    const {signal} = new AbortController();
    const options = {address: HOST, port: port(), path: '/', signal};
    return (await direct.fetchJson(options)).type === 'json';
  }

  async function isAppended(store: platform.StoreClient): Promise<boolean> {
    const {signal} = new AbortController();
    return store.append('keyed.op', 'config', undefined, signal);
  }

  it('is none of the store or of another router', async () => {
    const body = '[]';
    const replies = [
      ...UNSOUND_HEADS.map(([name, status, lines]) => ({
        name,
        text: `HTTP/1.1 ${status}\r\n${lines}content-length: 2\r\n\r\n${body}`,
      })),
      ...UNSOUND_BODIES.map(([name, framing]) => ({
        name,
        text: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${framing(['[', ']'])}`,
      })),
    ];
    const sentSound = `HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n${body}`;
    const store = new platform.StoreClient(HOST, port());
    for (const {name, text} of replies) {
      reply = sentSound;
      expect(await isFetched(), 'sound').to.equal(true);
      expect(await isAppended(store), 'sound').to.equal(true);
      reply = text;
      expect(await isFetched(), `fetch: ${name}`).to.equal(false);
      expect(await isAppended(store), `append: ${name}`).to.equal(false);
    }
    store.reconnect();
  });
});
