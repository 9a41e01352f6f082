/**
 * An endpoint over bare TCP that answers as the request's header says, in
 * ways that no HTTP library would.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as standins from '@oleanderrock/standins';

/** The header that names the behaviour. */
export const BEHAVIOUR = 'x-behaviour';
/** The header whose value the answer's body repeats. */
export const NONCE = 'x-nonce';

const AFTER_MS = 5;

/** What an answer is made of. */
interface Asked {
  readonly nonce: string;
  readonly id: string;
  /** How long a late answer waits. */
  readonly lateMs: number;
}

type Play = (socket: net.Socket, asked: Asked) => Promise<void> | void;

function text(nonce: string): string {
  return JSON.stringify({nonce});
}

function whole({nonce, id}: Partial<Asked>, status = '200 OK'): string {
  const body = text(nonce ?? 'stray');
  const mark = id === undefined ? '' : `oleander-request-id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${mark}content-length: ${body.length}\r\n\r\n${body}`;
}

function chunked({nonce, id}: Asked, end: string): string {
  const body = text(nonce);
  const size = body.length.toString(16);
  return (
    `HTTP/1.1 200 OK\r\noleander-request-id: ${id}\r\n` +
    `transfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n${end}`
  );
}

/** Answers, then sends something more a moment later. */
function follow(more: (asked: Asked) => string): Play {
  return async (socket, asked) => {
    socket.write(whole(asked));
    await timers.setTimeout(AFTER_MS);
    socket.write(more(asked));
  };
}

const send =
  (make: (asked: Asked) => string): Play =>
  (socket, asked) =>
    void socket.write(make(asked));

const sendAndEnd =
  (make: (asked: Asked) => string): Play =>
  (socket, asked) =>
    void socket.end(make(asked));

const begun = new Set<string>();

/** Breaks the first answer to a nonce off after its head; the next is whole. */
const breakOnce: Play = (socket, asked) => {
  const answer = whole(asked);
  if (begun.has(asked.nonce)) return void socket.write(answer);
  begun.add(asked.nonce);
  const head = answer.slice(0, -text(asked.nonce).length);
  socket.write(head, () => socket.destroy());
};

/** Behaviours whose answer is whole and the request's own. */
export const SOUND: Readonly<Record<string, Play>> = {
  breakOnce,
  length: send(asked => whole(asked)),
  chunks: send(asked => chunked(asked, '0\r\n\r\n')),
  twice: send(asked => whole(asked) + whole(asked)),
  again: follow(asked => whole(asked)),
  stray: follow(() => whole({})),
  garbage: follow(() => 'garbage\r\n\r\n'),
  surplus: send(asked => `${whole(asked)}surplus`),
  hints: send(asked => `HTTP/1.1 103 Early Hints\r\n\r\n${whole(asked)}`),
};

/** Behaviours after which no answer may look whole. */
export const UNSOUND: Readonly<Record<string, Play>> = {
  late: async (socket, asked) => {
    await timers.setTimeout(asked.lateMs);
    socket.write(whole(asked));
  },
  other: send(({nonce}) => whole({nonce, id: 'another'})),
  cutLength: sendAndEnd(asked => whole(asked).slice(0, -3)),
  cutChunks: sendAndEnd(asked => chunked(asked, '')),
  silentChunks: send(asked => chunked(asked, '')),
  noLength: sendAndEnd(
    ({nonce, id}) =>
      `HTTP/1.1 200 OK\r\noleander-request-id: ${id}\r\n\r\n${text(nonce)}`,
  ),
  zeroStatus: send(asked => whole(asked, '099 Odd')),
  upgrade: send(asked => whole(asked, '101 Switching Protocols')),
  nothing: sendAndEnd(() => ''),
};

function header(head: string, name: string): string {
  const found = new RegExp(`^${name}: (.*)\r$`, 'im').exec(`${head}\r\n`);
  return found?.[1] ?? '';
}

/** A listening raw endpoint. */
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

  /** Listens, and lists itself with the label `kind=raw`. */
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

  /** Closes all connections. */
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

  /** Answers the whole requests of the buffer and returns what is left. */
  private async serveAll(socket: net.Socket, given: string): Promise<string> {
    let buffer = given;
    for (;;) {
      const end = buffer.indexOf('\r\n\r\n');
      if (end < 0) return buffer;
      const head = buffer.slice(0, end);
      const size = end + 4 + Number(header(head, 'content-length'));
      if (buffer.length < size) return buffer;
      buffer = buffer.slice(size);
      await this.answer(socket, head);
    }
  }

  private async answer(socket: net.Socket, head: string): Promise<void> {
    const name = header(head, BEHAVIOUR);
    const play = SOUND[name] ?? UNSOUND[name];
    const asked = {
      nonce: header(head, NONCE),
      id: header(head, 'oleander-request-id'),
      lateMs: this.lateMs,
    };
    if (play) await play(socket, asked);
    else socket.write(load());
  }
}

function load(): string {
  const body = JSON.stringify({in_flight: 0});
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
