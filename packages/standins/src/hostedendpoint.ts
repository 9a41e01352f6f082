/**
 * Stand-in for an engine or plain service of the hosted platform. Tests choose
 * how it answers: by a queue of behaviours, a callback or a default.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

/** How one request is answered. */
export type Behaviour =
  | {readonly type: 'answer'; readonly body?: string}
  /** Runs the request and answers 500, or another status. */
  | {readonly type: 'fail'; readonly status?: number}
  /**
   * Refuses the request with 503 and does not run it. `late` is written before
   * the next answer of the connection.
   */
  | {readonly type: 'shed'; readonly late?: string}
  /** Runs the request and closes its connection without an answer. */
  | {readonly type: 'reset'}
  /** Runs the request and stops the endpoint before it answers. */
  | {readonly type: 'crash'}
  /** Answers with the attempt id of another request. */
  | {readonly type: 'foreign'}
  /** Sends less of the body than the Content-Length states. */
  | {readonly type: 'truncate'; readonly body?: string}
  /**
   * Writes text on the connection, such as a late copy of an earlier answer,
   * and then behaves as `next` says.
   */
  | {
      readonly type: 'precede';
      readonly text: string;
      /** Time between the text and the answer; none if absent. */
      readonly pauseMs?: number;
      readonly next: Behaviour;
    }
  /** Behaves as `next` says, with text after the answer, in one write. */
  | {
      readonly type: 'exceed';
      readonly text: string;
      readonly next: Behaviour;
    }
  /** Answers without the header `response-seal`. */
  | {readonly type: 'unsealed'}
  /** Answers without a length: the connection is closed, or reset early. */
  | {readonly type: 'unframed'; readonly isReset: boolean}
  /**
   * Writes text as it is, which need not be a valid answer, and closes or
   * resets the connection.
   */
  | {
      readonly type: 'raw';
      readonly text: (run: RecordedRun) => string;
      readonly isReset: boolean;
    }
  /**
   * Writes text, and then bytes without end, as fast as they are read, until the
   * connection closes.
   */
  | {
      readonly type: 'endless';
      readonly text: (run: RecordedRun) => string;
      readonly bytes: Buffer;
    }
  /** Never answers. */
  | {readonly type: 'hang'}
  /** Streams events from the one after `Last-Event-Id` up to `events`. */
  | {
      readonly type: 'stream';
      readonly events: number;
      /** Number of the event in whose middle the connection is closed. */
      readonly cutInEvent?: number;
      /** Time between events. */
      readonly intervalMs?: number;
      /** Text in each event, to tell streams apart. */
      readonly label?: string;
    };

/** A request that the endpoint has run. */
export interface RecordedRun {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Monotonic time of its start. */
  readonly startedMs: number;
  /** Whether its connection carried requests before. */
  readonly isOnKeptConnection?: boolean;
  /** Whether the connection closed before the answer was complete. */
  isCutOff: boolean;
}

/** HTTP server of the endpoint, with a record of the requests it ran. */
export class HostedEndpoint {
  readonly runs: RecordedRun[] = [];
  /** Number of cached tokens by id of the prompt prefix. */
  readonly cachedTokensByPrefix = new Map<string, number>();
  /** Number of requests for `/kv-list`. */
  prefixListCount = 0;
  /** Number of callers' requests that arrived, refused ones included. */
  arrivalCount = 0;
  /** Headers that all answers carry. */
  extraHeaders: Readonly<Record<string, string>> = {};
  /** Wall-clock time of the start, in ms; another one is another lifetime. */
  bornMs = 1_700_000_000_000;
  /** Version of its software. */
  version = 'v1';
  /** Queue of behaviours, one for each of the next requests. */
  readonly nextBehaviours: Behaviour[] = [];
  /** Behaviour if the queue is empty and no callback is set. */
  defaultBehaviour: Behaviour = {type: 'answer'};
  /** Callback that chooses the behaviour while the queue is empty. */
  chooseBehaviour?: (run: RecordedRun) => Behaviour;
  /** Whether to refuse a request before its body is read. */
  refusesEarly?: (headers: http.IncomingHttpHeaders) => boolean;
  /** How long the body of a request that was refused early stays unread. */
  unreadBodyMs = 20;
  port = 0;
  private readonly lateTexts = new WeakMap<net.Socket, string>();
  private server: http.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly usedSockets = new WeakSet<net.Socket>();

