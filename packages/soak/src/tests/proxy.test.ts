/** What the soak's proxy does to connections. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as proxies from '../proxy.js';

const {expect} = chai;

const PIECES = 60;
const PACE_MS = 4;
const DELAYED_MS = 60;

describe("the soak's proxy", () => {
  it('keeps the order of bytes when a delay ends', async () => {
    const server = net.createServer(socket => {
      socket.setNoDelay(true);
      let count = 0;
      const timer = setInterval(() => {
        count += 1;
        if (count <= PIECES) socket.write(`${count};`);
        else socket.end();
      }, PACE_MS);
      socket.once('close', () => clearInterval(timer));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    const proxy = new proxies.FaultProxy(() => port);
    await proxy.start();
    const endDelay = proxy.begin('delay');
    const socket = net.connect(proxy.port, '127.0.0.1');
    setTimeout(endDelay, DELAYED_MS);
    let text = '';
    for await (const piece of socket) text += String(piece);
    await proxy.stop();
    server.close();
    const sent = [...Array(PIECES).keys()].map(at => `${at + 1};`).join('');
    expect(text).to.equal(sent);
  });
});
