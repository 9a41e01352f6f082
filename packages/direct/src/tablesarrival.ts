/**
 * The wait of requests that arrive before this router has its first tables, as
 * after the loss of all routers: they are served once the tables are in force,
 * instead of being refused a moment before. Bounded in number and time; their
 * bodies are not read until then.
 */
import * as core from '@oleanderrock/core';
import * as activeTables from './activetables.js';
import * as runState from './runstate.js';

/** Lets requests wait for the first tables. */
export interface TablesArrival {
  /**
   * Waits until there are tables, or as long as is of use to a caller that waits
   * so long itself; never rejects.
   */
  wait(
    callerTimeoutMs: number | undefined,
    callerGone: AbortSignal,
  ): Promise<void>;
}

/** The contract under which the wait for the first tables is registered. */
export const TABLES_ARRIVAL = core.contract<TablesArrival>('tables-arrival', [
  'wait',
]);

/** Maximum number of requests that wait. */
const MAX_WAITING = 128;

/**
 * Longest wait, in ms and as a share of the caller's time: callers give up a
 * request that is not read after 1 s or a third of their time.
 */
const MAX_WAIT_MS = 900;
const MAX_WAIT_SHARE = 0.3;

/** Waits for the first change of the tables in force. */
export class BoundedTablesArrival implements TablesArrival {
  private readonly arrived = new AbortController();
  private waitingCount = 0;

  constructor(private readonly kernel: core.Kernel) {
    kernel
      .find(activeTables.ACTIVE_TABLES)
      .onChange(() => this.arrived.abort());
  }

  async wait(
    callerTimeoutMs = MAX_WAIT_MS / MAX_WAIT_SHARE,
    callerGone: AbortSignal,
  ): Promise<void> {
    const acceptsRequests = this.kernel
      .find(runState.RUN_STATE)
      .acceptsRequests();
    if (!acceptsRequests || this.waitingCount >= MAX_WAITING) return;
    const maxWaitMs = Math.min(MAX_WAIT_MS, callerTimeoutMs * MAX_WAIT_SHARE);
    const ends = AbortSignal.any([this.arrived.signal, callerGone]);
    this.waitingCount += 1;
    try {
      await this.kernel.find(core.CLOCK).sleep(maxWaitMs, ends);
    } finally {
      this.waitingCount -= 1;
    }
  }
}
