/**
 * Fetches the state of another router if there are lasting differences in the
 * endpoints or members that the two know.
 */
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import type * as fleetRegistry from './fleetregistry.js';
import * as routerState from './routerstate.js';
import * as runState from './runstate.js';
import * as stateSource from './statesource.js';
import * as wakeablePause from './wakeablepause.js';

/**
 * Interval between checks of whether a state has to be fetched, in ms: while
 * there is a difference, and while there is none, when a digest ends the wait.
 */
const POLL_INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 60_000;

/**
 * How long the endpoints or members must differ from those of other routers,
 * while they do not change here, before the state is fetched, in ms. News
 * usually arrives sooner.
 */
const LASTING_DIFFERENCE_MS = 1_200;

/** Shortest interval between fetches because of such differences, in ms. */
const DIFFERENCE_FETCH_INTERVAL_MS = 2_000;

/**
 * Uptime up to which differences are fetched without waiting for news, in s: a
 * new router lacks most members, and more come while the fleet starts.
 */
const STARTING_UPTIME_S = 15;
const STARTING_FETCH_INTERVAL_MS = 1_000;

/** What this router knows of one kind, and since when it is unchanged. */
class LastingDifference {
  private localFingerprint: number | undefined;
  private sinceMs = 0;
  private isDifferent = false;

  /** Compares this router's fingerprint with that of another router. */
  compare(local: number, remote: number, nowMs: number): void {
    if (this.localFingerprint !== local) {
      this.localFingerprint = local;
      this.sinceMs = nowMs;
    }
    this.isDifferent = local !== remote;
  }

  /** Time for which this router's knowledge differs unchanged, in ms. */
  durationMs(nowMs: number): number | undefined {
    return this.isDifferent ? nowMs - this.sinceMs : undefined;
  }
}

/** Fetches state from the registered source. */
export class StateCatchUp extends core.TaskService {
  private readonly endpointsDifference = new LastingDifference();
  private readonly membersDifference = new LastingDifference();
  /** Address of the router whose state differs. */
  private differingAddress: string | undefined;
  /** Address of a router whose state is wanted whatever the fingerprints. */
  private requestedAddress: string | undefined;
  private lastDifferenceFetchMs = Number.NEGATIVE_INFINITY;
  private readonly pause: wakeablePause.WakeablePause;

  constructor(kernel: core.Kernel) {
    super(kernel, 'state_catch_up');
    this.pause = new wakeablePause.WakeablePause(kernel.find(core.CLOCK));
  }

  /** Compares what another router knows, by its digest, with what this one does. */
  compareFingerprints(
    address: string,
    {endpointsFingerprint, membersFingerprint}: fleetRegistry.RouterStatus,
  ): void {
    const endpoints = this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .fingerprint();
    const members = this.kernel.find(decisions.MEMBERSHIP).fingerprint();
    const nowMs = this.nowMs();
    this.endpointsDifference.compare(endpoints, endpointsFingerprint, nowMs);
    this.membersDifference.compare(members, membersFingerprint, nowMs);
    const isEqual =
      endpoints === endpointsFingerprint && members === membersFingerprint;
    const wasIdle = this.isIdle();
    this.differingAddress = isEqual ? undefined : address;
    if (wasIdle && !isEqual) this.pause.wake();
  }

  /** Has the state of the router at the address fetched soon. */
  requestFrom(address: string): void {
    this.requestedAddress = address;
    this.pause.wake();
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isIdle()) await this.pause.wait(IDLE_INTERVAL_MS, signal);
      if (this.requestedAddress === undefined) {
        await this.pause.wait(POLL_INTERVAL_MS, signal);
      }
      if (signal.aborted) return;
      await this.fetchRequested(signal);
      await this.fetchIfDifferent(signal);
    }
  }

  private isIdle(): boolean {
    return (
      this.requestedAddress === undefined && this.differingAddress === undefined
    );
  }

  private async fetchRequested(signal: AbortSignal): Promise<void> {
    const {requestedAddress} = this;
    if (requestedAddress === undefined) return;
    this.requestedAddress = undefined;
    await this.fetchState(requestedAddress, signal);
  }

  private async fetchIfDifferent(signal: AbortSignal): Promise<void> {
    const {differingAddress} = this;
    if (differingAddress === undefined || signal.aborted) return;
    const nowMs = this.nowMs();
    const uptimeS = this.kernel.find(runState.RUN_STATE).uptimeS();
    const isStarting = uptimeS < STARTING_UPTIME_S;
    const durationMs = Math.max(
      this.endpointsDifference.durationMs(nowMs) ?? 0,
      this.membersDifference.durationMs(nowMs) ?? 0,
    );
    if (!isStarting && durationMs < LASTING_DIFFERENCE_MS) return;
    const minIntervalMs = isStarting
      ? STARTING_FETCH_INTERVAL_MS
      : DIFFERENCE_FETCH_INTERVAL_MS;
    if (nowMs - this.lastDifferenceFetchMs < minIntervalMs) return;
    this.lastDifferenceFetchMs = nowMs;
    this.differingAddress = undefined;
    await this.fetchState(differingAddress, signal);
  }

  private async fetchState(
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    const startMs = this.nowMs();
    const state = await this.kernel
      .find(stateSource.STATE_SOURCE)
      .fetchState(address, signal);
    if (signal.aborted) return;
    const log = this.kernel.find(core.LOGGER);
    if (state.type === 'failed') {
      const {detail} = state;
      log.info('catch_up_failed', {of: 'state', address, detail});
      return;
    }
    routerState.merge(this.kernel, state.value);
    const fetchMs = Math.round(this.nowMs() - startMs);
    log.info('state_fetched', {address, fetch_ms: fetchMs});
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
