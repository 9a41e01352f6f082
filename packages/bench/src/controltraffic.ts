/**
 * Experiment: control traffic of a router as the fleet grows, idle and under
 * load, and its extrapolation to 410 routers with 600 engines.
 */
import * as core from '@oleanderrock/core';
import * as router from '@oleanderrock/router';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import type * as experiments from './experiment.js';
import * as launcher from './launcher.js';
import * as parallel from './parallel.js';
import * as players from './player.js';
import * as traces from './trace.js';
import * as wirebytes from './wirebytes.js';

const SEED = 41;
const FLEET_SIZES = [4, 8, 12, 19];
const SETTLE_MS = 1_000;
const IDLE_MS = 3_300;
const LOAD_MS = 3_300;
const MAX_CONCURRENT_STARTS = 8;
const MS_PER_SECOND = 1_000;
const MAX_BYTES_PER_SECOND = 9_000;

/** The fleet size that the system is designed for. */
const DESIGN_SIZE = {
  routers: 410,
  engines: 600,
  neighbours: 32,
  limitedCustomers: 8,
};
/** Instances that fail or are replaced on a normal day, with 3 changes each. */
const LIST_CHANGES_PER_DAY = (17 + 88) * 3;
const SECONDS_PER_DAY = 86_400;

/** Bytes per second of each router at one fleet size. */
interface ControlRates {
  readonly routers: number;
  readonly idleRates: readonly number[];
  readonly loadRates: readonly number[];
  /** Bytes/s of list and log bodies per router, as counted by the platform. */
  readonly platformRate: number;
}

/** Measures the control bytes per second of each router. */
export class ControlExperiment implements experiments.Experiment {
  readonly name = 'control';
  readonly seed = SEED;
  private readonly clock = new core.SystemClock();

  async run(testbed: launcher.Testbed): Promise<experiments.Findings> {
    const rates: ControlRates[] = [];
    for (const size of FLEET_SIZES) {
      await this.growFleet(testbed, size);
      rates.push(await this.measureRates(testbed, size));
    }
    const designTraffic = await this.extrapolate(testbed);
    return toFindings(rates, designTraffic, testbed);
  }

  private async growFleet(
    testbed: launcher.Testbed,
    size: number,
  ): Promise<void> {
    const {fleet, deployment} = testbed;
    const names = deployments.routerNames({...deployment, routers: size});
    const runningNames = new Set(
      fleet.instances('router').map(router => router.name),
    );
    const startTasks = names
      .filter(name => !runningNames.has(name))
      .map(name => () => launcher.addRouter(testbed, name));
    await parallel.runAll(startTasks, MAX_CONCURRENT_STARTS);
    await launcher.waitUntilReady(fleet);
    await this.clock.sleep(SETTLE_MS);
  }

  private async measureRates(
    {fleet}: launcher.Testbed,
    routers: number,
  ): Promise<ControlRates> {
    const countersAtStart = await counters.readAllRouterCounters(fleet);
    const bytesBefore = await counters.readPlatformBytes(fleet);
    await this.clock.sleep(IDLE_MS);
    const countersAfterIdle = await counters.readAllRouterCounters(fleet);
    const player = new players.TracePlayer(fleet.entryAddresses());
    await player.play(createTrace(routers));
    player.close();
    const countersAfterLoad = await counters.readAllRouterCounters(fleet);
    const bytes = (await counters.readPlatformBytes(fleet)) - bytesBefore;
    const seconds =
      (countersAfterLoad[0]!.atMs - countersAtStart[0]!.atMs) / MS_PER_SECOND;
    return {
      routers,
      idleRates: counters.controlRates(countersAtStart, countersAfterIdle),
      loadRates: counters.controlRates(countersAfterIdle, countersAfterLoad),
      platformRate: bytes / seconds / routers,
    };
  }

  /** Extrapolates the control traffic of a router to the design size. */
  private async extrapolate({fleet}: launcher.Testbed): Promise<DesignTraffic> {
    const [sampleEngine] = fleet.instances('endpoint');
    const listUrl = `${fleet.platformUrl}/instances`;
    const reportBytes = await wirebytes.measureExchange(
      `http://${sampleEngine!.address}:${sampleEngine!.port}/load`,
    );
    const listBytes = await wirebytes.measureExchange(listUrl);
    const listedCount =
      fleet.instances('router').length + fleet.instances('endpoint').length;
    const instanceCount = DESIGN_SIZE.routers + DESIGN_SIZE.engines;
    const bytesPerChange = (listBytes / listedCount) * instanceCount;
    const ownedEngines = DESIGN_SIZE.engines / DESIGN_SIZE.routers;
    const budget = router.settings.SETTINGS.controlBytesPerSecond.fallback;
    return {
      digestBytes: designDigestBytes(),
      digestRate: Number(budget),
      reportRate: ownedEngines * reportBytes,
      listRate: (bytesPerChange * LIST_CHANGES_PER_DAY) / SECONDS_PER_DAY,
    };
  }
}

