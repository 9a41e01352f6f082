/**
 * Tests at which version a stream goes on that was begun at another router: what
 * the homes of the stream know, what routers with different views of a pool's
 * versions conclude together, and what a router does that reaches no other.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const POOL = 'pool';
const ROUTERS = ['r1', 'r2', 'r3', 'r4'];
const LIFETIME_MS = 60_000;

interface Router {
  readonly kernel: core.Kernel;
  readonly homes: direct.DatagramStreamHomes;
  readonly versions: direct.SharedStreamVersions;
  readonly deliver: Map<string, direct.DatagramListener>;
  isCut: boolean;
  isReadingEndpoints: boolean;
}

/** Routers of as many failure domains, which exchange datagrams. */
class Fleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly routers = new Map<string, Router>();
  /** Datagrams that are lost before one arrives. */
  lossCount = 0;
  /** Whether the datagram is lost, by its sender and receiver. */
  isLost = (from: string, to: string) => from === to;

  /** Starts the routers; `known` says which have run for a lifetime. */
  async start(isKnown: (name: string) => boolean): Promise<void> {
    for (const name of ROUTERS) this.add(name, isKnown(name));
    for (const {homes} of this.routers.values()) await homes.start();
  }

  async stop(): Promise<void> {
    for (const {homes} of this.routers.values()) {
      const stopped = homes.stop();
      await this.clock.advance(1_000);
      await stopped;
    }
  }

  list(name: string, id: string, version: string | undefined): void {
    const entry = version === undefined ? undefined : {pool: POOL, version};
    this.routers
      .get(name)!
      .kernel.find(direct.VERSION_HISTORY)
      .recordEntry(id, entry, this.clock.nowMs());
  }

  listAtAll(id: string, version: string | undefined): void {
    for (const name of ROUTERS) this.list(name, id, version);
  }

  async begin(
    name: string,
    stream: string,
    version: string,
    pool = POOL,
  ): Promise<void> {
    const request = {...requestOf(stream), pool};
    const endpoint = {softwareVersion: version} as direct.Endpoint;
    this.routers.get(name)!.versions.recordBegun(request, endpoint);
    await this.clock.advance(50);
  }

  async takeUp(name: string, stream: string): Promise<direct.StreamStart> {
    const request = requestOf('try', {lastEventId: '3', resumed: stream});
    let start: direct.StreamStart | undefined;
    void this.routers
      .get(name)!
      .versions.findStart(request)
      .then(found => (start = found));
    await this.clock.advance(500);
    return start!;
  }

  private add(name: string, isKnown: boolean): void {
    const kernel = new core.Kernel();
    kernel.register(core.CLOCK, this.clock);
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(
      core.METRICS,
      new core.ProcessMetrics({withRuntime: false}),
    );
    const self = {name, address: name, zone: name};
    const membership = new decide.PingMembership({
      self,
      firstEpoch: 1,
      hash: core.hash32,
    });
    membership.updateSelf('ready', false);
    for (const other of ROUTERS.filter(each => each !== name)) {
      const router = {name: other, address: other, zone: other};
      const note = {router, epoch: 1, phase: 'ready', isStoreLost: false};
      membership.applyNote(note as decide.MemberNote, 0);
    }
    kernel.register(direct.MEMBERSHIP, membership);
    kernel.register(direct.ACTIVE_TABLES, new direct.IndexedTables(kernel));
    const history = new decide.CountedVersionHistory({
      startedMs: 0,
      streamLifetimeMs: () => LIFETIME_MS,
      onChange: () => undefined,
    });
    if (isKnown) history.recordFirstStart();
    kernel.register(direct.VERSION_HISTORY, history);
    kernel.register(direct.STREAM_ORIGINS, new decide.RecentStreamOrigins());
    const deliver = new Map<string, direct.DatagramListener>();
    kernel.register(direct.DATAGRAMS, {
      send: (topic, bytes, address) => this.send(name, topic, bytes, address),
      onReceive: (topic, listener) => deliver.set(topic, listener),
    });
    kernel.register(direct.FEED_FOLLOWERS, {
      isReader: () => true,
      isReadingTables: () => true,
      isReadingEndpoints: () => this.routers.get(name)!.isReadingEndpoints,
      isStoreLost: () => false,
      withdraw: () => Promise.resolve(),
    });
    const homes = new direct.DatagramStreamHomes(kernel);
    kernel.register(direct.STREAM_HOMES, homes);
    const versions = new direct.SharedStreamVersions(kernel);
    const state = {isCut: false, isReadingEndpoints: false};
    this.routers.set(name, {kernel, homes, versions, deliver, ...state});
  }

  private send(
    from: string,
    topic: string,
    bytes: Buffer,
    address: string,
  ): void {
    if (this.lossCount > 0) {
      this.lossCount -= 1;
      return;
    }
    if (this.isLost(from, address)) return;
    const receiver = this.routers.get(address)!;
    if (this.routers.get(from)!.isCut || receiver.isCut) return;
    this.clock.schedule(1, () => receiver.deliver.get(topic)?.(bytes, from));
  }
}

function requestOf(
  requestId: string,
  {lastEventId, resumed}: {lastEventId?: string; resumed?: string} = {},
): direct.RoutedRequest {
  return {
    head: {requestId, lastEventId, resumedRequestId: resumed},
    route: {repeat: 'stream', isResumable: true},
    pool: POOL,
  } as unknown as direct.RoutedRequest;
}

