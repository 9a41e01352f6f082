/**
 * Tests of the HTTP listener over plain connections: a proper request is never
 * answered with a 4xx of the listener's own that callers do not retry.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const REQUEST_TIMEOUT_MS = 300;
const MAX_BODY_BYTES = 100_000;

/** Time after which all time-outs of the listener have passed, in ms. */
const AFTER_TIMEOUT_MS = 900;

/** A caller's connection, and what it received. */
class Connection {
  received = '';
  isEnded = false;
  readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect({host: HOST, port, allowHalfOpen: true});
    this.socket.on('data', chunk => (this.received += chunk.toString()));
    this.socket.on('end', () => (this.isEnded = true));
    this.socket.on('close', () => (this.isEnded = true));
    this.socket.on('error', () => undefined);
  }

  /** Status codes of the responses received so far. */
  statuses(): number[] {
    const heads = this.received.matchAll(/HTTP\/1\.1 (\d+)/g);
    return [...heads].map(([, status]) => Number(status));
  }

  /** Waits for responses; resolves early when the connection ends. */
  async waitFor(count: number, maxMs = 2_000): Promise<number[]> {
    for (let waitedMs = 0; waitedMs < maxMs; waitedMs += 10) {
      if (this.statuses().length >= count || this.isEnded) break;
      await timers.setTimeout(10);
    }
    return this.statuses();
  }
}

function post(body: string, headers = ''): string {
  return (
    `POST /a HTTP/1.1\r\nhost: h\r\n${headers}` +
    `content-length: ${body.length}\r\n\r\n${body}`
  );
}

function chunked(bodies: readonly string[]): string {
  const chunks = bodies.map(
    body => `${body.length.toString(16)}\r\n${body}\r\n`,
  );
  return (
    'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' +
    `${chunks.join('')}0\r\n\r\n`
  );
}

