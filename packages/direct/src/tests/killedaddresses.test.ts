/**
 * Large fleets over virtual time of which routers end without notice: how long
 * the others list them for callers.
 */
import * as chai from 'chai';
import * as simulatedFleet from './simulatedfleet.js';
import * as direct from '../index.js';

const {expect} = chai;

/** Time after their end from which no router may list them, in ms. */
const UNLISTED_AFTER_MS = 7_000;

type Router = simulatedFleet.SimulatedRouter;

describe('routers that ended without notice', () => {
  let fleet: simulatedFleet.SimulatedFleet;

  const start = async (routers: number) => {
    fleet = new simulatedFleet.SimulatedFleet({
      routers,
      endpoints: 4,
      loss: 0.02,
    });
    await fleet.start();
    await fleet.clock.advance(8_000);
    expect(listedBy(fleet.running()[0]!).size).to.equal(routers);
  };

  afterEach(() => fleet.stop());

  const listedBy = ({kernel}: Router): ReadonlySet<string> =>
    new Set(direct.listedRouters(kernel).map(({name}) => name));

  const expectUnlisted = async (ended: readonly Router[]) => {
    for (const router of ended) fleet.kill(router);
    await fleet.clock.advance(UNLISTED_AFTER_MS);
    for (const router of fleet.running()) {
      const listed = listedBy(router);
      expect(listed.has(router.name)).to.equal(true);
      const wrong = ended.filter(({name}) => listed.has(name));
      expect(wrong.map(({name}) => name)).to.deep.equal([]);
    }
  };

  for (const routers of [22, 140]) {
    it(`are listed by none of ${routers} after some seconds, were it three in five`, async () => {
      await start(routers);
      await expectUnlisted(
        fleet.routers.filter((router, index) => index % 5 < 3),
      );
    });

    it(`are listed by none of ${routers} after some seconds, were it a failure domain`, async () => {
      await start(routers);
      await expectUnlisted(fleet.routers.filter(({zone}) => zone === 'z1'));
    });

    it(`are not listed by the last one of ${routers}`, async () => {
      await start(routers);
      await expectUnlisted(fleet.routers.slice(1));
    });
  }

  it('are listed again although their clock went back before they started', async () => {
    await start(22);
    const ended = fleet.routers.slice(0, 3);
    await expectUnlisted(ended);
    const {clock} = fleet;
    const wallClockMs = clock.wallClockMs.bind(clock);
    clock.wallClockMs = () => wallClockMs() - 600_000;
    for (const router of ended) fleet.restart(router);
    clock.wallClockMs = wallClockMs;
    await fleet.clock.advance(6_000);
    for (const router of fleet.running()) {
      expect(listedBy(router).size).to.equal(22);
    }
  });

  it('are listed again after they came back, also by the last one', async () => {
    await start(22);
    const ended = fleet.routers.slice(1);
    await expectUnlisted(ended);
    for (const router of ended) fleet.restart(router);
    await fleet.clock.advance(6_000);
    for (const router of fleet.running()) {
      expect(listedBy(router).size).to.equal(22);
    }
  });
});
