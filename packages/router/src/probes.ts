/**
 * Health probes: one task for each endpoint that this router owns polls the
 * endpoint's load report. Other services probe on demand, to find out whether
 * an endpoint has crashed or whether only its pooled connections are stale.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as connections from './connections.js';
import * as controlMeter from './controlmeter.js';
import * as fleet from './fleet.js';
import * as jsonHttp from './jsonhttp.js';
import * as chatMemory from './chatmemory.js';
import * as pools from './pools.js';
import type * as settings from './settings.js';

/** How often newly owned endpoints are looked for. */
const SUPERVISE_PERIOD_MS = 100;

/** Probes of endpoints. */
export interface Probes {
  /** Whether the endpoint refuses connections or has restarted. */
  hasCrashed(endpoint: string, timeoutMs: number): Promise<boolean>;
  /**
   * Replaces the pooled connections if the endpoint answers on a new one;
   * resolves with whether they were replaced.
   */
  renewIfStale(endpoint: string): Promise<boolean>;
  /** Records that an endpoint's answer says that it is leaving. */
  recordLeaving(endpoint: string): void;
}

/** The contract under which the probes are registered. */
export const PROBES = core.contract<Probes>('probes', [
  'hasCrashed',
  'renewIfStale',
  'recordLeaving',
]);

/** Probes that poll the load report over HTTP. */
export class LoadProbes implements Probes, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly probedEndpoints = new Set<string>();
  /** Separate from the requests' connections, so that bytes can be metered. */
  private readonly agent = new http.Agent({keepAlive: true});
  private readonly startIds = new Map<string, string>();
  /** Monotonic time at which an answer last said that the endpoint leaves. */
  private readonly leavingRecordedMs = new Map<string, number>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.tasks.spawn('probes', signal => this.superviseProbes(signal));
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    await this.tasks.stop();
    this.agent.destroy();
  }

  async hasCrashed(endpoint: string, timeoutMs: number): Promise<boolean> {
    const previousId = this.startIds.get(endpoint);
    const report = await this.readReport(endpoint, timeoutMs, false);
    if (report === 'refused') return true;
    if (!report) return false;
    return previousId !== undefined && report.start_id !== previousId;
  }

  async renewIfStale(endpoint: string): Promise<boolean> {
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) return false;
    const report = await this.readReport(
      endpoint,
      this.routerSettings.loadPeriodMs,
      false,
    );
    if (!report || report === 'refused') return false;
    const connectionPools = this.kernel.find(connections.CONNECTIONS);
    connectionPools.renew(target.address, target.port);
    this.kernel.find(core.LOGGER).warn('connections_renewed', {endpoint});
    return true;
  }

  recordLeaving(endpoint: string): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.leavingRecordedMs.set(endpoint, nowMs);
    this.kernel.find(fleet.FLEET).setLeaving(endpoint, true);
  }

  /** Task that starts a probe for each endpoint that becomes owned. */
  private async superviseProbes(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      for (const endpoint of this.ownedEndpoints()) {
        if (this.probedEndpoints.has(endpoint)) continue;
        this.probedEndpoints.add(endpoint);
        const name = `probe ${endpoint}`;
        this.tasks.spawn(name, probeSignal =>
          this.probe(endpoint, probeSignal),
        );
      }
      await clock.sleep(SUPERVISE_PERIOD_MS, signal);
    }
  }

  /** Task that polls one endpoint for as long as this router owns it. */
  private async probe(endpoint: string, signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const loads = this.kernel.find(pools.LOADS);
    loads.setOwned(endpoint, clock.nowMs());
    this.kernel.find(core.LOGGER).info('took_over', {endpoint});
    while (!signal.aborted && this.isOwned(endpoint)) {
      const report = await this.readReport(
        endpoint,
        this.routerSettings.loadPeriodMs,
        true,
      );
      if (signal.aborted) break;
      if (report && report !== 'refused') this.applyReport(endpoint, report);
      else await this.handleMissedReport(endpoint, report === 'refused');
      await clock.sleep(this.routerSettings.loadPeriodMs, signal);
    }
    this.probedEndpoints.delete(endpoint);
  }

  private applyReport(endpoint: string, report: core.LoadReport): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const takenAtMs = nowMs - report.age_ms;
    const inFlight = report.in_flight + report.queued;
    this.kernel.find(pools.LOADS).recordReport({endpoint, inFlight, takenAtMs});
    this.applyState(endpoint, report.state, takenAtMs);
    this.kernel.find(fleet.EJECTION).recordSuccess(endpoint, nowMs);
    const previousId = this.startIds.get(endpoint);
    this.startIds.set(endpoint, report.start_id);
    if (previousId === undefined || previousId === report.start_id) return;
    this.kernel.find(core.LOGGER).info('endpoint_restarted', {endpoint});
    this.kernel.find(chatMemory.CHAT_MEMORY).forget(endpoint);
  }

  /** Applies the report's state, unless an answer reported a newer one. */
  private applyState(
    endpoint: string,
    state: core.LoadReport['state'],
    takenAtMs: number,
  ): void {
    const isLeaving = state === 'leaving';
    const recordedMs = this.leavingRecordedMs.get(endpoint) ?? -Infinity;
    if (!isLeaving && takenAtMs <= recordedMs) return;
    this.leavingRecordedMs.delete(endpoint);
    this.kernel.find(fleet.FLEET).setLeaving(endpoint, isLeaving);
  }

  private async handleMissedReport(
    endpoint: string,
    isRefused: boolean,
  ): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const ejection = this.kernel.find(fleet.EJECTION);
    ejection.recordFailure(endpoint, clock.nowMs());
    if (isRefused) return;
    const isRenewed = await this.renewIfStale(endpoint);
    // If a new connection gets no answer either, that is a second failure.
    if (!isRenewed) ejection.recordFailure(endpoint, clock.nowMs());
  }

  private async readReport(
    endpoint: string,
    timeoutMs: number,
    isPooled: boolean,
  ): Promise<core.LoadReport | 'refused' | undefined> {
    const target = this.kernel.find(fleet.FLEET).find(endpoint);
    if (!target) return undefined;
    const {address, port} = target;
    const reply = await jsonHttp.call({
      address,
      port,
      path: '/load',
      agent: isPooled ? this.agent : undefined,
      timeoutMs,
      meter: controlMeter.forChannel(
        this.kernel.find(controlMeter.CONTROL_METER),
        'load',
      ),
    });
    if (reply.type === 'error') {
      const {stage, cause} = reply.error;
      return stage === 'connect' && cause === 'broken' ? 'refused' : undefined;
    }
    if (reply.status !== 200) return undefined;
    const parsed = v.safeParse(core.loadReportSchema, reply.body);
    return parsed.success ? parsed.output : undefined;
  }

  private ownedEndpoints(): string[] {
    const fleetView = this.kernel.find(fleet.FLEET);
    return fleetView
      .endpoints()
      .map(item => item.name)
      .filter(name => fleetView.owners(name)[0] === fleetView.self());
  }

  private isOwned(endpoint: string): boolean {
    const fleetView = this.kernel.find(fleet.FLEET);
    return fleetView.owners(endpoint)[0] === fleetView.self();
  }
}
