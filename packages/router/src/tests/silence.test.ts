/** Connections that go silent for good, and processes that freeze. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as support from './faultsupport.js';

const {expect} = chai;

const LIMIT_MS = 600;
const FROZEN_MS = 3_000;

/** Forwards TCP; its open connections can be silenced for good. */
class Forwarder {
  private readonly pairs = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(target: number) {
    this.server = net.createServer(from => {
      const to = net.connect(target, '127.0.0.1');
      for (const socket of [from, to]) {
        this.pairs.add(socket);
        socket.on('error', () => socket.destroy());
      }
      from.pipe(to).pipe(from);
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Drops all bytes of the open connections from now on. */
  silence(): number {
    const open = [...this.pairs].filter(socket => !socket.destroyed);
    for (const socket of open) {
      socket.unpipe();
      socket.resume();
    }
    return open.length;
  }

  close(): void {
    this.server.close();
    for (const socket of this.pairs) socket.destroy();
  }
}

describe('silence', function () {
  this.timeout(40_000);
  let fleet: standins.Fleet;
  let caller: standins.Caller;
  const forwarders: Forwarder[] = [];

  before(async () => {
    fleet = await support.startFleet({
      routers: 3,
      engines: 6,
      route: {
        wait_ms: 1_000,
        first_byte_timeout_ms: LIMIT_MS,
        idle_timeout_ms: LIMIT_MS,
      },
      pool: {load_multiple: 4},
    });
    caller = support.caller(fleet);
  });

  after(async () => {
    caller.close();
    for (const forwarder of forwarders) forwarder.close();
    await fleet.stop();
  });

  /** One request of each of some chats; all at once. */
  const ask = (chats = 24, router?: standins.Member) => {
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
    const slow = results.filter(
      result => result.type !== 'answered' || result.totalMs > limitMs,
    );
    expect(slow).to.deep.equal([]);
  };

  it('repeats on new connections what met silent ones at engines', async () => {
    expectAnswers(await ask(), LIMIT_MS);
    const {connections} = await support.counts(fleet, 'e1');
    await fleet.control('e1', {silent: true});
    expectAnswers(await ask(), 2 * LIMIT_MS);
    for (let count = 0; count < 3; count++) {
      expectAnswers(await ask(), LIMIT_MS);
    }
    expect(connections).to.be.above(0);
    await support.until(async () => {
      const {held} = (await fleet.stats('e1')) as {held: number};
      return held === 0;
    });
  });

  it('repeats on new connections what met silent ones at routers', async () => {
    for (const name of ['r2', 'r3']) {
      const {peer_port: port} = fleet.member(name).instance;
      const forwarder = new Forwarder(port);
      forwarders.push(forwarder);
      await fleet.list(name, {peer_port: await forwarder.listen()});
    }
    // Callers of r1 alone: most requests are passed on.
    const {address, port} = fleet.member('r1').instance;
    const raw = async (index: number) => {
      const fromMs = Date.now();
      const answer = await support.call(`${address}:${port}`, '/chat', {
        headers: {'oleander-chat': `chat-${index}`},
        body: '{"output_tokens":2}',
      });
      return {status: answer.status, tookMs: Date.now() - fromMs};
    };
    const askFirst = () => Promise.all([...Array(24).keys()].map(raw));
    const isPassing = () => forwarders.every(one => one.silence() > 0);
    await support.until(async () => {
      await askFirst();
      return isPassing();
    });
    for (const {status, tookMs} of await askFirst()) {
      expect(status).to.equal(200);
      // The acknowledgement's limit, then the request as ever.
      expect(tookMs).to.be.below(1_000 + 2 * LIMIT_MS);
    }
    for (const {status, tookMs} of await askFirst()) {
      expect(status).to.equal(200);
      expect(tookMs).to.be.below(LIMIT_MS);
    }
  });

  it('goes on within seconds while a router and an engine freeze', async () => {
    fleet.freeze('r3');
    fleet.freeze('e2');
    await support.pause(FROZEN_MS);
    const first = fleet.member('r1');
    for (let count = 0; count < 3; count++) {
      expectAnswers(await ask(24, first), 2 * LIMIT_MS);
    }
    fleet.resume('r3');
    fleet.resume('e2');
  });
});
