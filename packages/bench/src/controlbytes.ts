/**
 * Experiment: control traffic of a router as the fleet grows, at rest and
 * under load, and the sum worked out for 410 routers before 600 engines.
 */
import * as core from '@oleanderrock/core';
import * as router from '@oleanderrock/router';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launching from './launch.js';
import * as parallel from './parallel.js';
import * as players from './player.js';
import * as traces from './trace.js';
import * as wires from './wirebytes.js';

const SEED = 41;
const SIZES = [4, 8, 12, 19];
const SETTLE_MS = 1_000;
const IDLE_MS = 3_300;
const LOAD_MS = 3_300;
const STARTS_AT_A_TIME = 8;
const MS_PER_SECOND = 1_000;
const MAX_BYTES_PER_SECOND = 9_000;

/** The size to design for. */
const PLANNED = {routers: 410, engines: 600, neighbours: 32, limited: 8};
/** Instances that fail or are replaced on an ordinary day, changes of each. */
const LIST_CHANGES_A_DAY = (17 + 88) * 3;
const SECONDS_A_DAY = 86_400;

interface Rates {
  readonly routers: number;
  readonly idle: readonly number[];
  readonly load: readonly number[];
  /** List and log bodies a router, by the platform's counts. */
  readonly platform: number;
}

/** Control bytes a second of each router. */
export class ControlExperiment implements experiments.Experiment {
  readonly name = 'control';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();

  async run(running: launching.Running): Promise<experiments.Findings> {
    const rates: Rates[] = [];
    for (const size of SIZES) {
      await this.grow(running, size);
      rates.push(await this.measure(running, size));
    }
    const planned = await this.plan(running);
    return judge(rates, planned, running);
  }

  private async grow(running: launching.Running, size: number): Promise<void> {
    const {fleet, deployment} = running;
    const names = deployments.routerNames({...deployment, routers: size});
    const known = new Set(fleet.instances('router').map(item => item.name));
    const starts = names
      .filter(name => !known.has(name))
      .map(name => () => launching.addRouter(running, name));
    await parallel.run(starts, STARTS_AT_A_TIME);
    await launching.untilReady(fleet);
    await this.clock.sleep(SETTLE_MS);
  }

  private async measure(
    {fleet}: launching.Running,
    routers: number,
  ): Promise<Rates> {
    const first = await counters.readRouters(fleet);
    const bytesBefore = await counters.platformBytes(fleet);
    await this.clock.sleep(IDLE_MS);
    const second = await counters.readRouters(fleet);
    const player = new players.Player(fleet.addresses());
    await player.play(trace(routers));
    player.close();
    const third = await counters.readRouters(fleet);
    const bytes = (await counters.platformBytes(fleet)) - bytesBefore;
    const seconds = (third[0]!.atMs - first[0]!.atMs) / MS_PER_SECOND;
    return {
      routers,
      idle: counters.controlRates(first, second),
      load: counters.controlRates(second, third),
      platform: bytes / seconds / routers,
    };
  }

  /** The parts of the sum at the planned size, each in bytes a second. */
  private async plan({fleet}: launching.Running): Promise<Planned> {
    const [engine] = fleet.instances('endpoint');
    const list = `${fleet.platformUrl}/instances`;
    const reportBytes = await wires.exchange(
      `http://${engine!.address}:${engine!.port}/load`,
    );
    const listBytes = await wires.exchange(list);
    const listed =
      fleet.instances('router').length + fleet.instances('endpoint').length;
    const instances = PLANNED.routers + PLANNED.engines;
    const change = (listBytes / listed) * instances;
    const owned = PLANNED.engines / PLANNED.routers;
    const budget = router.settings.SETTINGS.controlBytesPerSecond.fallback;
    return {
      digestBytes: plannedDigestBytes(),
      digestsSent: Number(budget),
      reports: owned * reportBytes,
      list: (change * LIST_CHANGES_A_DAY) / SECONDS_A_DAY,
    };
  }
}

interface Planned {
  readonly digestBytes: number;
  /** The budget, which is enforced. */
  readonly digestsSent: number;
  readonly reports: number;
  readonly list: number;
}

