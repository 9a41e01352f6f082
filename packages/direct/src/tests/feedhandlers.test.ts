/**
 * Tests which entries that vanish count as expired: the endpoints of a pool that
 * left are removed with the read that finds it, those of a pool whose entries
 * expired are kept for as long as they may still return.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as simulatedDecisions from './simulateddecisions.js';

const {expect} = chai;

/** Interval at which endpoints renew their entries, in ms. */
const RENEWAL_MS = 1_200;

/** Fraction of that interval that is random. */
const RENEWAL_JITTER = 0.2;

/** Time without renewal after which entries expire, in ms. */
const EXPIRY_MS = 3 * RENEWAL_MS;

/** How long entries that expired may still return, in ms. */
const RETURN_MS = 2_000;

/** Number of readers, one of each failure domain. */
const READERS = 4;

/** Bounds of the time between the reads of one reader, in ms. */
const MIN_READ_INTERVAL_MS = 1_000;
const MAX_READ_INTERVAL_MS = 1_540;

/** Longest time from the start of a read to its end, in ms. */
const MAX_READ_MS = 100;

/** Time after which endpoints that left get no request, in ms. */
const REMOVED_WITHIN_MS = 1_700;

/** Earliest time at which the pool vanishes in a test, in ms. */
const FIRST_VANISH_MS = 5_000;

/** A clock that stands still between the steps of a test. */
class ManualClock extends core.SystemClock {
  timeMs = 0;

  override nowMs(): number {
    return this.timeMs;
  }
}

/** A write to the list of endpoints; without an endpoint, a removal. */
interface Write {
  readonly atMs: number;
  readonly key: string;
  readonly endpoint: direct.Endpoint | undefined;
}

function endpoint(id: string): direct.Endpoint {
  const address = '127.0.0.1';
  return {id, pool: 'pool', address, port: 1, zone: 'z', isDraining: false};
}

/** When an endpoint's entry is renewed for the last time, and vanishes. */
interface Ending {
  /** Renewals are before this time, in ms. */
  readonly renewedUntilMs: number;
  readonly vanishMs: number;
}

/** The writes of an endpoint that renews its entry until it vanishes. */
function lifetime(
  id: string,
  phaseMs: number,
  {renewedUntilMs, vanishMs}: Ending,
): Write[] {
  const writes: Write[] = [];
  const random = new core.SeededRandom(core.hash32(`${id} ${phaseMs}`));
  let atMs = phaseMs;
  while (atMs < renewedUntilMs) {
    writes.push({atMs, key: id, endpoint: endpoint(id)});
    atMs += RENEWAL_MS * (1 + RENEWAL_JITTER * (random.nextFloat() - 0.5));
  }
  return [...writes, {atMs: vanishMs, key: id, endpoint: undefined}];
}

/** A handler that reads a list of writes at set times. */
class Reader {
  readonly clock = new ManualClock();
  private readonly kernel = new core.Kernel();
  private readonly handler: direct.EndpointsHandler;
  private readonly records: ReadonlyArray<
    direct.FeedRecord<direct.Endpoint> & {readonly atMs: number}
  >;
  private nextOffset = 0;

  constructor(writes: readonly Write[]) {
    this.records = [...writes]
      .sort((a, b) => a.atMs - b.atMs)
      .map(({atMs, key, endpoint: value}, offset) => ({
        atMs,
        key,
        offset,
        value,
      }));
    this.kernel.register(core.CLOCK, this.clock);
    this.kernel.register(core.LOGGER, new core.SilentLogger());
    this.kernel.register(
      direct.ENDPOINT_REGISTRY,
      new direct.InMemoryEndpointRegistry(this.kernel),
    );
    const random = new core.SeededRandom(1);
    this.kernel.register(
      direct.ENDPOINT_HEALTH,
      new decide.DecayingHealth({routerCount: () => READERS, random}),
    );
    this.kernel.register(direct.PREFIX_HOMES, new decide.SharedPrefixHomes());
    simulatedDecisions.registerVersionHistory(this.kernel);
    this.kernel.register(
      direct.CONNECTION_POOL,
      new direct.AgentConnectionPool(),
    );
    this.handler = new direct.EndpointsHandler(this.kernel);
  }

  /** Reads what was written before `startMs`. */
  read(startMs: number, endMs: number): void {
    const records = this.records
      .slice(this.nextOffset)
      .filter(({atMs}) => atMs < startMs);
    this.clock.timeMs = endMs;
    for (const record of records) this.handler.onRecord(record);
    this.nextOffset += records.length;
    this.handler.onOffset(this.nextOffset, startMs);
  }

  /** Reads the newest record of each key that was written before `startMs`. */
  readLatest(startMs: number): void {
    const written = this.records.filter(({atMs}) => atMs < startMs);
    const newestByKey = new Map(written.map(record => [record.key, record]));
    const records = [...newestByKey.values()].filter(({value}) => value);
    this.clock.timeMs = startMs;
    this.nextOffset = written.length;
    this.handler.onLatest({records, nextOffset: this.nextOffset});
    this.handler.onOffset(this.nextOffset, startMs);
  }