describe('the listener', () => {
  let listener: core.listener.Listener;
  let connections: Connection[];
  let serveDelayMs: number;
  /** Size of the responses, in bytes; 0 for the size of the request's body. */
  let responseBytes: number;
  let bodySizes: number[];
  let failures: core.ErrorKind[];
  /** Bytes read of a connection when its first request was answered. */
  let firstBytesRead: number | undefined;

  beforeEach(async () => {
    connections = [];
    serveDelayMs = 0;
    responseBytes = 0;
    bodySizes = [];
    failures = [];
    firstBytesRead = undefined;
    listener = new core.listener.Listener({
      name: 'test',
      host: HOST,
      port: 0,
      maxHeaderBytes: 65_536,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: new core.SilentLogger(),
      serve: async ({request, response}) => {
        const body = await core.listener.readBody(request, MAX_BODY_BYTES);
        if (body.ok) bodySizes.push(body.value.length);
        else failures.push(body.failure.kind);
        if (serveDelayMs > 0) await timers.setTimeout(serveDelayMs);
        firstBytesRead ??= response.socket?.bytesRead;
        if (!body.ok) core.listener.sendProblem(response, body.failure, '');
        else if (responseBytes === 0) {
          core.listener.sendJson(response, 200, body.value.length);
        } else {
          core.listener.sendJson(response, 200, 'x'.repeat(responseBytes));
        }
      },
    });
    await listener.listen();
  });

  afterEach(async () => {
    for (const {socket} of connections) socket.destroy();
    await listener.close();
  });

  function connect(): Connection {
    const connection = new Connection(listener.port);
    connections.push(connection);
    return connection;
  }

  it('sends no 400 on a connection that rests before its first request', async () => {
    const connection = connect();
    await timers.setTimeout(AFTER_TIMEOUT_MS);
    expect(connection.received).to.equal('');
  });

  it('keeps a connection that rests between two requests', async () => {
    const connection = connect();
    connection.socket.write(post('one'));
    await connection.waitFor(1);
    await timers.setTimeout(AFTER_TIMEOUT_MS);
    connection.socket.write(post('two'));
    expect(await connection.waitFor(2)).to.deep.equal([200, 200]);
  });

  it('answers a request whose body comes too slowly with a 408, which promises that it did not run', async () => {
    const connection = connect();
    connection.socket.write(
      'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nslow',
    );
    expect(await connection.waitFor(1)).to.deep.equal([408]);
  });

  it('never serves a request that it answered with a 408, even if the rest arrives', async () => {
    const connection = connect();
    connection.socket.write(
      'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nslow',
    );
    await connection.waitFor(1);
    connection.socket.write(' rest');
    await timers.setTimeout(AFTER_TIMEOUT_MS);
    expect(connection.received).to.include('"ran":"no"');
    expect(connection.statuses()).to.deep.equal([408]);
    expect(bodySizes).to.deep.equal([]);
  });

  it('answers a request whose head comes too slowly with a 408', async () => {
    const connection = connect();
    connection.socket.write('POST /a HTTP/1.1\r\nhost: h\r\n');
    expect(await connection.waitFor(1)).to.deep.equal([408]);
  });

  it('answers a head above the limit with a 431', async () => {
    const connection = connect();
    connection.socket.write(post('', `x-long: ${'x'.repeat(70_000)}\r\n`));
    expect(await connection.waitFor(1)).to.deep.equal([431]);
  });

  it('serves a head just below the limit', async () => {
    const connection = connect();
    connection.socket.write(post('', `x-long: ${'x'.repeat(65_000)}\r\n`));
    expect(await connection.waitFor(1)).to.deep.equal([200]);
  });

  it('serves bodies of exactly the limit, with a length and in chunks', async () => {
    const body = 'x'.repeat(MAX_BODY_BYTES);
    const connection = connect();
    connection.socket.write(post(body));
    await connection.waitFor(1);
    connection.socket.write(chunked([body.slice(1), 'x']));
    expect(await connection.waitFor(2)).to.deep.equal([200, 200]);
  });

  it('answers bodies above the limit with a 413, with a length and in chunks', async () => {
    const body = 'x'.repeat(MAX_BODY_BYTES + 1);
    for (const request of [post(body), chunked([body.slice(1), 'x'])]) {
      const connection = connect();
      connection.socket.write(request);
      expect(await connection.waitFor(1)).to.deep.equal([413]);
    }
  });

  it('answers a body far above the limit in chunks with a 413, and serves the next request', async () => {
    const connection = connect();
    connection.socket.write(
      chunked(Array<string>(40).fill('x'.repeat(50_000))),
    );
    expect(await connection.waitFor(1)).to.deep.equal([413]);
    connection.socket.write(post('next'));
    expect(await connection.waitFor(2)).to.deep.equal([413, 200]);
  });

  it('lets a caller send the rest of a body above the limit, and serves the next request', async () => {
    const connection = connect();
    const request = chunked(['x'.repeat(MAX_BODY_BYTES), 'x', 'rest']);
    connection.socket.write(request.slice(0, -14));
    expect(await connection.waitFor(1)).to.deep.equal([413]);
    connection.socket.write(request.slice(-14));
    connection.socket.write(post('next'));
    expect(await connection.waitFor(2)).to.deep.equal([413, 200]);
  });

  it('serves the next request of a connection after a body above the limit', async () => {
    const connection = connect();
    connection.socket.write(post('x'.repeat(MAX_BODY_BYTES + 1)));
    await connection.waitFor(1);
    connection.socket.write(post('next'));
    expect(await connection.waitFor(2)).to.deep.equal([413, 200]);
  });

  it('serves 16 and 24 requests that are pipelined', async () => {
    serveDelayMs = 5;
    for (const count of [16, 24]) {
      const connection = connect();
      connection.socket.write(post('x').repeat(count));
      const statuses = await connection.waitFor(count);
      expect(statuses).to.deep.equal(Array(count).fill(200));
    }
  });

  it('reads a bounded part of many requests that are pipelined, and serves all', async () => {
    serveDelayMs = 400;
    const count = 20_000;
    const connection = connect();
    connection.socket.write(post('x').repeat(count));
    await connection.waitFor(1);
    serveDelayMs = 0;
    // One read of the socket holds 64 KiB.
    expect(firstBytesRead).to.be.lessThan(4 * 65_536);
    const statuses = await connection.waitFor(count, 20_000);
    expect(statuses).to.deep.equal(Array(count).fill(200));
  });

  it('reports no fault of the request if its caller leaves before the end of its body', async () => {
    const connection = connect();
    connection.socket.write(post('first and rest').slice(0, -4));
    await timers.setTimeout(50);
    connection.socket.destroy();
    await timers.setTimeout(100);
    expect(failures).to.deep.equal(['caller_gone']);
  });

  it('serves a request that expects a 100', async () => {
    const connection = connect();
    connection.socket.write(
      'POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n' +
        'content-length: 4\r\n\r\n',
    );
    expect(await connection.waitFor(1)).to.deep.equal([100]);
    connection.socket.write('body');
    expect(await connection.waitFor(2)).to.deep.equal([100, 200]);
  });

  it('sends no 4xx to a caller that ends its side after its request', async () => {
    serveDelayMs = 50;
    const connection = connect();
    connection.socket.end(post('body'));
    const statuses = await connection.waitFor(1);
    expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
  });

  it('sends no other bytes before the response to a request in progress if the bytes behind it cannot be parsed', async () => {
    serveDelayMs = 100;
    const connection = connect();
    connection.socket.write(`${post('first')}\x00\x01 no request\r\n\r\n`);
    const [first] = await connection.waitFor(1);
    expect(first).to.equal(200);
  });

  it('answers a request that cannot be parsed with a 400 after the responses to all before it', async () => {
    serveDelayMs = 50;
    const connection = connect();
    connection.socket.write(
      `${post('one')}${post('two')}\x00\x01 no request\r\n\r\n`,
    );
    expect(await connection.waitFor(3)).to.deep.equal([200, 200, 400]);
    await timers.setTimeout(100);
    expect(connection.isEnded).to.equal(true);
  });

  it('completes the last response of a connection if the bytes behind its request cannot be parsed', async () => {
    responseBytes = 20_000_000;
    const connection = connect();
    connection.socket.pause();
    connection.socket.write(post('last', 'connection: close\r\n'));
    await timers.setTimeout(200);
    connection.socket.write('\x00\x01 no request\r\n\r\n');
    await timers.setTimeout(200);
    connection.socket.resume();
    expect(await connection.waitFor(2)).to.deep.equal([200]);
    expect(connection.received.length).to.be.greaterThan(responseBytes);
  });

  it('answers a request whose body cannot be parsed with a 400 after the response before it', async () => {
    serveDelayMs = 50;
    const connection = connect();
    const request = chunked(['body']).replace('4\r\n', 'no length\r\n');
    connection.socket.write(`${post('one')}${request}`);
    expect(await connection.waitFor(2)).to.deep.equal([200, 400]);
    expect(bodySizes).to.deep.equal([3]);
  });

  it('serves a request that arrives while the process was busy for longer than all time-outs', async () => {
    const connection = connect();
    await timers.setTimeout(50);
    connection.socket.write(post('body'));
    const busyUntilMs = Date.now() + AFTER_TIMEOUT_MS;
    while (Date.now() < busyUntilMs) {
      // The process does not run.
    }
    expect(await connection.waitFor(1)).to.deep.equal([200]);
  });

  it('serves a request that arrives on a kept connection while the process was busy for longer than the keep-alive timeout', async () => {
    // Node.js keeps a connection a second longer than it promises.
    listener.setKeepAliveTimeout(300);
    const connection = connect();
    connection.socket.write(post('one'));
    await connection.waitFor(1);
    await timers.setTimeout(50);
    connection.socket.write(post('two'));
    const busyUntilMs = Date.now() + AFTER_TIMEOUT_MS + 1_000;
    while (Date.now() < busyUntilMs) {
      // The process does not run.
    }
    expect(await connection.waitFor(2)).to.deep.equal([200, 200]);
  });

  it('closes a kept connection after the keep-alive timeout', async () => {
    listener.setKeepAliveTimeout(300);
    const connection = connect();
    connection.socket.write(post('one'));
    await connection.waitFor(1);
    await timers.setTimeout(AFTER_TIMEOUT_MS + 1_000);
    expect(connection.isEnded).to.equal(true);
  });

  it('serves a request whose body arrives in part before the process was busy for longer than all time-outs', async () => {
    const connection = connect();
    const request = post('first and rest');
    connection.socket.write(request.slice(0, -4));
    await timers.setTimeout(50);
    connection.socket.write(request.slice(-4));
    const busyUntilMs = Date.now() + AFTER_TIMEOUT_MS;
    while (Date.now() < busyUntilMs) {
      // The process does not run.
    }
    expect(await connection.waitFor(1)).to.deep.equal([200]);
  });
});
