/** Injects faults into the processes, endpoints and connections of a soak. */
import type * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import type * as plan from './plan.js';
import type * as proxies from './proxy.js';
import * as tables from './tables.js';
import * as environments from './environment.js';

/** Time for which a leaving endpoint is listed as draining, in ms. */
const LEAVE_DELAY_MS = 2_600;

/** Faults that are routine operations; guarantees must hold during them. */
const ROUTINE: ReadonlyArray<plan.Fault['type']> = [
  'tables',
  'settings',
  'leave',
];

/** Injects faults, which may overlap. */
export class FaultInjector {
  private readonly crashedEndpoints = new Set<standins.HostedEndpoint>();

  constructor(
    private readonly environment: environments.SoakEnvironment,
    private readonly random: core.Random,
  ) {}

  /** Injects a fault and resolves when it has ended. */
  async inject(fault: plan.Fault): Promise<void> {
    const untilMs = Number.POSITIVE_INFINITY;
    const description = JSON.stringify(fault);
    const span = {description, fromMs: performance.now(), untilMs};
    if (!ROUTINE.includes(fault.type)) this.environment.disturbances.push(span);
    await this.dispatch(fault);
    span.untilMs = performance.now();
  }

  private async dispatch(fault: plan.Fault): Promise<void> {
    switch (fault.type) {
      case 'kill':
        return this.restartRouter(fault.router, 'SIGKILL', fault.forMs);
      case 'terminate':
        return this.restartRouter(fault.router, 'SIGTERM', 0);
      case 'pause':
        return this.pauseRouter(fault.router, fault.forMs);
      case 'settings':
        return this.reloadSettings(fault.router);
      case 'store':
        this.environment.store.mode = fault.mode;
        await environments.sleep(fault.forMs);
        this.environment.store.mode = 'up';
        return;
      case 'refuse':
        return this.injectLinkFault(
          [this.environment.storeProxies[fault.router]!],
          'one_way',
          fault.forMs,
        );
      case 'compact':
        this.environment.store.compactEndpoints();
        return;
      case 'crash':
        return this.crashEndpoint(fault.endpoint, fault.forMs);
      case 'leave':
        return this.replaceEndpoint(fault.endpoint);
      case 'spoil':
        return this.spoilRequests(fault.endpoint, fault);
      case 'overload':
        return this.overloadEndpoints(fault);
      case 'link':
        return this.injectLinkFault(
          this.selectLinks(fault),
          fault.how,
          fault.forMs,
        );
      case 'tables':
        this.environment.publishNextVersion();
    }
  }

  private async restartRouter(
    index: number,
    signal: NodeJS.Signals,
    downMs: number,
  ) {
    const slot = this.environment.routers[index]!;
    const {child} = slot;
    this.environment.stoppedByFault.add(child);
    if (signal === 'SIGKILL') child.signal('SIGCONT');
    child.signal(signal);
    await child.exited;
    await environments.sleep(downMs);
    // Another fault may have restarted the router in the meantime.
    if (this.environment.isStopped || slot.child !== child) return;
    this.environment.restart(slot);
    await this.environment.waitUntilReady(slot, environments.READY_TIMEOUT_MS);
  }

  private async pauseRouter(index: number, forMs: number): Promise<void> {
    const {child} = this.environment.routers[index]!;
    child.signal('SIGSTOP');
    await environments.sleep(forMs);
    child.signal('SIGCONT');
  }

  private async reloadSettings(index: number): Promise<void> {
    const {address, child} = this.environment.routers[index]!;
    const digestMs = 200 + Math.round(this.random.nextFloat() * 300);
    await this.environment.writeSettings(address, digestMs);
    child.signal('SIGHUP');
  }

  private async crashEndpoint(index: number, forMs: number): Promise<void> {
    const {endpoint} = this.environment.listedEndpoints[index]!;
    if (this.crashedEndpoints.has(endpoint)) return;
    this.crashedEndpoints.add(endpoint);
    await endpoint.stop();
    await environments.sleep(forMs);
    if (!this.environment.isStopped) await endpoint.start();
    this.crashedEndpoints.delete(endpoint);
  }

  private async replaceEndpoint(index: number): Promise<void> {
    const leavingSlot = this.environment.listedEndpoints[index]!;
    this.environment.listedEndpoints[index] =
      await this.environment.addEndpoint();
    this.environment.writeListEntry(leavingSlot, 'draining');
    leavingSlot.drainStartMs = performance.now();
    await environments.sleep(LEAVE_DELAY_MS);
    this.environment.store.putEndpoint(leavingSlot.endpoint.id);
  }

  private async spoilRequests(
    index: number,
    {how, share, forMs}: Extract<plan.Fault, {type: 'spoil' | 'overload'}>,
  ): Promise<void> {
    const {endpoint} = this.environment.listedEndpoints[index]!;
    const {version} = endpoint;
    endpoint.chooseBehaviour = run =>
      this.random.nextFloat() < share
        ? tables.spoilAnswer(run, version, how, this.random.nextFloat())
        : tables.answerNormally(run, version);
    await environments.sleep(forMs);
    endpoint.chooseBehaviour = run => tables.answerNormally(run, version);
  }

  private async overloadEndpoints(
    fault: Extract<plan.Fault, {type: 'overload'}>,
  ): Promise<void> {
    const indexes = this.environment.listedEndpoints.keys();
    await Promise.all(
      [...indexes].map(index => this.spoilRequests(index, fault)),
    );
  }

  private selectLinks({
    endpoint,
  }: Extract<plan.Fault, {type: 'link'}>): readonly proxies.FaultProxy[] {
    if (endpoint === undefined) return this.environment.storeProxies;
    return [this.environment.listedEndpoints[endpoint]!.proxy];
  }

  private async injectLinkFault(
    links: readonly proxies.FaultProxy[],
    fault: proxies.LinkFault,
    forMs: number,
  ): Promise<void> {
    const endFaults = links.map(link => link.startFault(fault));
    await environments.sleep(forMs);
    for (const endFault of endFaults) endFault();
  }
}
