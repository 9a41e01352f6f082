/**
 * Tests of how a response ended, for every way in which it is read: a connection
 * that was reset ends no response that has neither a length nor chunks.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const RESPONSES_AT_ONCE = 20;
const PART = 'id: 1\ndata: a\n\n';
/** More than is buffered for a reader that has not begun. */
const LONG_PART = PART.repeat(40_000);
/** More than a server reads at once, and less than waits for it in buffers. */
const MANY_BYTES = 200_000;
/** Time in which a server's bytes and its reset arrive, in ms. */
const ARRIVAL_MS = 60;

const LIMITS = {
  maxBytes: 10_000_000,
  idleTimeoutMs: 2_000,
  totalTimeoutMs: 5_000,
};

/** How the server writes its answer and ends the connection. */
interface Answer {
  readonly head: string;
  readonly body: string;
  /** `close` leaves unread what it has not read of the request. */
  readonly ending: 'fin' | 'reset' | 'close';
  readonly delayMs: number;
}

/** A way to read a body; resolves with whether it was taken as whole. */
type Reader = (response: http.IncomingMessage) => Promise<boolean>;

const READERS: ReadonlyArray<readonly [string, Reader]> = [
  [
    'collected',
    async response =>
      (await core.relay.collectBody(response, LIMITS)) !== undefined,
  ],
  [
    'copied',
    async response => {
      const sink = {write: () => Promise.resolve()};
      const error = await core.relay.copyBody(response, sink, 2_000);
      return error === undefined;
    },
  ],
  [
    'read chunk by chunk',
    async response => {
      const reader = new core.BodyReader(response);
      try {
        while (await reader.read());
      } catch {
        return false;
      }
      return core.responseEnds.isWhole(response);
    },
  ],
];

describe('the end of a response', () => {
  let server: net.Server;
  let answer: Answer;
  let requestBody: Buffer;
  /** Whether the server leaves the rest of the request unread. */
  let isUnread: boolean;

  beforeEach(async () => {
    requestBody = Buffer.from('x');
    isUnread = false;
    server = net.createServer({allowHalfOpen: true}, socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        if (isUnread) socket.pause();
        void write(socket, answer);
      });
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  afterEach(() => {
    server.close();
  });

  async function receive(
    read: Reader,
    pauseMs: number,
    agent?: http.Agent,
  ): Promise<boolean> {
    const result = await core.relay.send({
      address: HOST,
      port: (server.address() as net.AddressInfo).port,
      method: 'POST',
      path: '/',
      headers: {},
      body: requestBody,
      connectTimeoutMs: 2_000,
      agent,
    });
    // The connection may fail before the head is taken.
    if (result.type === 'error') return false;
    if (pauseMs > 0) await timers.setTimeout(pauseMs);
    return read(result.response);
  }

  /** How many of the responses received at once were taken as whole. */
  async function countWhole(read: Reader, pauseMs: number): Promise<number> {
    const taken = await Promise.all(
      Array.from({length: RESPONSES_AT_ONCE}, () => receive(read, pauseMs)),
    );
    return taken.filter(Boolean).length;
  }

  for (const [name, read] of READERS) {
    for (const [size, body] of [
      ['short', PART],
      ['long', LONG_PART],
    ] as const) {
      for (const pauseMs of [0, 2 * ARRIVAL_MS]) {
        for (const delayMs of [0, 1, ARRIVAL_MS]) {
          const how = `${size}, ${name} after ${pauseMs} ms, ended after ${delayMs} ms`;

          it(`without a length is no reset: ${how}`, async () => {
            answer = {head: '', body, ending: 'reset', delayMs};
            expect(await countWhole(read, pauseMs)).to.equal(0);
          });

          it(`without a length is an ordinary one: ${how}`, async () => {
            answer = {head: '', body, ending: 'fin', delayMs};
            expect(await countWhole(read, pauseMs)).to.equal(RESPONSES_AT_ONCE);
          });
        }
      }
    }

    for (const ending of ['fin', 'reset'] as const) {
      it(`with a length is its last byte, ${name}: ${ending}`, async () => {
        const head = `content-length: ${PART.length}\r\n`;
        answer = {head, body: PART, ending, delayMs: 0};
        expect(await countWhole(read, 0)).to.equal(RESPONSES_AT_ONCE);
      });

      it(`with chunks is the last chunk, ${name}: ${ending}`, async () => {
        const head = 'transfer-encoding: chunked\r\n';
        const size = PART.length.toString(16);
        const body = `${size}\r\n${PART}\r\n0\r\n\r\n`;
        answer = {head, body, ending, delayMs: 0};
        expect(await countWhole(read, 0)).to.equal(RESPONSES_AT_ONCE);
        answer = {head, body: body.slice(0, -2), ending, delayMs: 0};
        expect(await countWhole(read, 0)).to.equal(0);
      });
    }
  }

  for (const pauseMs of [0, 2 * ARRIVAL_MS]) {
    it(`in order counts, though unread bytes reset its connection: ${pauseMs} ms`, async () => {
      isUnread = true;
      requestBody = Buffer.alloc(MANY_BYTES);
      for (const [name, read] of READERS) {
        answer = {head: '', body: PART, ending: 'close', delayMs: 0};
        const wholeCount = await countWhole(read, pauseMs);
        expect(wholeCount, name).to.equal(RESPONSES_AT_ONCE);
        answer = {head: '', body: PART, ending: 'reset', delayMs: 0};
        expect(await countWhole(read, pauseMs), name).to.equal(0);
      }
    });
  }

  it('leaves no listener on a connection that is kept', async () => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    try {
      const [, read] = READERS[0]!;
      const sockets = new Set<net.Socket>();
      const counts: number[] = [];
      const count: Reader = async response => {
        const {socket} = response;
        sockets.add(socket);
        const isWhole = await read(response);
        counts.push(socket.listenerCount('end'));
        return isWhole;
      };
      for (const head of ['HTTP/1.1 204 No Content\r\n\r\n', KEPT, KEPT]) {
        answer = {head, body: '', ending: 'fin', delayMs: -1};
        expect(await receive(count, 0, agent)).to.equal(true);
        await timers.setTimeout(10);
      }
      expect(sockets.size, 'connections').to.equal(1);
      expect(new Set(counts).size, counts.join()).to.equal(1);
    } finally {
      agent.destroy();
    }
  });
});

const KEPT = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';

async function write(
  socket: net.Socket,
  {head, body, ending, delayMs}: Answer,
): Promise<void> {
  if (delayMs < 0) {
    socket.write(head);
    return;
  }
  socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`);
  if (delayMs > 0) await timers.setTimeout(delayMs);
  if (ending === 'fin') socket.end();
  else if (ending === 'reset') socket.resetAndDestroy();
  else socket.destroySoon();
}
