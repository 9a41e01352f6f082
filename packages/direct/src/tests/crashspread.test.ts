/**
 * How soon all routers of a large fleet refuse a part of prompts that crashes
 * endpoints, where each crash ends sound requests of many routers as well.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';

const {expect} = chai;

const CONTACT_MS = 3_000;
const CRASHES = 5;
const CRASH_INTERVAL_MS = 400;
const DEADLY_PART = 'pdeadly';

/** Budget of control traffic of a router, in bytes a second. */
const BUDGET_BYTES_PER_SECOND = 9_000;

/** Time from the first crash over which the traffic is counted, in ms. */
const TRAFFIC_MS = 12_000;

interface Spread {
  readonly routers: number;
  /** Number of routers that had requests at each crash. */
  readonly reporters: number;
  /** Number of other parts in each of these. */
  readonly soundParts?: number;
  readonly seed: number;
  /** Failure domain that is cut off right before the first crash. */
  readonly cutZone?: string;
}

describe('the spread of crashes', () => {
  const spreads: readonly Spread[] = [
    {routers: 141, reporters: 1, seed: 1},
    {routers: 141, reporters: 13, seed: 1},
    {routers: 141, reporters: 13, seed: 2},
    {routers: 141, reporters: 40, seed: 3},
    {routers: 195, reporters: 195, soundParts: 20, seed: 1},
    {routers: 141, reporters: 40, seed: 4, cutZone: 'z1'},
  ];
  for (const spread of spreads) {
    const {routers, reporters, soundParts = 5, seed, cutZone} = spread;
    const cut =
      cutZone === undefined ? '' : ', and a failure domain is cut off';
    it(`condemns a part at all of ${routers} routers in time, where ${reporters} routers see each crash${cut} (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = new simulatedFleet.SimulatedFleet({
        routers,
        endpoints: 88,
        zones: 4,
        loss: 0.02,
        seed,
      });
      await fleet.start();
      const areReady = () => fleet.running().every(each => fleet.isReady(each));
      await fleet.clock.until(areReady, 12_000);
      await fleet.clock.advance(12_000);
      for (const router of fleet.running()) {
        router.isCut = router.zone === cutZone;
      }
      fleet.resetCounters();
      const firstMs = fleet.clock.nowMs();
      const random = new core.SeededRandom(seed);
      let requests = 0;
      for (let crash = 0; crash < CRASHES; crash++) {
        const id = `e${crash}`;
        const others = [...fleet.connected()];
        const count = Math.min(reporters, others.length);
        for (let index = 0; index < count; index++) {
          const [router] = others.splice(random.nextInt(others.length), 1);
          const tracker = router!.kernel.find(direct.CRASH_TRACKER);
          requests += 1;
          const sound = [...Array(soundParts).keys()].map(
            part => `p${requests}x${part}`,
          );
          const keys = index === 0 ? [DEADLY_PART, ...sound] : sound;
          tracker.recordStart(`q${requests}`, [`w${requests}`, ...keys], id);
          tracker.recordCrash({id, bornMs: 1}, fleet.clock.nowMs());
        }
        await fleet.clock.advance(CRASH_INTERVAL_MS);
      }
      const refuses = ({kernel}: simulatedFleet.SimulatedRouter) =>
        kernel
          .find(direct.CRASH_TRACKER)
          .admit('q', ['wnew', DEADLY_PART], fleet.clock.nowMs()).type ===
        'refused';
      const fifthMs = fleet.clock.nowMs() - CRASH_INTERVAL_MS;
      await fleet.clock.advance(CONTACT_MS - CRASH_INTERVAL_MS);
      const late = fleet.connected().filter(each => !refuses(each)).length;
      await fleet.clock.until(() => fleet.connected().every(refuses), 20_000);
      const totalMs = fleet.clock.nowMs() - fifthMs;
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.clock.advance(firstMs + TRAFFIC_MS - fleet.clock.nowMs());
      const bytesPerSecond = fleet
        .connected()
        .map(each => (each.sentBytes + each.receivedBytes) * 1_000)
        .map(bytes => bytes / TRAFFIC_MS);
      expect(Math.max(...bytesPerSecond)).to.be.at.most(
        BUDGET_BYTES_PER_SECOND,
      );
      await fleet.stop();
    });
  }
});