  /** Has the reads of the store fail and succeed again. */
  loseAndRecover(): void {
    this.handler.onLost();
    this.handler.onRecovered();
  }

  /** Ids of the endpoints that are not removed. */
  get ids(): readonly string[] {
    return this.kernel.find(direct.ENDPOINT_REGISTRY).ids();
  }
}

/** How the pool vanishes, and how four routers read it. */
const scenarios = fc.record({
  phasesMs: fc.array(fc.integer({min: 0, max: RENEWAL_MS - 1}), {
    minLength: 2,
    maxLength: 6,
  }),
  vanishDelayMs: fc.integer({min: 0, max: 2_000}),
  seed: fc.integer(),
});

/** The writes of a pool whose endpoints vanish together. */
function poolWrites(phasesMs: readonly number[], ending: Ending): Write[] {
  return phasesMs.flatMap((phaseMs, index) =>
    lifetime(`p${index}`, phaseMs, ending),
  );
}

/** The time at which the first reader removes the pool, in ms. */
function removalMs(writes: readonly Write[], seed: number): number {
  const random = new core.SeededRandom(seed);
  const times = Array.from({length: READERS}, () => {
    const reader = new Reader(writes);
    let startMs = random.nextFloat() * MAX_READ_INTERVAL_MS;
    for (;;) {
      const endMs = startMs + random.nextFloat() * MAX_READ_MS;
      reader.read(startMs, endMs);
      if (startMs > FIRST_VANISH_MS && reader.ids.length === 0) return endMs;
      startMs =
        endMs +
        MIN_READ_INTERVAL_MS +
        random.nextFloat() * (MAX_READ_INTERVAL_MS - MIN_READ_INTERVAL_MS);
    }
  });
  return Math.min(...times);
}

describe('a whole pool that vanishes from the list at once', () => {
  it('is removed in time if its entries were renewed until then', () => {
    fc.assert(
      fc.property(scenarios, ({phasesMs, vanishDelayMs, seed}) => {
        const vanishMs = FIRST_VANISH_MS + vanishDelayMs;
        const left = {renewedUntilMs: vanishMs, vanishMs};
        const writes = poolWrites(phasesMs, left);
        const keptMs = removalMs(writes, seed) - vanishMs;
        expect(keptMs).to.be.within(0, REMOVED_WITHIN_MS);
      }),
      {numRuns: 500, seed: 37},
    );
  });

  it('is kept until its endpoints had time to return if its entries may have expired', () => {
    fc.assert(
      fc.property(scenarios, ({phasesMs, vanishDelayMs, seed}) => {
        const vanishMs = FIRST_VANISH_MS + vanishDelayMs;
        const expired = {renewedUntilMs: vanishMs - EXPIRY_MS, vanishMs};
        const writes = poolWrites(phasesMs, expired);
        const keptMs = removalMs(writes, seed) - vanishMs;
        expect(keptMs).to.be.above(RETURN_MS);
      }),
      {numRuns: 500, seed: 37},
    );
  });

  it('is kept if the store was away, even if its entries were renewed shortly before', () => {
    const left = {renewedUntilMs: 5_000, vanishMs: 5_000};
    const gapReader = new Reader(poolWrites([0, 0], left));
    for (const startMs of [0, 640, 2_700, 5_140]) {
      gapReader.read(startMs, startMs + 1);
    }
    expect(gapReader.ids).to.deep.equal(['p0', 'p1']);

    const lostReader = new Reader(poolWrites([0, 0], left));
    for (let startMs = 0; startMs < 5_000; startMs += 640) {
      lostReader.read(startMs, startMs + 1);
    }
    lostReader.loseAndRecover();
    lostReader.read(5_140, 5_141);
    expect(lostReader.ids).to.deep.equal(['p0', 'p1']);
  });

  it('is kept if it is missing from a list that is read anew', () => {
    const left = {renewedUntilMs: 5_000, vanishMs: 5_000};
    const reader = new Reader(poolWrites([0, 0], left));
    for (let startMs = 0; startMs < 5_000; startMs += 640) {
      reader.read(startMs, startMs + 1);
    }
    reader.readLatest(5_100);
    expect(reader.ids).to.deep.equal(['p0', 'p1']);
  });

  it('is kept if its entries expired after the list was read anew', () => {
    const expired = {renewedUntilMs: 5_000 - EXPIRY_MS, vanishMs: 5_000};
    const reader = new Reader(poolWrites([0, 0], expired));
    for (let startMs = 0; startMs < 4_500; startMs += 640) {
      reader.read(startMs, startMs + 1);
    }
    reader.readLatest(4_900);
    reader.read(5_500, 5_501);
    expect(reader.ids).to.deep.equal(['p0', 'p1']);
  });
});
