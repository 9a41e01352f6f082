/**
 * Test support: an endpoint over plain TCP. A test decides byte by byte what it
 * answers, and how and when it ends the connection.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** How a connection is ended; one that is kept takes further requests. */
export type Ending = 'fin' | 'reset' | 'keep';

/** A request whose head has arrived. */
export interface RawRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Number of requests that the connection carried before this one. */
  readonly earlierRequests: number;
}

/** What is written in answer to one request. */
export interface RawAnswer {
  readonly text: string;
  readonly ending: Ending;
  /** Time between the text and the end, in ms; none if absent. */
  readonly delayMs?: number;
  /** Whether to answer while the body of the request is being sent. */
  readonly isEarly?: boolean;
}

/** TCP server of the endpoint. */
export class RawEngine {
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer({allowHalfOpen: true}, socket => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    void this.serve(socket);
  });

  /** @param choose chooses the answer to a request */
  constructor(
    readonly id: string,
    private readonly address: string,
    private readonly choose: (request: RawRequest) => RawAnswer,
  ) {}

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, this.address, resolve),
    );
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Entry for the topic `keyed.servers`. */
  entry(): Record<string, unknown> {
    const {port} = this.server.address() as net.AddressInfo;
    return {
      service: 'pool',
      address: `${this.address}:${port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
    };
  }

  /** Serves the requests of one connection in turn. */
  private async serve(socket: net.Socket): Promise<void> {
    const bytes = new ArrivedBytes(socket);
    for (let earlierRequests = 0; ; earlierRequests++) {
      const head = await bytes.takeThrough('\r\n\r\n');
      if (head === undefined) break;
      const request = parseHead(head, earlierRequests);
      const answer =
        request.path === '/kv-list' ? NO_CONTEXTS : this.choose(request);
      const {ending, delayMs, isEarly} = answer;
      if (!isEarly) {
        await bytes.take(Number(request.headers['content-length'] ?? 0));
      }
      // What is left unread stays in the buffers of the kernel.
      if (isEarly && ending === 'reset') socket.pause();
      socket.write(answer.text, 'latin1');
      if (delayMs) await timers.setTimeout(delayMs);
      if (ending === 'keep') continue;
      if (ending === 'reset') socket.resetAndDestroy();
      else socket.end();
      return;
    }
    socket.end();
  }
}

const NO_CONTEXTS_BODY = JSON.stringify({epoch: 1, next: 0, held: []});

const NO_CONTEXTS: RawAnswer = {
  text:
    `HTTP/1.1 200 OK\r\ncontent-length: ${NO_CONTEXTS_BODY.length}\r\n\r\n` +
    NO_CONTEXTS_BODY,
  ending: 'keep',
};

/** What has arrived on a connection and was not taken yet. */
class ArrivedBytes {
  private text = '';
  private isOver = false;
  private wake: () => void = () => undefined;

  constructor(socket: net.Socket) {
    const finish = () => {
      this.isOver = true;
      this.wake();
    };
    socket.on('data', data => {
      this.text += data.toString('latin1');
      this.wake();
    });
    socket.once('end', finish);
    socket.once('close', finish);
  }

  /** Takes everything up to the mark; undefined if it does not arrive. */
  async takeThrough(mark: string): Promise<string | undefined> {
    await this.waitUntil(() => this.text.includes(mark));
    const index = this.text.indexOf(mark);
    return index < 0 ? undefined : this.take(index + mark.length);
  }

  /** Takes this many bytes, or fewer if the connection ends before. */
  async take(count: number): Promise<string> {
    await this.waitUntil(() => this.text.length >= count);
    const taken = this.text.slice(0, count);
    this.text = this.text.slice(count);
    return taken;
  }

  private async waitUntil(hasArrived: () => boolean): Promise<void> {
    while (!hasArrived() && !this.isOver) {
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }
}

function parseHead(head: string, earlierRequests: number): RawRequest {
  const [requestLine = '', ...lines] = head.trimEnd().split('\r\n');
  const headers = lines.map(line => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  });
  return {
    path: requestLine.split(' ')[1] ?? '',
    headers: Object.fromEntries(headers) as Record<string, string>,
    earlierRequests,
  };
}
