/**
 * Guards against a router that the others count as a reader of the store, but
 * that does not read for a while after its start, so that new versions are late.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';

const {expect} = chai;

/**
 * Time from its start after which a reader reads, in ms: with a restart after
 * 0.5 s, a version is then in force within 2 s of the end of its reader.
 */
const READING_WITHIN_MS = 1_000;

const SELF = {name: 'r1', address: '10.0.0.1', zone: 'z0'};
const PEER = {name: 'r2', address: '10.0.0.2', zone: 'z1'};

/** What the router has of others. */
interface Knowledge {
  readonly version: number;
  readonly endpointsOffset: number;
  readonly peers: readonly direct.Router[];
}

/** Whether a reader with the knowledge reads the tables in time. */
async function readsInTime(knowledge: Knowledge): Promise<boolean> {
  const {version, endpointsOffset, peers} = knowledge;
  const kernel = new core.Kernel();
  let isRead = false;
  const result = {ok: true, page: {records: [], nextOffset: 1}} as const;
  const feed = {
    readLatest: () => Promise.resolve(result),
    readFrom: async ({signal}: direct.ReadOptions) => {
      await timers.setTimeout(50, undefined, {signal}).catch(() => undefined);
      return result;
    },
  };
  const tables = {
    ...feed,
    readLatest: () => {
      isRead = true;
      return Promise.resolve(result);
    },
  };
  const live = peers.map(router => ({router, phase: 'ready'}));
  const stub = (service: object) => service as never;
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, new core.SystemClock());
  kernel.register(core.RANDOM, new core.SeededRandom(1));
  kernel.register(
    direct.FEEDS,
    stub({
      operator: tables,
      endpoints: feed,
      routers: feed,
      versions: feed,
      recordVersions: () => Promise.resolve(true),
      announce: () => Promise.resolve(true),
      withdraw: () => Promise.resolve(true),
    }),
  );
  kernel.register(
    direct.FEED_READERS,
    new decide.RankedFeedReaders({perZone: 1}),
  );
  const membership = new decide.PingMembership({
    self: SELF,
    firstEpoch: 1,
    hash: core.hash32,
  });
  kernel.register(direct.MEMBERSHIP, membership);
  const fleet = new direct.InMemoryFleetRegistry(kernel, SELF);
  fleet.livePeers = () => stub(live.map(note => ({note})));
  kernel.register(direct.FLEET_REGISTRY, fleet);
  const activeTables = new direct.IndexedTables(kernel);
  activeTables.version = () => version;
  kernel.register(direct.ACTIVE_TABLES, activeTables);
  const endpoints = new direct.InMemoryEndpointRegistry(kernel);
  endpoints.nextOffset = () => endpointsOffset;
  kernel.register(direct.ENDPOINT_REGISTRY, endpoints);
  const settings = {endpointsPaceMs: 100, isFirstStart: true};
  const followers = new direct.StoreFeedFollowers(kernel, stub(settings));
  await followers.start();
  await timers.setTimeout(READING_WITHIN_MS);
  const isInTime = isRead;
  await followers.stop();
  return isInTime;
}

describe('a reader of the store that has just started', () => {
  it('reads at once if it has the state of another router', async () => {
    const knowledge = {version: 3, endpointsOffset: 5, peers: [PEER]};
    expect(await readsInTime(knowledge)).to.equal(true);
  });

  it('waits until routers know each other if it has no state, or knows no other', async () => {
    const known = {version: 3, endpointsOffset: 5, peers: [PEER]};
    const unknown = [
      {...known, version: direct.NO_VERSION},
      {...known, endpointsOffset: 0},
      {...known, peers: []},
    ];
    for (const knowledge of unknown) {
      expect(await readsInTime(knowledge)).to.equal(false);
    }
  });
});
