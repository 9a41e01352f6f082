/**
 * Guards against requests that hang on connections over which no more bytes
 * arrive, or on frozen processes.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;

const TIMEOUT_MS = 600;
const FROZEN_MS = 3_000;

/** A TCP proxy that can make its open connections hang for good. */
class TcpProxy {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(targetPort: number) {
    this.server = net.createServer(client => {
      const upstream = net.connect(targetPort, '127.0.0.1');
      for (const socket of [client, upstream]) {
        this.sockets.add(socket);
        socket.on('error', () => socket.destroy());
      }
      client.pipe(upstream).pipe(client);
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Drops all further bytes of the open connections; returns their number. */
  hang(): number {
    const openSockets = [...this.sockets].filter(socket => !socket.destroyed);
    for (const socket of openSockets) {
      socket.unpipe();
      socket.resume();
    }
    return openSockets.length;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

describe('a fleet with hanging connections and frozen processes', function () {
  this.timeout(40_000);
  let fleet: standins.Fleet;
  let caller: standins.Caller;
  const proxies: TcpProxy[] = [];

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 3,
      engines: 6,
      route: {
        wait_ms: 1_000,
        first_byte_timeout_ms: TIMEOUT_MS,
        idle_timeout_ms: TIMEOUT_MS,
      },
      pool: {load_multiple: 4},
    });
    caller = faultSupport.createCaller(fleet);
  });

  after(async () => {
    caller.close();
    for (const proxy of proxies) proxy.close();
    await fleet.stop();
  });

  /** Sends one request for each chat, all at the same time. */
  const sendAll = (chats = 24, router?: standins.Member) => {
    const sender = router
      ? new standins.Caller({routers: [router.instance]})
      : caller;
    const body = {prompt_tokens: 1, output_tokens: 2};
    return Promise.all(
      [...Array(chats).keys()].map(index =>
        sender.send({
          method: 'POST',
          path: '/chat',
          customer: 'c',
          chat: `chat-${index}`,
          body,
        }),
      ),
    );
  };

  const expectAnswers = (results: standins.CallResult[], limitMs: number) => {
    const failedOrSlow = results.filter(
      result => result.type !== 'answered' || result.totalMs > limitMs,
    );
    expect(failedOrSlow).to.deep.equal([]);
  };

  it('retries requests on new connections when those to an engine hang', async () => {
    expectAnswers(await sendAll(), TIMEOUT_MS);
    const {connections} = await faultSupport.readCounts(fleet, 'e1');
    await fleet.setFaults('e1', {silent: true});
    expectAnswers(await sendAll(), 2 * TIMEOUT_MS);
    for (let count = 0; count < 3; count++) {
      expectAnswers(await sendAll(), TIMEOUT_MS);
    }
    expect(connections).to.be.above(0);
    await faultSupport.until(async () => {
      const {held} = (await fleet.stats('e1')) as {held: number};
      return held === 0;
    });
  });

  it('retries requests on new connections when those between routers hang', async () => {
    for (const name of ['r2', 'r3']) {
      const {peer_port: port} = fleet.member(name).instance;
      const proxy = new TcpProxy(port);
      proxies.push(proxy);
      await fleet.putOnInstanceList(name, {peer_port: await proxy.listen()});
    }
    // All requests go to r1, which forwards most of them.
    const {address, port} = fleet.member('r1').instance;
    const sendRaw = async (index: number) => {
      const fromMs = Date.now();
      const answer = await faultSupport.call(`${address}:${port}`, '/chat', {
        headers: {'oleander-chat': `chat-${index}`},
        body: '{"output_tokens":2}',
      });
      return {status: answer.status, durationMs: Date.now() - fromMs};
    };
    const sendAllRaw = () => Promise.all([...Array(24).keys()].map(sendRaw));
    const hangConnections = () => proxies.every(proxy => proxy.hang() > 0);
    await faultSupport.until(async () => {
      await sendAllRaw();
      return hangConnections();
    });
    for (const {status, durationMs} of await sendAllRaw()) {
      expect(status).to.equal(200);
      // The acknowledgement timeout, then a normal request.
      expect(durationMs).to.be.below(1_000 + 2 * TIMEOUT_MS);
    }
    for (const {status, durationMs} of await sendAllRaw()) {
      expect(status).to.equal(200);
      expect(durationMs).to.be.below(TIMEOUT_MS);
    }
  });

  it('answers requests 3 s after a router and an engine freeze', async () => {
    fleet.freeze('r3');
    fleet.freeze('e2');
    await faultSupport.pause(FROZEN_MS);
    const entryRouter = fleet.member('r1');
    for (let count = 0; count < 3; count++) {
      expectAnswers(await sendAll(24, entryRouter), 2 * TIMEOUT_MS);
    }
    fleet.resume('r3');
    fleet.resume('e2');
  });
});
