/**
 * Guards against replies of other routers and of the platform that were broken off
 * by a reset and are taken as whole.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';
import * as connections from '../connections.js';
import * as controlMeter from '../controlmeter.js';
import * as fleet from '../fleet.js';
import * as peerCalls from '../peercalls.js';
import type * as settings from '../settings.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const CALLS_AT_ONCE = 20;

const PEER = 'r2';

describe('a reply without a length', () => {
  let server: net.Server;
  let body: string;
  let ending: 'fin' | 'reset';

  beforeEach(async () => {
    server = net.createServer({allowHalfOpen: true}, socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`);
        if (ending === 'fin') socket.end();
        else socket.resetAndDestroy();
      });
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  afterEach(() => {
    server.close();
  });

  const port = () => (server.address() as net.AddressInfo).port;

  /** How many of the calls made at once took the reply as whole. */
  async function countWhole(call: () => Promise<boolean>): Promise<number> {
    const taken = await Promise.all(Array.from({length: CALLS_AT_ONCE}, call));
    return taken.filter(Boolean).length;
  }

  async function expectOnlyWhole(call: () => Promise<boolean>): Promise<void> {
    ending = 'fin';
    expect(await countWhole(call), 'ended in order').to.equal(CALLS_AT_ONCE);
    ending = 'reset';
    expect(await countWhole(call), 'reset').to.equal(0);
  }

  it('of another router to a call is not whole after a reset', async () => {
    body = JSON.stringify({result: {data: true}});
    const kernel = new core.Kernel();
    const pools = new connections.KeepAliveConnections();
    kernel.register(connections.CONNECTIONS, pools);
    kernel.register(controlMeter.CONTROL_METER, {add: () => undefined});
    kernel.register(fleet.FLEET, {
      find: () => ({name: PEER, address: HOST, peer_port: port()}),
      self: () => undefined,
      members: () => [],
      owners: () => [],
      leaders: () => [],
      epoch: () => '',
    } as unknown as fleet.Fleet);
    const calls = new peerCalls.TrpcPeerCalls(kernel, {
      peerToken: 'token',
    } as settings.Settings);
    await expectOnlyWhole(async () => (await calls.drain(PEER)).ok);
    await pools.stop();
  });

  it('of another router to a fetch is not whole after a reset', async () => {
    body = '[]';
    await expectOnlyWhole(async () => {
      const {signal} = new AbortController();
      const options = {address: HOST, port: port(), path: '/', signal};
      return (await direct.fetchJson(options)).type === 'json';
    });
  });

  it('of the store is not whole after a reset', async () => {
    body = JSON.stringify({status: 'ok'});
    await expectOnlyWhole(async () => {
      const store = new platform.StoreClient(HOST, port());
      const {signal} = new AbortController();
      return store.append('keyed.op', 'config', undefined, signal);
    });
  });
});
