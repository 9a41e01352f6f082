/**
 * Test support: crowds of callers that do not behave. Each opens many
 * connections, sends what its kind says as fast as it is taken, and stays.
 */
import * as events from 'node:events';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** Where a crowd connects, and the beginning of its requests there. */
export interface Door {
  readonly host: string;
  readonly port: number;
  /** The head of a request up to its last field, without the empty line. */
  head(method: string, fields: readonly string[]): string;
}

/** How a caller does not behave. */
export interface Misbehaviour {
  readonly name: string;
  /** Whether the answers are left unread. */
  readonly readsNothing?: boolean;
  /** Does what it does; the connection stays open afterwards. */
  attack(socket: net.Socket, door: Door): void | Promise<void>;
}

const BODY_BYTES = 4_194_304;
const BODY = Buffer.alloc(BODY_BYTES, 'b');
const END_OF_HEAD = '\r\n\r\n';

/** Bytes that a caller sends far above the limit of a body. */
const EXCESS_BODIES = 3;
const SMALL_PIECE = Buffer.alloc(200, 'p');
const SMALL_PIECES = 300;
const SHORT_FIELDS = 1_900;
const MOST_FIELDS = 3_000;
const AHEAD = 20_000;
const DRIP_COUNT = 20;
const DRIP_PAUSE_MS = 50;

