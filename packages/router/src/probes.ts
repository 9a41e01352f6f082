/**
 * Probes: one task for each endpoint that this router owns reads the
 * endpoint's load report. Other services ask here whether an endpoint has
 * crashed or whether only its kept connections have gone silent.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as connections from './connections.js';
import * as control from './control.js';
import * as fleet from './fleet.js';
import * as jsonhttp from './jsonhttp.js';
import * as memory from './memory.js';
import * as pools from './pools.js';
import type * as settings from './settings.js';

const TICK_MS = 100;

/** Probes of endpoints. */
export interface Probes {
  /** Whether the endpoint refuses connections or has been started anew. */
  hasCrashed(endpoint: string, timeoutMs: number): Promise<boolean>;
  /** Renews the kept connections where a new one works; tells if it did. */
  renewIfSilent(endpoint: string): Promise<boolean>;
  /** Notes an endpoint's own word, in an answer, that it is leaving. */
  saidLeaving(endpoint: string): void;
}

/** The contract under which the probes are registered. */
export const PROBES = core.contract<Probes>('probes', [
  'hasCrashed',
  'renewIfSilent',
  'saidLeaving',
]);

/** Probes that read the load report over HTTP. */
export class LoadProbes implements Probes, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly probing = new Set<string>();
  /** Apart from the requests' connections, so that its bytes are metered. */
  private readonly agent = new http.Agent({keepAlive: true});
  private readonly startIds = new Map<string, string>();
  /** When an answer last said that the endpoint is leaving. */
  private readonly saidLeavingMs = new Map<string, number>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.tasks.spawn('probes', signal => this.superviseOwned(signal));
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    await this.tasks.stop();
    this.agent.destroy();
  }

  async hasCrashed(endpoint: string, timeoutMs: number): Promise<boolean> {
    const before = this.startIds.get(endpoint);
    const report = await this.read(endpoint, timeoutMs, false);
    if (report === 'refused') return true;
    if (!report) return false;
    return before !== undefined && report.start_id !== before;
  }

  async renewIfSilent(endpoint: string): Promise<boolean> {
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) return false;
    const report = await this.read(endpoint, this.own.loadPeriodMs, false);
    if (!report || report === 'refused') return false;
    const kept = this.kernel.find(connections.CONNECTIONS);
    kept.renew(target.address, target.port);
    this.kernel.find(core.LOGGER).warn('connections_renewed', {endpoint});
    return true;
  }

  saidLeaving(endpoint: string): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.saidLeavingMs.set(endpoint, nowMs);
    this.kernel.find(fleet.FLEET).setLeaving(endpoint, true);
  }

  /** Starts a task for each endpoint that has come into ownership. */
  private async superviseOwned(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      for (const endpoint of this.owned()) {
        if (this.probing.has(endpoint)) continue;
        this.probing.add(endpoint);
        const name = `probe ${endpoint}`;
        this.tasks.spawn(name, own => this.probe(endpoint, own));
      }
      await clock.sleep(TICK_MS, signal);
    }
  }

  /** The task of one endpoint, for as long as this router owns it. */
  private async probe(endpoint: string, signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const loads = this.kernel.find(pools.LOADS);
    loads.tookOver(endpoint, clock.nowMs());
    this.kernel.find(core.LOGGER).info('took_over', {endpoint});
    while (!signal.aborted && this.isOwned(endpoint)) {
      const report = await this.read(endpoint, this.own.loadPeriodMs, true);
      if (signal.aborted) break;
      if (report && report !== 'refused') this.adopt(endpoint, report);
      else await this.missed(endpoint, report === 'refused');
      await clock.sleep(this.own.loadPeriodMs, signal);
    }
    this.probing.delete(endpoint);
  }

  private adopt(endpoint: string, report: core.LoadReport): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const takenAtMs = nowMs - report.age_ms;
    const inFlight = report.in_flight + report.queued;
    this.kernel.find(pools.LOADS).report({endpoint, inFlight, takenAtMs});
    this.adoptState(endpoint, report.state, takenAtMs);
    this.kernel.find(fleet.EJECTION).succeeded(endpoint, nowMs);
    const before = this.startIds.get(endpoint);
    this.startIds.set(endpoint, report.start_id);
    if (before === undefined || before === report.start_id) return;
    this.kernel.find(core.LOGGER).info('endpoint_restarted', {endpoint});
    this.kernel.find(memory.MEMORY).forget(endpoint);
  }

  /** Takes in the report's state, unless an answer told a newer one. */
  private adoptState(
    endpoint: string,
    state: core.LoadReport['state'],
    takenAtMs: number,
  ): void {
    const isLeaving = state === 'leaving';
    const saidMs = this.saidLeavingMs.get(endpoint) ?? -Infinity;
    if (!isLeaving && takenAtMs <= saidMs) return;
    this.saidLeavingMs.delete(endpoint);
    this.kernel.find(fleet.FLEET).setLeaving(endpoint, isLeaving);
  }

  private async missed(endpoint: string, isRefused: boolean): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const ejection = this.kernel.find(fleet.EJECTION);
    ejection.failed(endpoint, clock.nowMs());
    if (isRefused) return;
    const isSilent = await this.renewIfSilent(endpoint);
    // No answer over a new connection either counts as a second failure.
    if (!isSilent) ejection.failed(endpoint, clock.nowMs());
  }

  private async read(
    endpoint: string,
    timeoutMs: number,
    isKept: boolean,
  ): Promise<core.LoadReport | 'refused' | undefined> {
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) return undefined;
    const {address, port} = target;
    const reply = await jsonhttp.call({
      address,
      port,
      path: '/load',
      agent: isKept ? this.agent : undefined,
      timeoutMs,
      meter: control.metering(this.kernel.find(control.CONTROL_METER), 'load'),
    });
    if (reply.type === 'error') {
      const {stage, cause} = reply.error;
      return stage === 'connect' && cause === 'broken' ? 'refused' : undefined;
    }
    if (reply.status !== 200) return undefined;
    const parsed = v.safeParse(core.loadReportSchema, reply.body);
    return parsed.success ? parsed.output : undefined;
  }

  private owned(): string[] {
    const known = this.kernel.find(fleet.FLEET);
    return known
      .endpoints()
      .map(item => item.name)
      .filter(name => known.owners(name)[0] === known.self());
  }

  private isOwned(endpoint: string): boolean {
    const known = this.kernel.find(fleet.FLEET);
    return known.owners(endpoint)[0] === known.self();
  }
}
