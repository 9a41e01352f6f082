/**
 * Test support: a caller over plain TCP, which records the bytes of an answer
 * and how its connection ended.
 */
import * as net from 'node:net';

/** How the connection of an answer ended. */
export type ReceivedEnding = 'fin' | 'reset' | 'open';

/** Time after which an answer that does not end is given up, in ms. */
const PATIENCE_MS = 10_000;

/** An answer as a caller takes it. */
export interface TakenAnswer {
  /** 0 if there was no whole head. */
  readonly status: number;
  readonly body: string;
  /** Whether the caller takes the answer as whole. */
  readonly isWhole: boolean;
  readonly ending: ReceivedEnding;
  /** Lines of the head behind the status line. */
  readonly headLines: readonly string[];
}

/** Where and what to send. */
export interface RawCall {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Sends a request on a connection of its own; resolves when that has ended. */
export function call(options: RawCall): Promise<TakenAnswer> {
  const {address, port, path, headers, body} = options;
  const lines = Object.entries(headers).map(pair => `${pair.join(': ')}\r\n`);
  return new Promise(resolve => {
    const socket = net.connect({host: address, port, allowHalfOpen: true});
    let received = '';
    const timer = setTimeout(() => finish('open'), PATIENCE_MS);
    const finish = (ending: ReceivedEnding) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(take(received, ending));
    };
    socket.on('data', data => (received += data.toString('latin1')));
    // Node.js may report a reset that comes with data as an ordinary end.
    socket.once('end', () =>
      finish(socket.remoteAddress === undefined ? 'reset' : 'fin'),
    );
    socket.on('error', () => finish('reset'));
    socket.write(
      `POST ${path} HTTP/1.1\r\n${lines.join('')}connection: close\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
      'latin1',
    );
  });
}

/** Reads an answer as a caller does. */
export function take(received: string, ending: ReceivedEnding): TakenAnswer {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return {status: 0, body: '', isWhole: false, ending, headLines: []};
  }
  const [statusLine = '', ...headLines] = received
    .slice(0, headEnd)
    .split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const bytes = received.slice(headEnd + 4);
  const header = (name: string) =>
    headLines
      .find(line => line.toLowerCase().startsWith(`${name}:`))
      ?.slice(name.length + 1)
      .trim();
  const length = header('content-length');
  if (header('transfer-encoding') === 'chunked') {
    return {status, ...joinChunks(bytes), ending, headLines};
  }
  const isWhole =
    length === undefined ? ending === 'fin' : bytes.length === Number(length);
  return {status, body: bytes, isWhole, ending, headLines};
}

/** Joins the chunks; the body is whole if the last chunk and its end are there. */
function joinChunks(bytes: string): {body: string; isWhole: boolean} {
  let body = '';
  let rest = bytes;
  for (;;) {
    const lineEnd = rest.indexOf('\r\n');
    if (lineEnd < 0) return {body, isWhole: false};
    const size = parseInt(rest.slice(0, lineEnd), 16);
    rest = rest.slice(lineEnd + 2);
    if (size === 0) {
      return {body, isWhole: rest === '\r\n' || rest.endsWith('\r\n\r\n')};
    }
    body += rest.slice(0, size);
    if (rest.length < size + 2) return {body, isWhole: false};
    rest = rest.slice(size + 2);
  }
}
