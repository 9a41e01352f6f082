/**
 * Guards against bodies in chunks of one byte taking all time of a process: a few
 * callers were enough. One that sends a body in small chunks is served in calm.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as crowds from './crowds.js';
import * as pressedRouter from './pressedrouter.js';
import type * as routerProcess from './routerprocess.js';

const {expect} = chai;

const LIMITS: routerProcess.ProcessLimits = {heldMb: 60, maxFds: 400};
const TEST_TIMEOUT_MS = 60_000;
const CALLERS = 5;
const ORDINARY_CALLS = 5;

describe('bodies in very many small chunks', function () {
  this.timeout(TEST_TIMEOUT_MS);
  const pressed = new pressedRouter.PressedRouter(LIMITS);

  /** Sends one request; resolves with the beginning of the answer. */
  function sendInChunks(
    bodyBytes: number,
    chunkBytes: number,
  ): Promise<string> {
    const {router} = pressed;
    const socket = net.connect(router.ports.entry, router.address);
    const head = router.head('POST /read/a', ['transfer-encoding: chunked']);
    const chunk = `${chunkBytes.toString(16)}\r\n${'c'.repeat(chunkBytes)}\r\n`;
    socket.write(`${head}\r\n\r\n`);
    socket.write(chunk.repeat(bodyBytes / chunkBytes));
    socket.write('0\r\n\r\n');
    return new Promise((resolve, reject) => {
      socket.once('error', reject);
      socket.once('data', data => {
        resolve(data.toString());
        socket.destroy();
      });
    });
  }

  it('of a few callers leave time for others', async () => {
    const {router, crowd} = pressed;
    const door = pressed.entryDoor('/read/a');
    crowd.open([door], crowds.CHUNKS_OF_ONE_BYTE, CALLERS);
    await crowd.press();
    for (let count = 0; count < ORDINARY_CALLS; count++) {
      await router.awaitService();
    }
    expect(router.isAlive).to.equal(true);
  });

  for (const [chunkBytes, bodyBytes] of [
    [64, 4_000_000],
    [1, 60_000],
  ] as const) {
    it(`are served in calm: ${bodyBytes} bytes in chunks of ${chunkBytes}`, async () => {
      const answer = await sendInChunks(bodyBytes, chunkBytes);
      expect(answer).to.match(/^HTTP\/1\.1 200 /);
      const run = pressed.router.endpoint.runs.at(-1);
      expect(run?.body.length).to.equal(bodyBytes);
    });
  }
});
