/**
 * Large fleets over virtual time in which endpoints name limits: what all
 * routers together send while datagrams are lost, routers restart and are cut
 * off, against the limit in any span of 4 s.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';

const {expect} = chai;

const LIMIT_PER_SECOND = 5;
const LIMITED_IDS = ['e0', 'e1', 'e2', 'e3'];

/** Span in which requests are counted, in ms. */
const WINDOW_MS = 4_000;

/** Most requests in a span: 1.2 times the limit, so that lag has room. */
const MAX_IN_WINDOW = Math.ceil((LIMIT_PER_SECOND * 1.2 * WINDOW_MS) / 1_000);

/** Share of the limit that is used at least, by a demand of twice the limit. */
const MIN_USE = 0.9;
const DEMAND_MULTIPLE = 2;

const STEP_MS = 20;
const PLAY_MS = 20_000;

type Router = simulatedFleet.SimulatedRouter;

class LimitedSends {
  readonly sentMs = new Map<string, number[]>();

  constructor(
    private readonly fleet: simulatedFleet.SimulatedFleet,
    private readonly random: core.Random,
  ) {}

  /** Offers requests at random routers for a time. */
  async play(durationMs: number): Promise<void> {
    const perStep = (LIMIT_PER_SECOND * DEMAND_MULTIPLE * STEP_MS) / 1_000;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (const id of LIMITED_IDS) {
        if (this.random.nextFloat() < perStep) void this.offer(id);
      }
      await this.fleet.clock.advance(STEP_MS);
    }
  }

  mostInWindow(id: string): number {
    const times = this.sentMs.get(id) ?? [];
    const counts = times.map(
      fromMs =>
        times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length,
    );
    return Math.max(0, ...counts);
  }

  private async offer(id: string): Promise<void> {
    const routers = this.fleet.connected();
    const {kernel} = routers[this.random.nextInt(routers.length)]!;
    const permits = kernel.find(direct.SEND_PERMITS);
    const endpoint = kernel.find(direct.ENDPOINT_REGISTRY).find(id);
    if (!endpoint || permits.heldBackMs(endpoint) > 0) return;
    const permit = await permits.acquire(endpoint, 0);
    if (permit.type === 'denied') return;
    const atMs = this.fleet.clock.nowMs();
    this.sentMs.set(id, [...(this.sentMs.get(id) ?? []), atMs]);
  }
}

function hearLimits(
  {kernel}: Router,
  perSecond: number | undefined,
  nowMs: number,
): void {
  for (const id of LIMITED_IDS) {
    const note = {id, bornMs: 1, perSecond, observedAtMs: nowMs};
    kernel.find(direct.ENDPOINT_LIMITS).recordResponse(note);
  }
}

/** Starts a fleet of which one router hears the limits; waits for the rest. */
async function startLimited(routers: number, loss: number, seed: number) {
  const fleet = new simulatedFleet.SimulatedFleet({
    routers,
    endpoints: 40,
    zones: 4,
    loss,
    seed,
  });
  await fleet.start();
  const areReady = () => fleet.running().every(each => fleet.isReady(each));
  await fleet.clock.until(areReady, 12_000);
  await fleet.clock.advance(8_000);
  hearLimits(fleet.running()[0]!, LIMIT_PER_SECOND, fleet.clock.nowMs());
  return {fleet, sends: new LimitedSends(fleet, new core.SeededRandom(seed))};
}

const knowLimit =
  (perSecond: number | undefined) =>
  ({kernel}: Router) =>
    kernel.find(direct.ENDPOINT_LIMITS).limitOf({id: 'e0', bornMs: 1}) ===
    perSecond;

describe('limits that endpoints name', () => {
  for (const {routers, loss, seed} of [
    {routers: 19, loss: 0, seed: 1},
    {routers: 19, loss: 0.02, seed: 2},
    {routers: 141, loss: 0.02, seed: 3},
    {routers: 195, loss: 0.02, seed: 4},
  ]) {
    it(`are kept and used by ${routers} routers at ${loss} loss (seed ${seed})`, async function () {
      this.timeout(120_000);
      const {fleet, sends} = await startLimited(routers, loss, seed);
      const know = () => fleet.running().every(knowLimit(LIMIT_PER_SECOND));
      expect(await fleet.clock.until(know, 10_000)).to.be.at.most(3_000);
      await sends.play(PLAY_MS);
      for (const id of LIMITED_IDS) {
        expect(sends.mostInWindow(id), id).to.be.at.most(MAX_IN_WINDOW);
        const most = (LIMIT_PER_SECOND * PLAY_MS) / 1_000;
        const used = (sends.sentMs.get(id)?.length ?? 0) / most;
        expect(used, `use of ${id}`).to.be.at.least(MIN_USE);
      }
      await fleet.stop();
    });
  }

  it('are kept by 141 routers of which a tenth restart in turn and others are cut off', async function () {
    this.timeout(120_000);
    const {fleet, sends} = await startLimited(141, 0.02, 5);
    await fleet.clock.advance(3_000);
    for (let turn = 0; turn < 14; turn++) {
      const router = fleet.routers[turn * 7]!;
      fleet.kill(router);
      const cut = fleet.routers[turn * 7 + 3]!;
      cut.isCut = true;
      await sends.play(700);
      fleet.restart(router);
      cut.isCut = false;
      await sends.play(700);
    }
    for (const id of LIMITED_IDS) {
      expect(sends.mostInWindow(id), id).to.be.at.most(MAX_IN_WINDOW);
    }
    const unaware = fleet
      .running()
      .filter(each => !knowLimit(LIMIT_PER_SECOND)(each));
    expect(unaware.map(({name}) => name)).to.deep.equal([]);
    await fleet.stop();
  });

  it('end for all routers when one hears a response without a limit', async function () {
    this.timeout(120_000);
    const {fleet} = await startLimited(141, 0.02, 6);
    await fleet.clock.advance(4_000);
    hearLimits(fleet.running()[5]!, undefined, fleet.clock.nowMs());
    const know = () => fleet.running().every(knowLimit(undefined));
    expect(await fleet.clock.until(know, 10_000)).to.be.at.most(3_000);
    await fleet.stop();
  });
});