/** Chunks of a body that are together as long as a body may be. */
function chunks(chunkBytes: number, extension = ''): Buffer {
  const size = chunkBytes.toString(16);
  const text = `${size}${extension}\r\n${'c'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(text.repeat(Math.floor(BODY_BYTES / text.length)));
}

const CHUNKS_OF_ONE = chunks(1);
const CHUNKS_OF_64 = chunks(64);
const LONG_CHUNKS = chunks(65_536);
const EXTENDED_CHUNKS = chunks(64, `;x=${'e'.repeat(200)}`);

const manyFields = [...Array(SHORT_FIELDS).keys()].map(
  index => `${index.toString(36)}:1`,
);

/** The shortest fields of different names, as many as fit in 16 KB. */
const mostFields = [...Array(MOST_FIELDS).keys()].map(
  index => `${index.toString(36)}:`,
);

/** Heads of legal size of the shortest fields, which do not end. */
export const HEADS_OF_MOST_FIELDS: Misbehaviour = {
  name: 'heads of legal size with as many fields as fit, without their end',
  attack: (socket, door) => {
    socket.write(door.head('GET', mostFields));
  },
};

/** Whole heads of that kind, with a body that does not end. */
export const BODIES_OF_MOST_FIELDS: Misbehaviour = {
  name: 'heads of legal size with as many fields as fit, with part of a body',
  attack: (socket, door) => {
    const fields = [...mostFields, 'content-length: 9'];
    socket.write(`${door.head('POST', fields)}${END_OF_HEAD}12345678`);
  },
};

const LONG_FIELD = `long: ${'f'.repeat(15_500)}`;
const LONG_AHEAD = 20;

/** A request that is served, and long heads of legal size sent ahead of it. */
export const LONG_HEADS_AHEAD: Misbehaviour = {
  name: 'long heads of legal size ahead of a request that is served',
  readsNothing: true,
  attack: (socket, door) => {
    socket.write(door.head('GET', []) + END_OF_HEAD);
    for (let count = 0; count < LONG_AHEAD; count++) {
      socket.write(door.head('GET', [LONG_FIELD]) + END_OF_HEAD);
    }
  },
};

function sendBody(
  name: string,
  declaration: string,
  body: Buffer,
): Misbehaviour {
  return {
    name,
    attack: (socket, door) => {
      socket.write(door.head('POST', [declaration]) + END_OF_HEAD);
      socket.write(body);
    },
  };
}

async function drip(socket: net.Socket, text: string): Promise<void> {
  for (let index = 0; index < DRIP_COUNT && !socket.destroyed; index++) {
    socket.write(text);
    await timers.setTimeout(DRIP_PAUSE_MS);
  }
}

const CHUNKED = 'transfer-encoding: chunked';
const WHOLE = `content-length: ${BODY_BYTES}`;

/** Bodies of legal size in the smallest chunks. */
export const CHUNKS_OF_ONE_BYTE = sendBody(
  'bodies in chunks of one byte',
  CHUNKED,
  CHUNKS_OF_ONE,
);

/** All kinds. */
export const MISBEHAVIOURS: readonly Misbehaviour[] = [
  sendBody('bodies one byte short of their end', WHOLE, BODY.subarray(1)),
  {
    name: 'bodies in small pieces',
    attack: async (socket, door) => {
      socket.setNoDelay(true);
      socket.write(door.head('POST', [WHOLE]) + END_OF_HEAD);
      for (let count = 0; count < SMALL_PIECES; count++) {
        if (socket.destroyed) return;
        socket.write(SMALL_PIECE);
        await timers.setImmediate();
      }
    },
  },
  sendBody('bodies in chunks of 64 bytes', CHUNKED, CHUNKS_OF_64),
  CHUNKS_OF_ONE_BYTE,
  sendBody('bodies in long chunks', CHUNKED, LONG_CHUNKS),
  sendBody('chunks with extensions', CHUNKED, EXTENDED_CHUNKS),
  {
    name: 'bodies far over the limit',
    attack: (socket, door) => {
      const length = `content-length: ${BODY_BYTES * 250}`;
      socket.write(door.head('POST', [length]) + END_OF_HEAD);
      for (let count = 0; count < EXCESS_BODIES; count++) socket.write(BODY);
    },
  },
  {
    name: 'bodies in chunks far over the limit',
    attack: (socket, door) => {
      socket.write(door.head('POST', [CHUNKED]) + END_OF_HEAD);
      for (let count = 0; count < EXCESS_BODIES; count++) {
        socket.write(LONG_CHUNKS);
      }
    },
  },
  {
    name: 'trailers without end',
    attack: (socket, door) => {
      const fields = manyFields.join('\r\n');
      socket.write(door.head('POST', [CHUNKED]) + END_OF_HEAD);
      socket.write(`1\r\nx\r\n0\r\n${fields}\r\n`);
      socket.write(fields);
    },
  },
  {
    name: 'heads of very many short fields without their end',
    attack: (socket, door) => {
      socket.write(door.head('GET', manyFields));
    },
  },
  {
    name: 'requests of very many short fields whose body does not end',
    attack: (socket, door) => {
      const fields = [...manyFields, 'content-length: 9'];
      socket.write(`${door.head('POST', fields)}${END_OF_HEAD}12345678`);
    },
  },
  {
    name: 'one very long field',
    attack: (socket, door) => {
      socket.write(`${door.head('GET', [])}\r\nlong: `);
      socket.write(BODY);
    },
  },
  {
    name: 'requests ahead, with no answer read',
    readsNothing: true,
    attack: (socket, door) => {
      const request = `${door.head('GET', [])}${END_OF_HEAD}`;
      socket.write(request.repeat(AHEAD));
    },
  },
  {
    name: 'bodies that are sent very slowly',
    attack: async (socket, door) => {
      socket.write(door.head('POST', [WHOLE]) + END_OF_HEAD);
      await drip(socket, 'b');
    },
  },
  {
    name: 'heads that are sent very slowly',
    attack: async (socket, door) => {
      await drip(socket, door.head('GET', []).slice(0, 2));
    },
  },
  {
    name: 'bodies that stop half-way',
    attack: (socket, door) => {
      socket.write(door.head('POST', [WHOLE]) + END_OF_HEAD);
      socket.write(BODY.subarray(BODY_BYTES / 2));
    },
  },
  {name: 'connections that say nothing', attack: () => undefined},
];

/** Longest time for which a crowd presses, in ms. */
const PRESS_MS = 4_000;
/** Time without progress of any connection after which a crowd rests, in ms. */
const REST_MS = 400;
const POLL_MS = 50;

/** The open connections of one crowd. */
export class Crowd {
  private readonly sockets: net.Socket[] = [];

  /** Connects, `count` times, to the doors in turn. */
  open(doors: readonly Door[], kind: Misbehaviour, count: number): void {
    for (let index = 0; index < count; index++) {
      this.enter(doors[index % doors.length]!, kind);
    }
  }

  /**
   * Resolves when nothing more is taken of what the crowd sends, or it has
   * pressed for long.
   */
  async press(): Promise<void> {
    const endMs = performance.now() + PRESS_MS;
    let progressMs = performance.now();
    let lastState = '';
    while (performance.now() < endMs) {
      const state = this.sockets.map(socket => stateOf(socket)).join();
      if (state !== lastState) progressMs = performance.now();
      if (performance.now() - progressMs > REST_MS) return;
      lastState = state;
      await timers.setTimeout(POLL_MS);
    }
  }

  /** Leaves: all connections are closed. */
  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private enter(door: Door, kind: Misbehaviour): void {
    const socket = net.connect({host: door.host, port: door.port});
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    if (kind.readsNothing) socket.pause();
    else socket.resume();
    events.EventEmitter.once(socket, 'connect').then(
      () => kind.attack(socket, door),
      () => undefined,
    );
  }
}

function stateOf(socket: net.Socket): string {
  if (socket.destroyed) return 'x';
  return `${socket.bytesWritten - socket.writableLength}/${socket.bytesRead}`;
}