  constructor(
    readonly id: string,
    readonly pool: string,
    private readonly address: string,
  ) {
    this.server = this.createServer();
  }

  /** Starts to listen; after a stop, on the same port as before. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(this.port, this.address, resolve),
    );
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  /** Closes all connections and stops listening; it can be started again. */
  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
    this.server = this.createServer();
  }

  /** Entry that an endpoint writes for itself to the topic `keyed.servers`. */
  entry(state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
    return {
      service: this.pool,
      address: `${this.address}:${this.port}`,
      zone: 'zone-a',
      version: this.version,
      slots: 8,
      state,
      warmupLeftMs: 0,
      seq: 1,
      born: this.bornMs,
    };
  }

  /**
   * Writes text on all open connections, whether or not a request waits, and
   * closes them if `isEnd`.
   */
  inject(text: string, isEnd = false): void {
    for (const socket of this.sockets) {
      if (text !== '') socket.write(text);
      if (isEnd) socket.end();
    }
  }

  private createServer(): http.Server {
    const server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
    server.maxHeadersCount = 0;
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    return server;
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const isOnKeptConnection = this.usedSockets.has(request.socket);
    this.usedSockets.add(request.socket);
    if (this.refusesEarly?.(request.headers)) {
      this.refuseEarly(request, response);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    for (const [name, value] of Object.entries(this.extraHeaders)) {
      response.setHeader(name, value);
    }
    if (request.url === '/kv-list') {
      this.sendPrefixList(response);
      return;
    }
    if (request.headers['expect-instance'] !== this.id) {
      const id = String(request.headers['attempt-id']);
      const headers = {'attempt-id': id, 'instance-id': this.id};
      response.writeHead(421, headers).end();
      return;
    }
    this.arrivalCount += 1;
    const run: RecordedRun = {
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString(),
      startedMs: performance.now(),
      isOnKeptConnection,
      isCutOff: false,
    };
    const behaviour =
      this.nextBehaviours.shift() ??
      this.chooseBehaviour?.(run) ??
      this.defaultBehaviour;
    this.writeLateText(request.socket);
    if (behaviour.type === 'shed') {
      const id = String(run.headers['attempt-id']);
      const headers = {'attempt-id': id, 'not-executed': '1'};
      response.writeHead(503, headers).end();
      const {late} = behaviour;
      if (late !== undefined) this.lateTexts.set(request.socket, late);
      return;
    }
    this.runs.push(run);
    response.once('close', () => (run.isCutOff = !response.writableFinished));
    await this.answer(behaviour, run, response);
  }

  /** Refuses the request, and reads and drops its body later. */
  private refuseEarly(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    request.on('data', () => undefined);
    request.pause();
    const id = String(request.headers['attempt-id']);
    response.writeHead(503, {'attempt-id': id, 'not-executed': '1'}).end();
    setTimeout(() => request.resume(), this.unreadBodyMs);
  }

  private writeLateText(socket: net.Socket): void {
    const text = this.lateTexts.get(socket);
    if (text === undefined) return;
    this.lateTexts.delete(socket);
    socket.write(text);
  }

  private sendPrefixList(response: http.ServerResponse): void {
    this.prefixListCount += 1;
    const held = [...this.cachedTokensByPrefix].map(([id, tokens]) => [
      '',
      id,
      tokens,
      'm',
    ]);
    const body = {epoch: 1, next: 0, held};
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  private async answer(
    behaviour: Behaviour,
    run: RecordedRun,
    response: http.ServerResponse,
  ): Promise<void> {
    const id = String(run.headers['attempt-id']);
    const headers = {'attempt-id': id, 'response-seal': `${this.id}.${id}`};
    switch (behaviour.type) {
      case 'answer':
        response.writeHead(200, headers).end(behaviour.body ?? `by ${this.id}`);
        break;
      case 'fail':
        response.writeHead(behaviour.status ?? 500, headers).end('failed');
        break;
      case 'foreign':
        response.writeHead(200, {...headers, 'attempt-id': 'other'}).end('no');
        break;
      case 'precede':
        response.socket?.write(behaviour.text);
        if (behaviour.pauseMs !== undefined) {
          await new Promise(resolve => setTimeout(resolve, behaviour.pauseMs));
        }
        await this.answer(behaviour.next, run, response);
        break;
      case 'exceed': {
        const {socket} = response;
        socket?.cork();
        await this.answer(behaviour.next, run, response);
        socket?.write(behaviour.text);
        socket?.uncork();
        break;
      }
      case 'unsealed':
        response.writeHead(200, {'attempt-id': id}).end('no');
        break;
      case 'truncate':
        sendTruncated(behaviour.body ?? 'cut', response, headers);
        break;
      case 'crash':
        run.isCutOff = true;
        await this.stop();
        break;
      case 'unframed':
        sendUnframed(behaviour.isReset, response, headers);
        break;
      case 'raw':
        sendRaw(behaviour.text(run), behaviour.isReset, response);
        break;
      case 'endless':
        response.socket?.write(behaviour.text(run));
        if (response.socket) await pour(behaviour.bytes, response.socket);
        break;
      case 'reset':
        run.isCutOff = true;
        response.destroy();
        break;
      case 'stream':
        await sendStream(behaviour, run, response, headers);
        break;
      default:
        break;
    }
  }
}

/** Closes the connection before the stated length has been sent. */
function sendTruncated(
  body: string,
  response: http.ServerResponse,
  headers: Record<string, string>,
): void {
  const length = body.length + TRUNCATED_BYTES;
  response.writeHead(200, {...headers, 'content-length': length});
  response.write(body, () => setTimeout(() => response.destroy(), 10));
}

/** Number of bytes that a truncated answer lacks. */
const TRUNCATED_BYTES = 997;

/** Sends an answer without a length, ended by the end of the connection. */
function sendUnframed(
  isReset: boolean,
  response: http.ServerResponse,
  headers: Record<string, string>,
): void {
  const {socket} = response;
  const lines = Object.entries(headers).map(([name, value]) => {
    return `${name}: ${value}\r\n`;
  });
  socket?.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\nhalf`);
  if (isReset) setTimeout(() => socket?.resetAndDestroy(), RESET_DELAY_MS);
  else socket?.end(' and half');
}

/** Writes the bytes again and again until the connection closes. */
async function pour(bytes: Buffer, socket: net.Socket): Promise<void> {
  const closed = new Promise(resolve => socket.once('close', resolve));
  while (!socket.destroyed) {
    const isWritable = socket.write(bytes);
    const drained = new Promise(resolve => {
      if (isWritable) setImmediate(resolve);
      else socket.once('drain', resolve);
    });
    await Promise.race([drained, closed]);
  }
}

function sendRaw(
  text: string,
  isReset: boolean,
  {socket}: http.ServerResponse,
): void {
  if (!isReset) {
    socket?.end(text);
    return;
  }
  socket?.write(text);
  setTimeout(() => socket?.resetAndDestroy(), RESET_DELAY_MS);
}

/** Text of a refusal, as an endpoint may send it once more. */
export function refusalText(id: string): string {
  return (
    'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n' +
    `Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`
  );
}

/** Text of a server-sent event. */
export function eventText(number: number, label = 'event'): string {
  return `id: ${number}\ndata: ${label} ${number}\n\n`;
}

/** Delay before a reset, so that the bytes before it arrive. */
const RESET_DELAY_MS = 20;

const DEFAULT_INTERVAL_MS = 2;

async function sendStream(
  {
    events,
    cutInEvent: cutNumber,
    intervalMs: pauseMs = DEFAULT_INTERVAL_MS,
    label = 'event',
  }: Behaviour & {type: 'stream'},
  run: RecordedRun,
  response: http.ServerResponse,
  headers: Record<string, string>,
): Promise<void> {
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  const first = Number(run.headers['last-event-id'] ?? 0) + 1;
  for (let number = first; number <= events; number++) {
    const event = eventText(number, label);
    if (number === cutNumber) {
      response.write(event.slice(0, event.length / 2));
      setTimeout(() => response.destroy(), DEFAULT_INTERVAL_MS);
      return;
    }
    if (response.destroyed) return;
    response.write(event);
    await new Promise(resolve => setTimeout(resolve, pauseMs));
  }
  response.end();
}
