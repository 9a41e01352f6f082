/** Slopes of a running router process: CPU time and memory. */
import * as standins from '@oleanderrock/standins';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import * as launcher from './launcher.js';
import * as publisher from './publisher.js';
import * as measurements from './measurement.js';

const LOOP_MS = 4_000;
const CALLERS = 12;
const TOKENS_PER_STREAM = 100;
const US_PER_SECOND = 1_000_000;
const BYTES_PER_MB = 1_000_000;
const IDLE_MS = 3_000;

/** A single router with a few engines, so that no request is passed on. */
const DEPLOYMENT: deployments.Deployment = {
  ...deployments.ERDWERK,
  name: 'single',
  failureDomains: 1,
  routers: 1,
  engines: 2,
  services: 1,
};

interface LoopResult {
  readonly requests: number;
  readonly cpuSeconds: number;
}

/** Measures the CPU time of a request and a token, by the router's metrics. */
export class ServiceSlopes implements measurements.Measurement {
  async measure(): Promise<measurements.Slope[]> {
    const testbed = await launcher.launch({deployment: DEPLOYMENT});
    try {
      return await this.measureFleet(testbed.fleet);
    } finally {
      await launcher.killAll(testbed);
    }
  }

  private async measureFleet(
    fleet: standins.Fleet,
  ): Promise<measurements.Slope[]> {
    const [address = ''] = fleet.entryAddresses();
    // With a high load multiple no request is queued, only forwarding counts.
    const rows = deployments.createRows({loadMultiple: 10});
    await publisher.publishTables(rows, launcher.adminAccess(fleet));
    await this.runLoop(fleet, address, 0);
    const idleShare = await this.measureIdleShare(address);
    const withoutTokens = await this.runLoop(fleet, address, 0);
    const withTokens = await this.runLoop(fleet, address, TOKENS_PER_STREAM);
    const {residentBytes} = await counters.readRouterCounters(address);
    const requestUs =
      (withoutTokens.cpuSeconds * US_PER_SECOND) / withoutTokens.requests;
    const streamUs =
      (withTokens.cpuSeconds * US_PER_SECOND) / withTokens.requests;
    return [
      {name: 'request through one router', value: requestUs, unit: 'us'},
      {
        name: 'streamed token through one router',
        value: (streamUs - requestUs) / TOKENS_PER_STREAM,
        unit: 'us',
      },
      {name: 'router at rest', value: idleShare * 100, unit: '% of a core'},
      {
        name: 'resident memory of the router after it',
        value: residentBytes / BYTES_PER_MB,
        unit: 'MB',
      },
    ];
  }

  /** Share of a CPU core that a router uses without requests. */
  private async measureIdleShare(address: string): Promise<number> {
    const before = await counters.readRouterCounters(address);
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    const after = await counters.readRouterCounters(address);
    const seconds = (after.atMs - before.atMs) / 1_000;
    return (after.cpuSeconds - before.cpuSeconds) / seconds;
  }

  private async runLoop(
    fleet: standins.Fleet,
    address: string,
    tokens: number,
  ): Promise<LoopResult> {
    const caller = new standins.Caller({
      routers: fleet.instances('router'),
    });
    const before = await counters.readRouterCounters(address);
    const endMs = performance.now() + LOOP_MS;
    let requests = 0;
    const runCaller = async (index: number) => {
      while (performance.now() < endMs) {
        const result = await caller.send({
          method: 'POST',
          path: deployments.PATHS.chat,
          customer: 'customer-1',
          chat: `slope-${index}`,
          body: {prompt_tokens: 0, output_tokens: tokens, stream: true},
        });
        if (result.type === 'answered') requests += 1;
      }
    };
    await Promise.all(measurements.indexes(CALLERS).map(runCaller));
    const after = await counters.readRouterCounters(address);
    caller.close();
    return {requests, cpuSeconds: after.cpuSeconds - before.cpuSeconds};
  }
}
