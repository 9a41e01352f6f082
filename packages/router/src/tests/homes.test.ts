/** Guards against the loss of prefix homes when routers restart. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as directFleet from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const PREFIX = 'p1';
const PROMPT = {'prompt-prefix': `${PREFIX}:9000,own:10`};
const ENGINES = {
  services: [{name: 'pool', healthPath: '/health', engine: {}}],
};

function homesOf(kernel: core.Kernel): readonly string[] {
  const nowMs = kernel.find(core.CLOCK).nowMs();
  return kernel.find(direct.PREFIX_HOMES).homesOf(PREFIX, nowMs);
}

describe('homes of prefixes', () => {
  let fleet: directFleet.DirectFleet;

  beforeEach(() => {
    fleet = new directFleet.DirectFleet();
  });

  afterEach(() => fleet.stop());

  it('are copied from a router that has run for longer', async () => {
    await fleet.start(3, 1);
    await fleet.call('/read/a', {headers: PROMPT});
    const [donor] = fleet.kernels;
    const donorUptimeS = () => donor!.find(direct.RUN_STATE).uptimeS();
    await polling.until(
      'the donor has run for over 4 s',
      () => donorUptimeS() > 4,
    );
    const newcomer = await fleet.addRouter();
    await polling.until(
      'the newcomer has the home',
      () => homesOf(newcomer).length > 0,
    );
    expect(homesOf(newcomer)).to.deep.equal(homesOf(donor!));
    for (const {prefixListCount: listings} of fleet.endpoints) {
      expect(listings).to.equal(0);
    }
  });

  it('are read from the endpoints when all routers restart', async () => {
    await fleet.start(3, 0);
    fleet.store.put('keyed.op', 'config', directFleet.config(2, ENGINES));
    const [holdingEndpoint] = fleet.endpoints;
    holdingEndpoint!.cachedTokensByPrefix.set(PREFIX, 9_000).set('short', 20);
    await Promise.all([0, 1, 2].map(() => fleet.addRouter()));
    for (const kernel of fleet.kernels) {
      await polling.until(
        'the router has the home',
        () => homesOf(kernel).length > 0,
      );
      expect(homesOf(kernel)).to.deep.equal([holdingEndpoint!.id]);
      const knownHomes = kernel.find(direct.PREFIX_HOMES).all();
      expect(knownHomes.map(({prefix}) => prefix)).to.deep.equal([PREFIX]);
    }
    for (const {prefixListCount: listings} of fleet.endpoints) {
      expect(listings).to.equal(1);
    }
    await fleet.call('/read/a', {headers: PROMPT}, 2);
    expect(holdingEndpoint!.runs).to.have.length(1);
  });
});
