/**
 * Stand-in for an engine or plain service on the users' platform. A test sets
 * how the next requests are answered, by a queue of behaviours.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

/** How one request is answered. */
export type Behaviour =
  | {readonly type: 'answer'; readonly body?: string}
  /** The endpoint runs the request and answers 500. */
  | {readonly type: 'fail'}
  /** The endpoint refuses and does not run the request. */
  | {readonly type: 'shed'}
  /** The request runs, and its connection is reset without an answer. */
  | {readonly type: 'reset'}
  /** The request runs, and the endpoint ends under it. */
  | {readonly type: 'crash'}
  /** Another request's id stands in the answer. */
  | {readonly type: 'foreign'}
  /** The answer is shorter than its length says. */
  | {readonly type: 'truncate'; readonly body?: string}
  | {readonly type: 'unsealed'}
  /** No length: the answer ends with its connection, or is reset before. */
  | {readonly type: 'unframed'; readonly isReset: boolean}
  /** No answer, until the caller leaves. */
  | {readonly type: 'hang'}
  /** Events by number, from the one after `Last-Event-Id` up to `events`. */
  | {
      readonly type: 'stream';
      readonly events: number;
      /** Breaks off in the middle of this event. */
      readonly breakIn?: number;
      readonly paceMs?: number;
      /** Stands in each event, so that streams differ. */
      readonly label?: string;
    };

/** A request that ran. */
export interface SeenRun {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Monotonic time at which it began. */
  readonly atMs: number;
  /** Whether the caller left before the end. */
  hasLeft: boolean;
}

/** The endpoint. */
export class HostedEndpoint {
  readonly runs: SeenRun[] = [];
  /** Tokens of the parts of prompts that it holds, by part. */
  readonly held = new Map<string, number>();
  /** How often it was asked for that list. */
  listings = 0;
  /** Answers of the next requests; afterwards `usual` holds. */
  readonly next: Behaviour[] = [];
  usual: Behaviour = {type: 'answer'};
  /** Decides for each request instead, where it is set. */
  choose?: (run: SeenRun) => Behaviour;
  port = 0;
  private server: http.Server;

  constructor(
    readonly id: string,
    readonly pool: string,
    private readonly address: string,
  ) {
    this.server = this.makeServer();
  }

  /** Starts, on the same port as before if there was one. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(this.port, this.address, resolve),
    );
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  /** Ends at once; connections are reset. */
  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
    this.server = this.makeServer();
  }

  /** The entry that it writes of itself. */
  entry(state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
    return {
      service: this.pool,
      address: `${this.address}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state,
      warmupLeftMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
    };
  }

  private makeServer(): http.Server {
    return http.createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const pieces: Buffer[] = [];
    for await (const piece of request) pieces.push(piece as Buffer);
    if (request.url === '/kv-list') {
      this.list(response);
      return;
    }
    if (request.headers['expect-instance'] !== this.id) {
      response.writeHead(421, {'instance-id': this.id}).end();
      return;
    }
    const run: SeenRun = {
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(pieces).toString(),
      atMs: performance.now(),
      hasLeft: false,
    };
    const behaviour = this.next.shift() ?? this.choose?.(run) ?? this.usual;
    if (behaviour.type === 'shed') {
      response.writeHead(503, {'not-executed': '1'}).end();
      return;
    }
    this.runs.push(run);
    response.once('close', () => (run.hasLeft = !response.writableFinished));
    await this.answer(behaviour, run, response);
  }

  private list(response: http.ServerResponse): void {
    this.listings += 1;
    const held = [...this.held].map(([id, tokens]) => ['', id, tokens, 'm']);
    const body = {epoch: 1, next: 0, held};
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  private async answer(
    behaviour: Behaviour,
    run: SeenRun,
    response: http.ServerResponse,
  ): Promise<void> {
    const id = String(run.headers['attempt-id']);
    const headers = {'attempt-id': id, 'response-seal': `${this.id}.${id}`};
    switch (behaviour.type) {
      case 'answer':
        response.writeHead(200, headers).end(behaviour.body ?? `by ${this.id}`);
        break;
      case 'fail':
        response.writeHead(500, headers).end('failed');
        break;
      case 'foreign':
        response.writeHead(200, {...headers, 'attempt-id': 'other'}).end('no');
        break;
      case 'unsealed':
        response.writeHead(200, {'attempt-id': id}).end('no');
        break;
      case 'truncate':
        truncate(behaviour.body ?? 'cut', response, headers);
        break;
      case 'crash':
        run.hasLeft = true;
        await this.stop();
        break;
      case 'unframed':
        unframed(behaviour.isReset, response, headers);
        break;
      case 'reset':
        run.hasLeft = true;
        response.destroy();
        break;
      case 'stream':
        await stream(behaviour, run, response, headers);
        break;
      default:
        break;
    }
  }
}

/** An answer that ends before its length is reached. */
function truncate(
  body: string,
  response: http.ServerResponse,
  headers: Record<string, string>,
): void {
  const length = body.length + MISSING_BYTES;
  response.writeHead(200, {...headers, 'content-length': length});
  response.write(body, () => setTimeout(() => response.destroy(), 10));
}

/** What a truncated answer lacks. */
const MISSING_BYTES = 997;

/** An answer that ends with its connection. */
function unframed(
  isReset: boolean,
  response: http.ServerResponse,
  headers: Record<string, string>,
): void {
  const {socket} = response;
  const lines = Object.entries(headers).map(([name, value]) => {
    return `${name}: ${value}\r\n`;
  });
  socket?.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\nhalf`);
  if (isReset) setTimeout(() => socket?.resetAndDestroy(), RESET_MS);
  else socket?.end(' and half');
}

/** One event as the endpoint writes it. */
export function eventText(number: number, label = 'event'): string {
  return `id: ${number}\ndata: ${label} ${number}\n\n`;
}

/** Time in which the bytes before a reset arrive. */
const RESET_MS = 20;

const DEFAULT_PACE_MS = 2;

async function stream(
  {
    events,
    breakIn,
    paceMs = DEFAULT_PACE_MS,
    label = 'event',
  }: Behaviour & {type: 'stream'},
  run: SeenRun,
  response: http.ServerResponse,
  headers: Record<string, string>,
): Promise<void> {
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  const first = Number(run.headers['last-event-id'] ?? 0) + 1;
  for (let number = first; number <= events; number++) {
    const event = eventText(number, label);
    if (number === breakIn) {
      response.write(event.slice(0, event.length / 2));
      setTimeout(() => response.destroy(), DEFAULT_PACE_MS);
      return;
    }
    if (response.destroyed) return;
    response.write(event);
    await new Promise(resolve => setTimeout(resolve, paceMs));
  }
  response.end();
}
