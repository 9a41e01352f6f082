/** This router's phase and uptime, and its number of requests in flight. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as endpointRegistry from './endpointregistry.js';
import * as activeTables from './activetables.js';

/** Phase, uptime and requests in flight of this router. */
export interface RunState {
  phase(): decide.RouterPhase;
  /** Begins the graceful shutdown. */
  beginShutdown(): void;
  /** Refuses new requests from now on. */
  stopAccepting(): void;
  acceptsRequests(): boolean;
  /** Counts a request as in flight until the returned function is called. */
  beginRequest(): () => void;
  inFlight(): number;
  /** Uptime of this router, in whole s. */
  uptimeS(): number;
}

/** The contract under which the run state is registered. */
export const RUN_STATE = core.contract<RunState>('run-state', [
  'phase',
  'beginShutdown',
  'stopAccepting',
  'acceptsRequests',
  'beginRequest',
  'inFlight',
  'uptimeS',
]);

/** Ready once tables and endpoints are loaded, until the shutdown begins. */
export class RouterRunState implements RunState {
  private isShuttingDown = false;
  private hasStoppedAccepting = false;
  private inFlightCount = 0;

  private readonly startedMs: number;

  constructor(private readonly kernel: core.Kernel) {
    this.startedMs = kernel.find(core.CLOCK).nowMs();
  }

  phase(): decide.RouterPhase {
    if (this.isShuttingDown) return 'leaving';
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES);
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    const hasLoadedState = tables.current() && endpoints.nextOffset() > 0;
    return hasLoadedState ? 'ready' : 'starting';
  }

  beginShutdown(): void {
    this.isShuttingDown = true;
  }

  stopAccepting(): void {
    this.hasStoppedAccepting = true;
  }

  acceptsRequests(): boolean {
    return !this.hasStoppedAccepting;
  }

  beginRequest(): () => void {
    this.inFlightCount += 1;
    return () => {
      this.inFlightCount -= 1;
    };
  }

  inFlight(): number {
    return this.inFlightCount;
  }

  uptimeS(): number {
    const uptimeMs = this.kernel.find(core.CLOCK).nowMs() - this.startedMs;
    return Math.floor(uptimeMs / 1_000);
  }
}