/** Control traffic of a router at the design size; rates in bytes/s. */
interface DesignTraffic {
  readonly digestBytes: number;
  /** Digests sent; equals the budget, which the router enforces. */
  readonly digestRate: number;
  readonly reportRate: number;
  readonly listRate: number;
}

/** Bytes of one digest with packet headers, at the design size. */
function designDigestBytes(): number {
  const ownedEngines = Math.ceil(DESIGN_SIZE.engines / DESIGN_SIZE.routers);
  const customerIndexes = [...Array(DESIGN_SIZE.limitedCustomers).keys()];
  const datagram = router.encode(
    {
      routerHash: 0xffff_ffff,
      incarnation: 1_800_000_000,
      sequence: 1_000_000,
      nextOffset: 1_000_000,
      isDraining: false,
      counts: [...Array(ownedEngines + 1).keys()].map(() => ({
        endpointHash: 0xffff_ffff,
        inFlight: 40,
        isUsable: true,
      })),
      down: [{routerHash: 0xffff_ffff, incarnation: 1_800_000_000}],
      suspects: [],
      usage: customerIndexes.map(index => ({
        customer: `customer-${10_000 + index}`,
        requests: 500,
        tokens: 100_000,
      })),
    },
    'secret-of-the-peers',
  );
  return datagram.length + router.DATAGRAM_HEADER_BYTES;
}

function createTrace(routers: number): traces.Call[] {
  return traces.generateTrace({
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

/** Slope of the least-squares line through the points. */
function leastSquaresSlope(
  points: ReadonlyArray<readonly [number, number]>,
): number {
  const meanX = counters.mean(points.map(([x]) => x));
  const meanY = counters.mean(points.map(([, y]) => y));
  const products = points.map(([x, y]) => (x - meanX) * (y - meanY));
  const squares = points.map(([x]) => (x - meanX) ** 2);
  return counters.mean(products) / counters.mean(squares);
}

function toFindings(
  rates: readonly ControlRates[],
  designTraffic: DesignTraffic,
  {strategy}: launcher.Testbed,
): experiments.Findings {
  const toPoints = (values: (rate: ControlRates) => readonly number[]) =>
    rates.map(rate => [rate.routers, counters.mean(values(rate))] as const);
  const idlePoints = toPoints(rate => rate.idleRates);
  const loadPoints = toPoints(rate => rate.loadRates);
  const bytesFigure = (
    name: string,
    value: number,
    target?: experiments.Target,
  ) => ({
    name,
    unit: 'B/s',
    value,
    target,
  });
  const figuresBySize = rates.flatMap(
    ({routers, idleRates, loadRates, platformRate}) => [
      bytesFigure(`idle, ${routers} routers`, counters.mean(idleRates)),
      bytesFigure(`load, ${routers} routers`, counters.mean(loadRates)),
      bytesFigure(`load, ${routers} routers, the most`, Math.max(...loadRates)),
      bytesFigure(`list and log bodies, ${routers} routers`, platformRate),
    ],
  );
  const sum =
    2 * designTraffic.digestRate +
    designTraffic.reportRate +
    designTraffic.listRate;
  const figures: experiments.Figure[] = [
    ...figuresBySize,
    bytesFigure(
      'slope for one router more, idle',
      leastSquaresSlope(idlePoints),
    ),
    bytesFigure(
      'slope for one router more, load',
      leastSquaresSlope(loadPoints),
    ),
    {name: 'one digest at 410', unit: 'B', value: designTraffic.digestBytes},
    bytesFigure(
      'digests sent at rest at 410',
      designTraffic.digestBytes * DESIGN_SIZE.neighbours,
    ),
    bytesFigure('load reports at 410', designTraffic.reportRate),
    bytesFigure('instance list at 410', designTraffic.listRate),
    bytesFigure('sum at 410, digests at their budget', sum, {
      atMost: MAX_BYTES_PER_SECOND,
    }),
  ];
  const plot: experiments.Plot = {
    title: 'Control bytes a second of one router, digests',
    xLabel: 'routers',
    yLabel: 'B/s sent and received',
    series: [
      {name: `${strategy}, idle`, points: idlePoints},
      {name: `${strategy}, load`, points: loadPoints},
    ],
  };
  const notes = [
    'control: the routers meter digests only; list and log are the ' +
      "platform's counts of bodies, load reports one exchange's bytes. The " +
      'sum takes the budget for digests sent and as much received, and ' +
      `${LIST_CHANGES_PER_DAY} changes of the list a day, each read whole`,
  ];
  return {figures, plots: [plot], notes};
}
