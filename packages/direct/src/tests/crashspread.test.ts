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

describe('the spread of crashes', () => {
  for (const {reporters, seed} of [
    {reporters: 1, seed: 1},
    {reporters: 13, seed: 1},
    {reporters: 13, seed: 2},
    {reporters: 40, seed: 3},
  ]) {
    it(`condemns a part at all of 141 routers in time, where ${reporters} routers see each crash (seed ${seed})`, async function () {
      this.timeout(120_000);
      const fleet = new simulatedFleet.SimulatedFleet({
        routers: 141,
        endpoints: 88,
        zones: 4,
        loss: 0.02,
        seed,
      });
      await fleet.start();
      const areReady = () => fleet.running().every(each => fleet.isReady(each));
      await fleet.clock.until(areReady, 12_000);
      await fleet.clock.advance(12_000);
      const random = new core.SeededRandom(seed);
      let requests = 0;
      for (let crash = 0; crash < CRASHES; crash++) {
        const id = `e${crash}`;
        const others = [...fleet.running()];
        for (let index = 0; index < reporters; index++) {
          const [router] = others.splice(random.nextInt(others.length), 1);
          const tracker = router!.kernel.find(direct.CRASH_TRACKER);
          requests += 1;
          const sound = [...Array(5).keys()].map(
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
      const late = fleet.running().filter(each => !refuses(each)).length;
      await fleet.clock.until(() => fleet.running().every(refuses), 20_000);
      const totalMs = fleet.clock.nowMs() - fifthMs;
      expect(late, `late routers; all after ${totalMs} ms`).to.equal(0);
      await fleet.stop();
    });
  }
});
