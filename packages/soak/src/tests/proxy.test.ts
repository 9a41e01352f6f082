/** Tests of the soak's fault proxy. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as proxies from '../proxy.js';

const {expect} = chai;

const CHUNKS = 60;
const CHUNK_INTERVAL_MS = 4;
const DELAY_FAULT_MS = 60;

describe('soak fault proxy', () => {
  it('keeps the order of bytes when a delay fault ends', async () => {
    const server = net.createServer(socket => {
      socket.setNoDelay(true);
      let count = 0;
      const timer = setInterval(() => {
        count += 1;
        if (count <= CHUNKS) socket.write(`${count};`);
        else socket.end();
      }, CHUNK_INTERVAL_MS);
      socket.once('close', () => clearInterval(timer));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    const proxy = new proxies.FaultProxy(() => port);
    await proxy.start();
    const endDelay = proxy.startFault('delay');
    const socket = net.connect(proxy.port, '127.0.0.1');
    setTimeout(endDelay, DELAY_FAULT_MS);
    let received = '';
    for await (const chunk of socket) received += String(chunk);
    await proxy.stop();
    server.close();
    const sent = [...Array(CHUNKS).keys()]
      .map(index => `${index + 1};`)
      .join('');
    expect(received).to.equal(sent);
  });
});