const UNKNOWN = {type: 'unknown'};
const only = (version: string) => {
  return {type: 'known', version, source: 'only_version'};
};

describe('the versions of streams', () => {
  const fleet = () => new Fleet();
  let current: Fleet;

  const start = async (isKnown: (name: string) => boolean = () => true) => {
    current = fleet();
    await current.start(isKnown);
    return current;
  };

  afterEach(() => current.stop());

  it('are known to all routers while there is one', async () => {
    const {routers} = await start();
    current.listAtAll('e1', 'v1');
    await current.begin('r1', 'a', 'v1');
    for (const name of routers.keys()) {
      expect(await current.takeUp(name, 'a')).to.include({version: 'v1'});
    }
  });

  it('are known after the router of the stream has ended', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    current.listAtAll('e2', 'v2');
    for (let index = 0; index < 20; index++) {
      await current.begin('r1', `s${index}`, index % 2 ? 'v1' : 'v2');
    }
    current.routers.get('r1')!.isCut = true;
    for (let index = 0; index < 20; index++) {
      const found = await current.takeUp('r3', `s${index}`);
      expect(found).to.include({version: index % 2 ? 'v1' : 'v2'});
    }
  });

  it('are told of streams that began before there were two', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    await current.begin('r1', 'a', 'v1');
    current.listAtAll('e2', 'v2');
    current.routers.get('r1')!.homes.tellSoon();
    await current.clock.advance(50);
    current.routers.get('r1')!.isCut = true;
    expect(await current.takeUp('r2', 'a')).to.include({version: 'v1'});
  });

  it('are not taken for the only one by a router that missed one', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    for (const name of ['r1', 'r2', 'r3']) current.list(name, 'e2', 'v2');
    await current.begin('r1', 'a', 'v2');
    expect(await current.takeUp('r4', 'a')).to.include({version: 'v2'});
    expect(await current.takeUp('r4', 'b')).to.deep.equal(UNKNOWN);
  });

  it('are not known to a router that has started and hears of none', async () => {
    await start(name => name !== 'r4');
    current.listAtAll('e1', 'v1');
    expect(await current.takeUp('r4', 'a')).to.deep.equal(only('v1'));
    current.routers.get('r4')!.isCut = true;
    expect(await current.takeUp('r4', 'a')).to.deep.equal(UNKNOWN);
  });

  it('are not known if all routers have just started', async () => {
    await start(() => false);
    current.listAtAll('e1', 'v1');
    expect(await current.takeUp('r4', 'a')).to.deep.equal(UNKNOWN);
  });

  it('are known to a cut-off router only if it reads the endpoints', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    const router = current.routers.get('r4')!;
    router.isCut = true;
    expect(await current.takeUp('r4', 'a')).to.deep.equal(UNKNOWN);
    router.isReadingEndpoints = true;
    expect(await current.takeUp('r4', 'a')).to.deep.equal(only('v1'));
  });

  it('are asked again if the questions are lost', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    current.listAtAll('e2', 'v2');
    await current.begin('r1', 'a', 'v2');
    for (const name of ['r2', 'r3', 'r4']) {
      current.lossCount = 3;
      expect(await current.takeUp(name, 'a')).to.include({version: 'v2'});
      current.lossCount = 0;
    }
  });

  it('are not known if a reply that told of a second one came once', async () => {
    for (const knowing of ['r2', 'r3', 'r4']) {
      await start();
      current.listAtAll('e1', 'v1');
      current.list(knowing, 'e2', 'v2');
      const askedCounts = new Map<string, number>();
      // The first question reaches this home alone, and the second the others.
      current.isLost = (from, to) => {
        if (from !== 'r1') return false;
        const count = (askedCounts.get(to) ?? 0) + 1;
        askedCounts.set(to, count);
        return (to === knowing) !== (count === 1);
      };
      const found = await current.takeUp('r1', 'a');
      const isHome = askedCounts.has(knowing);
      expect(found).to.deep.equal(isHome ? UNKNOWN : only('v1'));
      if (knowing !== 'r4') await current.stop();
    }
  });

  it('are not confused between the pools that a route had', async () => {
    await start();
    for (const name of ROUTERS) {
      const history = current.routers
        .get(name)!
        .kernel.find(direct.VERSION_HISTORY);
      history.recordEntry('e1', {pool: 'old', version: 'v1'}, 0);
      history.recordEntry('e2', {pool: POOL, version: 'v2'}, 0);
    }
    for (let index = 0; index < 20; index++) {
      const id = `s${index}`;
      await current.begin('r1', id, 'v1', 'old');
      const found = await current.takeUp('r3', id);
      expect(found).not.to.include({version: 'v2'});
    }
  });

  it('are not known to routers that are cut off together', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    const isInside = (name: string) => name === 'r1' || name === 'r2';
    current.isLost = (from, to) => isInside(from) !== isInside(to);
    for (const name of ['r3', 'r4']) current.list(name, 'e2', 'v2');
    await current.begin('r3', 'a', 'v2');
    expect(await current.takeUp('r1', 'a')).not.to.include({version: 'v1'});
  });

  it('are dropped with datagrams that are malformed', async () => {
    await start();
    current.listAtAll('e1', 'v1');
    const {deliver} = current.routers.get('r2')!;
    for (const text of ['', 'x', '\x93\x01\x02\x03', '\xc1']) {
      deliver.get('stream')!(Buffer.from(text, 'latin1'), 'r1');
    }
    expect(await current.takeUp('r2', 'a')).to.deep.equal(only('v1'));
  });
});
