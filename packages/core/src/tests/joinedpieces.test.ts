/**
 * Guards against each short piece of a body being passed on by itself: Node.js
 * then runs its queues for each, 27 us of a slow core, and bodies that are legal
 * take all of its time. Joined, they have to be the same bytes.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '../index.js';
import * as joinedPieces from '../joinedpieces.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const RUNS = 100;
const SMALL_CHUNKS = 2_000;

describe('joined pieces', () => {
  it('are the bytes that were added, and none of those taken before', () => {
    const piece = fc.uint8Array({minLength: 1, maxLength: 300});
    const property = fc.property(fc.array(fc.array(piece)), rounds => {
      const pieces = new joinedPieces.JoinedPieces();
      const taken = rounds.map(round => {
        for (const bytes of round) pieces.add(Buffer.from(bytes));
        return pieces.take();
      });
      const expected = rounds.map(round =>
        round.length === 0 ? undefined : Buffer.concat(round),
      );
      expect(taken).to.deep.equal(expected);
    });
    fc.assert(property, {numRuns: RUNS});
  });

  it('keep no more memory than their bytes once they are taken', () => {
    const pieces = new joinedPieces.JoinedPieces();
    for (let count = 0; count < 100; count++) pieces.add(Buffer.from('12345'));
    expect(pieces.take()?.buffer.byteLength).to.be.at.most(8_192);
  });
});

describe('the body of a request', () => {
  let listener: core.listener.Listener;
  let socket: net.Socket;
  /** Bodies as they were read. */
  let bodies: string[];
  /** Number of their pieces, if they are to be counted. */
  let pieceCount: number | undefined;

  beforeEach(async () => {
    bodies = [];
    pieceCount = undefined;
    listener = new core.listener.Listener({
      name: 'test',
      host: HOST,
      port: 0,
      maxHeaderBytes: 65_536,
      requestTimeoutMs: 5_000,
      log: new core.SilentLogger(),
      serve: async ({request, response}) => {
        if (pieceCount !== undefined) {
          request.on('data', () => (pieceCount! += 1));
        }
        const body = await core.listener.readBody(request, 10_000_000);
        bodies.push(body.ok ? body.value.toString('latin1') : 'unread');
        core.listener.sendJson(response, 200, 0);
      },
    });
    await listener.listen();
    socket = net.connect({host: HOST, port: listener.port, noDelay: true});
  });

  afterEach(async () => {
    socket.destroy();
    await listener.close();
  });

  /** Writes all at the given cuts; resolves once so many are answered. */
  async function send(
    text: string,
    cuts: readonly number[],
    count: number,
  ): Promise<void> {
    let received = '';
    const answered = new Promise<void>((resolve, reject) => {
      socket.once('close', () => reject(new Error(`closed: ${received}`)));
      socket.on('data', data => {
        received += data.toString();
        if (received.split('HTTP/1.1 200').length > count) resolve();
      });
    });
    let begin = 0;
    for (const cut of [...cuts, text.length]) {
      socket.write(text.slice(begin, cut), 'latin1');
      begin = cut;
      await new Promise(resolve => setImmediate(resolve));
    }
    await answered;
    socket.removeAllListeners('close').removeAllListeners('data');
  }

  function requestOf(chunks: readonly string[], trailer = ''): string {
    const parts = chunks.map(
      chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
    );
    return (
      'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' +
      `${parts.join('')}0\r\n${trailer}\r\n`
    );
  }

  it('in many small chunks is passed on in few pieces', async () => {
    const chunks = Array.from({length: SMALL_CHUNKS}, () => 'x');
    const text = requestOf(chunks);
    pieceCount = 0;
    await send(text, [60], 1);
    expect(bodies).to.deep.equal(['x'.repeat(SMALL_CHUNKS)]);
    expect(pieceCount).to.be.within(1, 20);
  });

  it('is the same bytes, however it is cut into chunks and reads', async () => {
    const chunk = fc.oneof(
      fc.string({minLength: 1, maxLength: 8, unit: 'binary-ascii'}),
      fc.integer({min: 4_000, max: 9_000}).map(length => 'l'.repeat(length)),
    );
    const message = fc.record({
      chunks: fc.array(chunk, {maxLength: 30}),
      trailer: fc.constantFrom('', 'a: b\r\n'),
    });
    const property = fc.asyncProperty(
      fc.array(message, {minLength: 1, maxLength: 4}),
      fc.array(fc.nat(3_000), {maxLength: 6}),
      async (messages, positions) => {
        bodies.length = 0;
        const text = messages
          .map(({chunks, trailer}) => requestOf(chunks, trailer))
          .join('');
        const cuts = positions
          .filter(position => position < text.length)
          .sort((first, second) => first - second);
        await send(text, cuts, messages.length);
        const expected = messages.map(({chunks}) => chunks.join(''));
        // Not `deep.equal`, whose message has all of them.
        expect(bodies.join('|') === expected.join('|')).to.equal(true);
      },
    );
    await fc.assert(property, {numRuns: RUNS});
  });

  it('is passed on by the parser of an earlier connection that was cut off in it', async () => {
    const cutOff = net.connect({host: HOST, port: listener.port});
    cutOff.write(requestOf(['lost', 'lost']).slice(0, -9));
    await new Promise(resolve => setTimeout(resolve, 50));
    cutOff.destroy();
    await new Promise(resolve => setTimeout(resolve, 50));
    bodies.length = 0;
    await send(requestOf(['a', 'b']), [], 1);
    expect(bodies).to.deep.equal(['ab']);
  });
});