/** Bytes of one digest with headers, at the planned size. */
function plannedDigestBytes(): number {
  const owned = Math.ceil(PLANNED.engines / PLANNED.routers);
  const uses = [...Array(PLANNED.limited).keys()];
  const packed = router.encode(
    {
      routerHash: 0xffff_ffff,
      incarnation: 1_800_000_000,
      sequence: 1_000_000,
      nextOffset: 1_000_000,
      isDraining: false,
      counts: [...Array(owned + 1).keys()].map(() => ({
        endpointHash: 0xffff_ffff,
        inFlight: 40,
        isUsable: true,
      })),
      down: [{routerHash: 0xffff_ffff, incarnation: 1_800_000_000}],
      suspects: [],
      usage: uses.map(index => ({
        customer: `customer-${10_000 + index}`,
        requests: 500,
        tokens: 100_000,
      })),
    },
    'secret-of-the-peers',
  );
  return packed.length + router.DATAGRAM_HEADER_BYTES;
}

function trace(routers: number): traces.Call[] {
  return traces.generate({
    seed: SEED,
    name: `control-${routers}`,
    durationMs: LOAD_MS,
    chats: 120,
    meanPauseMs: 3_000,
    draftsPerSecond: 4,
    statusPerSecond: 10,
    certificatesPerSecond: 1,
  });
}

/** Slope of the least-squares line, in bytes a second for one router more. */
function slope(points: ReadonlyArray<readonly [number, number]>): number {
  const meanX = counters.mean(points.map(([x]) => x));
  const meanY = counters.mean(points.map(([, y]) => y));
  const above = points.map(([x, y]) => (x - meanX) * (y - meanY));
  const below = points.map(([x]) => (x - meanX) ** 2);
  return counters.mean(above) / counters.mean(below);
}

function judge(
  rates: readonly Rates[],
  planned: Planned,
  {strategy}: launching.Running,
): experiments.Findings {
  const points = (values: (rate: Rates) => readonly number[]) =>
    rates.map(rate => [rate.routers, counters.mean(values(rate))] as const);
  const idle = points(rate => rate.idle);
  const load = points(rate => rate.load);
  const bytes = (name: string, value: number, target?: experiments.Target) => ({
    name,
    unit: 'B/s',
    value,
    target,
  });
  const atSizes = rates.flatMap(({routers, idle, load, platform}) => [
    bytes(`idle, ${routers} routers`, counters.mean(idle)),
    bytes(`load, ${routers} routers`, counters.mean(load)),
    bytes(`load, ${routers} routers, the most`, Math.max(...load)),
    bytes(`list and log bodies, ${routers} routers`, platform),
  ]);
  const sum = 2 * planned.digestsSent + planned.reports + planned.list;
  const figures: experiments.Figure[] = [
    ...atSizes,
    bytes('slope for one router more, idle', slope(idle)),
    bytes('slope for one router more, load', slope(load)),
    {name: 'one digest at 410', unit: 'B', value: planned.digestBytes},
    bytes(
      'digests sent at rest at 410',
      planned.digestBytes * PLANNED.neighbours,
    ),
    bytes('load reports at 410', planned.reports),
    bytes('instance list at 410', planned.list),
    bytes('sum at 410, digests at their budget', sum, {
      atMost: MAX_BYTES_PER_SECOND,
    }),
  ];
  const plot: experiments.Plot = {
    title: 'Control bytes a second of one router, digests',
    xLabel: 'routers',
    yLabel: 'B/s sent and received',
    series: [
      {name: `${strategy}, idle`, points: idle},
      {name: `${strategy}, load`, points: load},
    ],
  };
  const notes = [
    'control: the routers meter digests only; list and log are the ' +
      "platform's counts of bodies, load reports one exchange's bytes. The " +
      'sum takes the budget for digests sent and as much received, and ' +
      `${LIST_CHANGES_A_DAY} changes of the list a day, each read whole`,
  ];
  return {figures, plots: [plot], notes};
}
