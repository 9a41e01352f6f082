/**
 * Guards against a connection to the store that goes silent while a read waits on
 * it, and so hides a new version of the tables.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

/** Time after its confirmation within which a version is in force, in ms. */
const IN_FORCE_MS = 2_000;

describe('a read that waits at the store on a connection that goes silent', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(1, 3);
  });

  afterEach(() => fleet.stop());

  /** Silences all waits at the store, once there are some. */
  const silenceWaits = () =>
    polling.until('reads wait', () => fleet.store.silenceWaitingReads() > 0);

  const expectInForce = async (version: number) => {
    fleet.store.putConfig(support.config(version));
    const startMs = performance.now();
    await polling.until(`version ${version} is in force`, () =>
      [0, 1, 2].every(router => fleet.version(router) === version),
    );
    expect(performance.now() - startMs).to.be.below(IN_FORCE_MS);
  };

  it('does not delay new versions, however often that happens', async () => {
    // A change that all routers receive, so that all readers begin a new wait.
    await expectInForce(2);
    for (const version of [3, 4, 5]) {
      await timers.setTimeout(1_500);
      await silenceWaits();
      await timers.setTimeout(500);
      await expectInForce(version);
    }
  });

  it('costs less than one call a second of each reader', async () => {
    await expectInForce(2);
    await timers.setTimeout(1_000);
    const isRead = (path: string) => path.includes('topic=keyed.op');
    const countReads = () => fleet.store.requestUrls.filter(isRead).length;
    const before = countReads();
    await timers.setTimeout(5_000);
    expect(countReads() - before).to.be.at.most(5 * 2);
  });
});
