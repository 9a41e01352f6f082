/**
 * Guards against `ran: no` in the answer to a request that ran on a kept
 * connection, which closed unanswered, and was refused when it was sent again.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;

const HEAD_END = '\r\n\r\n';

/**
 * Answers the first request of a connection, and runs the next without an
 * answer. Once it `isFull`, it refuses the first request of each connection.
 */
class ClosingEndpoint {
  isFull = false;
  readonly runIds: string[] = [];
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.sockets.delete(socket));
    let text = '';
    let callCount = 0;
    socket.on('data', data => {
      text += data.toString('latin1');
      for (;;) {
        const end = text.indexOf(HEAD_END);
        const head = text.slice(0, end);
        const length = Number(valueOf(head, 'content-length') ?? 0);
        const size = end + HEAD_END.length + length;
        if (end < 0 || text.length < size) return;
        text = text.slice(size);
        const isCall = head.startsWith('POST /raw');
        if (isCall) callCount += 1;
        this.answer(socket, head, isCall && callCount > 1);
      }
    });
  });

  async start(): Promise<number> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return (this.server.address() as net.AddressInfo).port;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private answer(socket: net.Socket, head: string, isKept: boolean): void {
    const id = valueOf(head, core.headers.REQUEST_ID);
    const idLine = id === undefined ? '' : `oleander-request-id: ${id}\r\n`;
    if (id !== undefined && this.isFull && isKept) {
      this.runIds.push(id);
      socket.destroy();
    } else if (id !== undefined && this.isFull) {
      const lines = `${idLine}oleander-ran: no\r\ncontent-length: 0`;
      socket.write(`HTTP/1.1 503 Busy\r\n${lines}${HEAD_END}`);
    } else {
      const body = '{"in_flight":0}';
      const lines = `${idLine}content-length: ${body.length}`;
      socket.write(`HTTP/1.1 200 OK\r\n${lines}${HEAD_END}${body}`);
    }
  }
}

function valueOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim();
}

describe('a request that ran on a kept connection and was sent again', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  const endpoint = new ClosingEndpoint();

  before(async () => {
    fleet = await faultSupport.startFleet({routers: 1, engines: 1});
    const body = {
      name: 'raw1',
      kind: 'endpoint',
      address: '127.0.0.1',
      port: await endpoint.start(),
      labels: {kind: 'raw'},
    };
    await fetch(`${fleet.platformUrl}/instances/raw1`, {
      method: 'PUT',
      body: JSON.stringify(body),
    });
    const match = {path_prefix: '/raw'};
    await faultSupport.createRows(fleet, [
      ['pools', {name: 'raw', endpoint_label: 'kind=raw', load_multiple: 4}],
      ['routes', {name: 'raw', match, pool: 'raw', wait_ms: 500}],
    ]);
    await faultSupport.waitForRoute(fleet, '/raw');
  });

  after(async () => {
    endpoint.stop();
    await fleet.stop();
  });

  it('is not answered as one that did not run', async () => {
    const [address] = fleet.entryAddresses();
    await faultSupport.call(address!, '/raw', {body: 'x'});
    endpoint.isFull = true;
    const {headers, text} = await faultSupport.call(address!, '/raw', {
      body: 'x',
    });
    const id = String(headers[core.headers.REQUEST_ID]);
    expect(endpoint.runIds, 'runs').to.deep.equal([id]);
    const {ran} = JSON.parse(text) as core.Problem;
    expect(ran, text).to.equal('unknown');
  });
});
