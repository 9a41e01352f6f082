/** A body for which there is no memory is refused, and its request never runs. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as polling from './polling.js';
import * as routerProcess from './routerprocess.js';

const {expect} = chai;

/** Less than the largest body takes. */
const HELD_MB = 4;
const MAX_FDS = 400;

describe('a body for which there is no memory', () => {
  let router: routerProcess.RouterProcess;

  beforeEach(async () => {
    router = new routerProcess.RouterProcess();
    await router.start({heldMb: HELD_MB, maxFds: MAX_FDS});
  });

  afterEach(() => router.stop());

  it('is refused with a 503 that says that it did not run, which is true', async () => {
    const length = `content-length: ${routerProcess.MAX_BODY_BYTES}`;
    const socket = net.connect(router.ports.entry, router.address);
    let received = '';
    socket.on('data', chunk => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.write(`${router.head('POST /book/a', [length])}\r\n\r\n`);
    // One byte short, so that the refusal does not cross the end of the body.
    socket.write(Buffer.alloc(routerProcess.MAX_BODY_BYTES - 1, 'b'));
    await polling.until('a response', () => /\}$/.test(received));
    socket.destroy();
    expect(received).to.match(/^HTTP\/1\.1 503 /);
    expect(received).to.include('"kind":"overloaded"');
    expect(received).to.include('"ran":"no"');
    await router.awaitService();
    const paths = router.endpoint.runs.map(({path}) => path);
    expect(paths).to.not.include('/book/a');
  });
});
