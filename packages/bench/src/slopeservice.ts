/** Slopes of a router process that serves: processor time and memory. */
import * as standins from '@oleanderrock/standins';
import * as counters from './counters.js';
import * as deployments from './deployment.js';
import * as launching from './launch.js';
import * as publishing from './publish.js';
import * as slopes from './slope.js';

const LOOP_MS = 4_000;
const CALLERS = 12;
const TOKENS = 100;
const US_PER_SECOND = 1_000_000;
const BYTES_PER_MB = 1_000_000;
const IDLE_MS = 3_000;

/** One router before a few engines, so that nothing is passed on. */
const DEPLOYMENT: deployments.Deployment = {
  ...deployments.ERDWERK,
  name: 'single',
  failureDomains: 1,
  routers: 1,
  engines: 2,
  services: 1,
};

interface Spent {
  readonly requests: number;
  readonly cpuSeconds: number;
}

/** Processor time for a request and a token, by the process's own metrics. */
export class ServiceSlopes implements slopes.Measurement {
  async run(): Promise<slopes.Slope[]> {
    const running = await launching.launch({deployment: DEPLOYMENT});
    try {
      return await this.measure(running.fleet);
    } finally {
      await launching.end(running);
    }
  }

  private async measure(fleet: standins.Fleet): Promise<slopes.Slope[]> {
    const [address = ''] = fleet.addresses();
    // Nothing shall wait here, so that only the way through is measured.
    const rows = deployments.rows({loadMultiple: 10});
    await publishing.publish(rows, launching.adminAccess(fleet));
    await this.loop(fleet, address, 0);
    const idle = await this.idle(address);
    const plain = await this.loop(fleet, address, 0);
    const streamed = await this.loop(fleet, address, TOKENS);
    const {residentBytes} = await counters.readRouter(address);
    const requestUs = (plain.cpuSeconds * US_PER_SECOND) / plain.requests;
    const streamUs = (streamed.cpuSeconds * US_PER_SECOND) / streamed.requests;
    return [
      {name: 'request through one router', value: requestUs, unit: 'us'},
      {
        name: 'streamed token through one router',
        value: (streamUs - requestUs) / TOKENS,
        unit: 'us',
      },
      {name: 'router at rest', value: idle * 100, unit: '% of a core'},
      {
        name: 'resident memory of the router after it',
        value: residentBytes / BYTES_PER_MB,
        unit: 'MB',
      },
    ];
  }

  /** The share of a core that a router without requests takes. */
  private async idle(address: string): Promise<number> {
    const before = await counters.readRouter(address);
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    const after = await counters.readRouter(address);
    const seconds = (after.atMs - before.atMs) / 1_000;
    return (after.cpuSeconds - before.cpuSeconds) / seconds;
  }

  private async loop(
    fleet: standins.Fleet,
    address: string,
    tokens: number,
  ): Promise<Spent> {
    const caller = new standins.Caller({routers: fleet.instances('router')});
    const before = await counters.readRouter(address);
    const endMs = performance.now() + LOOP_MS;
    let requests = 0;
    const work = async (index: number) => {
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
    await Promise.all(slopes.range(CALLERS).map(work));
    const after = await counters.readRouter(address);
    caller.close();
    return {requests, cpuSeconds: after.cpuSeconds - before.cpuSeconds};
  }
}
