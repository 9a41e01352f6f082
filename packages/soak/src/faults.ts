/** The faults of a soak, done to its world from outside. */
import type * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import type * as plan from './plan.js';
import type * as proxies from './proxy.js';
import * as tables from './tables.js';
import * as worlds from './world.js';

/** How long an endpoint that leaves serves on after its word, in ms. */
const LINGER_MS = 2_600;

/** Kinds of ordinary work, which excuses nothing. */
const WORK: ReadonlyArray<plan.Fault['type']> = ['tables', 'settings', 'leave'];

/** Does faults; several may overlap. */
export class Faults {
  private readonly crashed = new Set<standins.HostedEndpoint>();

  constructor(
    private readonly world: worlds.World,
    private readonly random: core.Random,
  ) {}

  /** Does a fault; resolves when it is over. */
  async apply(fault: plan.Fault): Promise<void> {
    const untilMs = Number.POSITIVE_INFINITY;
    const what = JSON.stringify(fault);
    const noted = {what, fromMs: performance.now(), untilMs};
    if (!WORK.includes(fault.type)) this.world.disturbances.push(noted);
    await this.act(fault);
    noted.untilMs = performance.now();
  }

  private async act(fault: plan.Fault): Promise<void> {
    switch (fault.type) {
      case 'kill':
        return this.restart(fault.router, 'SIGKILL', fault.forMs);
      case 'terminate':
        return this.restart(fault.router, 'SIGTERM', 0);
      case 'pause':
        return this.pause(fault.router, fault.forMs);
      case 'settings':
        return this.changeSettings(fault.router);
      case 'store':
        this.world.store.mode = fault.mode;
        await worlds.sleep(fault.forMs);
        this.world.store.mode = 'up';
        return;
      case 'refuse':
        return this.harm(
          [this.world.storeProxies[fault.router]!],
          'one_way',
          fault.forMs,
        );
      case 'compact':
        this.world.store.compactEndpoints();
        return;
      case 'crash':
        return this.crash(fault.endpoint, fault.forMs);
      case 'leave':
        return this.replace(fault.endpoint);
      case 'spoil':
        return this.spoil(fault);
      case 'link':
        return this.harm(this.linksOf(fault), fault.how, fault.forMs);
      case 'tables':
        this.world.publish();
    }
  }

  private async restart(at: number, signal: NodeJS.Signals, downMs: number) {
    const slot = this.world.routers[at]!;
    const {child} = slot;
    this.world.ending.add(child);
    if (signal === 'SIGKILL') child.signal('SIGCONT');
    child.signal(signal);
    await child.exited;
    await worlds.sleep(downMs);
    // Another fault may have started it again meanwhile.
    if (this.world.isOver || slot.child !== child) return;
    this.world.revive(slot);
    await this.world.untilReady(slot, worlds.READY_TIMEOUT_MS);
  }

  private async pause(at: number, forMs: number): Promise<void> {
    const {child} = this.world.routers[at]!;
    child.signal('SIGSTOP');
    await worlds.sleep(forMs);
    child.signal('SIGCONT');
  }

  private async changeSettings(at: number): Promise<void> {
    const {address, child} = this.world.routers[at]!;
    const digestMs = 200 + Math.round(this.random.nextFloat() * 300);
    await this.world.writeSettings(address, digestMs);
    child.signal('SIGHUP');
  }

  private async crash(at: number, forMs: number): Promise<void> {
    const {endpoint} = this.world.places[at]!;
    if (this.crashed.has(endpoint)) return;
    this.crashed.add(endpoint);
    await endpoint.stop();
    await worlds.sleep(forMs);
    if (!this.world.isOver) await endpoint.start();
    this.crashed.delete(endpoint);
  }

  private async replace(at: number): Promise<void> {
    const leaving = this.world.places[at]!;
    this.world.places[at] = await this.world.addEndpoint();
    this.world.list(leaving, 'draining');
    leaving.drainedMs = performance.now();
    await worlds.sleep(LINGER_MS);
    this.world.store.list(leaving.endpoint.id);
  }

  private async spoil({
    endpoint: at,
    how,
    share,
    forMs,
  }: Extract<plan.Fault, {type: 'spoil'}>): Promise<void> {
    const {endpoint} = this.world.places[at]!;
    endpoint.choose = run =>
      this.random.nextFloat() < share
        ? tables.spoil(run, how)
        : tables.serve(run);
    await worlds.sleep(forMs);
    endpoint.choose = run => tables.serve(run);
  }

  private linksOf({
    endpoint,
  }: Extract<plan.Fault, {type: 'link'}>): readonly proxies.FaultProxy[] {
    if (endpoint === undefined) return this.world.storeProxies;
    return [this.world.places[endpoint]!.proxy];
  }

  private async harm(
    links: readonly proxies.FaultProxy[],
    how: proxies.LinkFault,
    forMs: number,
  ): Promise<void> {
    const ends = links.map(link => link.begin(how));
    await worlds.sleep(forMs);
    for (const end of ends) end();
  }
}
