/**
 * A test endpoint over plain TCP that answers in the way that a request header
 * names, including malformed answers that no HTTP library would send.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as standins from '@oleanderrock/standins';

/** Header that names the behaviour. */
export const BEHAVIOUR = 'x-behaviour';
/** Header whose value the answer's body repeats. */
export const NONCE = 'x-nonce';

const FOLLOW_UP_DELAY_MS = 5;

/** The request's values that an answer is built from. */
interface RawRequest {
  readonly nonce: string;
  readonly id: string;
  /** Delay of a late answer. */
  readonly lateMs: number;
}

type Behaviour = (
  socket: net.Socket,
  request: RawRequest,
) => Promise<void> | void;

function bodyOf(nonce: string): string {
  return JSON.stringify({nonce});
}

function completeAnswer(
  {nonce, id}: Partial<RawRequest>,
  status = '200 OK',
): string {
  const body = bodyOf(nonce ?? 'stray');
  const idHeader = id === undefined ? '' : `oleander-request-id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${idHeader}content-length: ${body.length}\r\n\r\n${body}`;
}

function chunkedAnswer({nonce, id}: RawRequest, end: string): string {
  const body = bodyOf(nonce);
  const size = body.length.toString(16);
  return (
    `HTTP/1.1 200 OK\r\noleander-request-id: ${id}\r\n` +
    `transfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n${end}`
  );
}

/** Sends a valid answer, and further bytes a moment later. */
function answerAndSend(extraBytes: (request: RawRequest) => string): Behaviour {
  return async (socket, request) => {
    socket.write(completeAnswer(request));
    await timers.setTimeout(FOLLOW_UP_DELAY_MS);
    socket.write(extraBytes(request));
  };
}

const respond =
  (build: (request: RawRequest) => string): Behaviour =>
  (socket, request) =>
    void socket.write(build(request));

const respondAndClose =
  (build: (request: RawRequest) => string): Behaviour =>
  (socket, request) =>
    void socket.end(build(request));

const interruptedNonces = new Set<string>();

/** Closes the connection after the head of a nonce's first answer only. */
const breakOnce: Behaviour = (socket, request) => {
  const answer = completeAnswer(request);
  if (interruptedNonces.has(request.nonce)) return void socket.write(answer);
  interruptedNonces.add(request.nonce);
  const head = answer.slice(0, -bodyOf(request.nonce).length);
  socket.write(head, () => socket.destroy());
};

/** Behaviours that send a complete, valid answer to the request. */
export const VALID_BEHAVIOURS: Readonly<Record<string, Behaviour>> = {
  breakOnce,
  length: respond(request => completeAnswer(request)),
  chunks: respond(request => chunkedAnswer(request, '0\r\n\r\n')),
  twoAnswers: respond(
    request => completeAnswer(request) + completeAnswer(request),
  ),
  laterSecondAnswer: answerAndSend(request => completeAnswer(request)),
  laterStrayAnswer: answerAndSend(() => completeAnswer({})),
  laterGarbage: answerAndSend(() => 'garbage\r\n\r\n'),
  surplusBytes: respond(request => `${completeAnswer(request)}surplus`),
  earlyHints: respond(
    request => `HTTP/1.1 103 Early Hints\r\n\r\n${completeAnswer(request)}`,
  ),
};

/** Behaviours after which the router must return no complete answer. */
export const INVALID_BEHAVIOURS: Readonly<Record<string, Behaviour>> = {
  lateAnswer: async (socket, request) => {
    await timers.setTimeout(request.lateMs);
    socket.write(completeAnswer(request));
  },
  wrongRequestId: respond(({nonce}) => completeAnswer({nonce, id: 'another'})),
  truncatedLength: respondAndClose(request =>
    completeAnswer(request).slice(0, -3),
  ),
  truncatedChunks: respondAndClose(request => chunkedAnswer(request, '')),
  unfinishedChunks: respond(request => chunkedAnswer(request, '')),
  missingLength: respondAndClose(
    ({nonce, id}) =>
      `HTTP/1.1 200 OK\r\noleander-request-id: ${id}\r\n\r\n${bodyOf(nonce)}`,
  ),
  invalidStatus: respond(request => completeAnswer(request, '099 Odd')),
  unexpectedUpgrade: respond(request =>
    completeAnswer(request, '101 Switching Protocols'),
  ),
  closedWithoutAnswer: respondAndClose(() => ''),
};

function readHeader(head: string, name: string): string {
  const match = new RegExp(`^${name}: (.*)\r$`, 'im').exec(`${head}\r\n`);
  return match?.[1] ?? '';
}

/** TCP server that answers with the requested behaviour, or a load report. */
export class RawEndpoint {
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.sockets.delete(socket));
    void this.serve(socket);
  });

  constructor(
    readonly name: string,
    private readonly lateMs: number,
  ) {}

  /** Starts listening and registers on the instance list as `kind=raw`. */
  async join(fleet: standins.Fleet): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as net.AddressInfo;
    await fetch(`${fleet.platformUrl}/instances/${this.name}`, {
      method: 'PUT',
      body: JSON.stringify({
        name: this.name,
        kind: 'endpoint',
        address: '127.0.0.1',
        port,
        labels: {kind: 'raw'},
      }),
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(socket: net.Socket): Promise<void> {
    let buffer = '';
    try {
      for await (const data of socket) {
        buffer += (data as Buffer).toString('latin1');
        buffer = await this.serveAll(socket, buffer);
      }
    } catch {
      socket.destroy();
    }
  }

  /** Answers the complete requests of the buffer and returns the rest. */
  private async serveAll(socket: net.Socket, initial: string): Promise<string> {
    let buffer = initial;
    for (;;) {
      const end = buffer.indexOf('\r\n\r\n');
      if (end < 0) return buffer;
      const head = buffer.slice(0, end);
      const size = end + 4 + Number(readHeader(head, 'content-length'));
      if (buffer.length < size) return buffer;
      buffer = buffer.slice(size);
      await this.answer(socket, head);
    }
  }

  private async answer(socket: net.Socket, head: string): Promise<void> {
    const behaviourName = readHeader(head, BEHAVIOUR);
    const behaviour =
      VALID_BEHAVIOURS[behaviourName] ?? INVALID_BEHAVIOURS[behaviourName];
    const request = {
      nonce: readHeader(head, NONCE),
      id: readHeader(head, 'oleander-request-id'),
      lateMs: this.lateMs,
    };
    if (behaviour) await behaviour(socket, request);
    else socket.write(loadReport());
  }
}

function loadReport(): string {
  const body = JSON.stringify({in_flight: 0});
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
