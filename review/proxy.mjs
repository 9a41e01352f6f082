/**
 * A proxy before the store. It can make the channels silent on which a read
 * waits for a record: it passes nothing on and closes nothing, as a middlebox
 * does that has lost track of them. All other channels and new ones work.
 */
import * as net from 'node:net';
import {freePort} from './deployment.mjs';

/** Text by which a read that waits for a record is told. */
const WAITING_READ = 'waitMs=';

export class SilencingProxy {
  #channels = new Set();

  constructor(target) {
    const [host, port] = target.split(':');
    this.target = {host, port: Number(port)};
  }

  /** Listens at the address; returns it with the port. */
  async listen(host) {
    const port = await freePort(host);
    const server = net.createServer(socket => this.#accept(socket));
    await new Promise(resolve => server.listen(port, host, resolve));
    return `${host}:${port}`;
  }

  /** Makes the channels with a waiting read silent; returns their number. */
  silenceWaitingReads() {
    let count = 0;
    for (const channel of this.#channels) {
      if (!channel.lastRequest.includes(WAITING_READ)) continue;
      channel.isSilent = true;
      count += 1;
    }
    return count;
  }

  #accept(socket) {
    const upstream = net.connect(this.target);
    const channel = {isSilent: false, lastRequest: ''};
    this.#channels.add(channel);
    const pass = (from, to, onData = () => undefined) => {
      from.on('data', bytes => {
        onData(bytes);
        if (!channel.isSilent) to.write(bytes);
      });
      from.on('close', () => {
        this.#channels.delete(channel);
        if (!channel.isSilent) to.destroy();
      });
      from.on('error', () => undefined);
    };
    pass(socket, upstream, bytes => {
      channel.lastRequest = bytes.toString('latin1');
    });
    pass(upstream, socket);
  }
}
