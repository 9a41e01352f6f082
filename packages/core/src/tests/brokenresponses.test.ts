/**
 * Guards against responses that are broken off and look complete: one without a
 * length and without chunks ends with its connection, so whichever way this
 * process breaks it off, its client has to see a reset.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const DRAIN_TIMEOUT_MS = 50;
const REQUEST_TIMEOUT_MS = 300;
/** Time in which a broken connection is noticed, in ms. */
const NOTICE_MS = 2_000;

const EVENT = 'id: 1\ndata: x\n\n';

type Ending = 'reset' | 'end' | 'open';

/** A client's connection, what it received, and how it ended. */
class Client {
  received = '';
  ending: Ending = 'open';
  readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect({host: HOST, port, allowHalfOpen: true});
    this.socket.on('data', chunk => (this.received += chunk.toString()));
    this.socket.once('end', () => (this.ending = 'end'));
    this.socket.once('error', () => (this.ending = 'reset'));
  }

  async waitUntil(isReached: () => boolean): Promise<void> {
    for (
      let waitedMs = 0;
      waitedMs < NOTICE_MS && !isReached();
      waitedMs += 5
    ) {
      await timers.setTimeout(5);
    }
  }

  async awaitEnding(): Promise<Ending> {
    await this.waitUntil(() => this.ending !== 'open');
    return this.ending;
  }
}

/** Bounds that can be told to cut their connection. */
class CuttingBounds implements core.ConnectionBounds {
  readonly turns = core.UNBOUNDED.turns;
  private connection: core.BoundedConnection | undefined;

  admit(connection: core.BoundedConnection): core.ConnectionMemory | undefined {
    this.connection = connection;
    return core.UNBOUNDED.admit(connection);
  }

  cut(): void {
    this.connection?.cut('memory');
  }
}

describe('a response that is broken off', () => {
  let listener: core.listener.Listener;
  let client: Client;
  let bounds: CuttingBounds;
  let serving: {fail(error: Error): void; complete(): void} | undefined;

  beforeEach(async () => {
    bounds = new CuttingBounds();
    serving = undefined;
    listener = new core.listener.Listener({
      name: 'test',
      host: HOST,
      port: 0,
      maxHeaderBytes: 16_384,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: new core.SilentLogger(),
      bounds,
      serve: async ({request, response}) => {
        const isChunked = request.url === '/chunks';
        if (!isChunked) response.removeHeader('transfer-encoding');
        response.writeHead(200, {'content-type': 'text/event-stream'});
        response.write(EVENT);
        await new Promise<void>((resolve, reject) => {
          serving = {fail: reject, complete: resolve};
          response.once('close', resolve);
        });
        response.end();
      },
    });
    await listener.listen();
    client = new Client(listener.port);
  });

  afterEach(async () => {
    client.socket.destroy();
    await listener.close();
  });

  /** Sends a request; resolves when the response has begun. */
  async function begin(request: string): Promise<void> {
    client.socket.write(request);
    await client.waitUntil(() => client.received.includes(EVENT));
  }

  function get(path: string, version = '1.1'): string {
    return `GET ${path} HTTP/${version}\r\nhost: h\r\n\r\n`;
  }

  const waysOut: ReadonlyArray<readonly [string, () => unknown]> = [
    ['the listener closes', () => listener.close()],
    ['the listener drains', () => listener.drain(DRAIN_TIMEOUT_MS)],
    ['its process ends', () => listener.closeConnections()],
    ['its connection gives way', () => bounds.cut()],
    ['its handler fails', () => serving!.fail(new Error('failed'))],
  ];
  const clients: ReadonlyArray<readonly [string, string]> = [
    ['without framing', get('/plain')],
    ['to a client of HTTP/1.0', get('/chunks', '1.0')],
    ['to a request ahead of others', get('/plain') + get('/plain')],
  ];
  for (const [way, breakOff] of waysOut) {
    for (const [kind, request] of clients) {
      it(`resets the connection of one ${kind} when ${way}`, async () => {
        await begin(request);
        void breakOff();
        expect(await client.awaitEnding()).to.equal('reset');
      });
    }
  }

  it('is reset when the bytes behind its unfinished request cannot be parsed', async () => {
    await begin(
      'POST /plain HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' +
        '1\r\nx\r\n',
    );
    client.socket.write('no chunk\r\n');
    expect(await client.awaitEnding()).to.equal('reset');
  });

  it('is reset when the rest of its request does not arrive in time', async () => {
    await begin(
      'POST /plain HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nslow',
    );
    expect(await client.awaitEnding()).to.equal('reset');
  });

  it('ends without a last chunk if it has chunks', async () => {
    await begin(get('/chunks'));
    await listener.close();
    await client.awaitEnding();
    expect(client.received.endsWith('\r\n0\r\n\r\n')).to.equal(false);
  });

  it('ends in order if it was complete', async () => {
    await begin(get('/plain'));
    serving!.complete();
    expect(await client.awaitEnding()).to.equal('end');
  });
});
