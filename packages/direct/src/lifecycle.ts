/** This router's phase, and the requests that it has in flight. */
import * as core from '@oleanderrock/core';
import * as endpointBook from './endpointbook.js';
import type * as fleetBook from './fleetbook.js';
import * as tablesBook from './tablesbook.js';

/** Phase and requests in flight. */
export interface Life {
  phase(): fleetBook.Phase;
  /** Begins the graceful stop. */
  leave(): void;
  /** Takes no new requests from now on. */
  close(): void;
  takesRequests(): boolean;
  /** Counts a request; the returned function ends it. */
  enter(): () => void;
  inFlight(): number;
  /** How long this router has run, in whole s. */
  upS(): number;
}

/** The contract under which the phase is registered. */
export const LIFE = core.contract<Life>('life', [
  'phase',
  'leave',
  'close',
  'takesRequests',
  'enter',
  'inFlight',
  'upS',
]);

/** Ready once tables and endpoints are known, until the stop begins. */
export class RouterLife implements Life {
  private isLeaving = false;
  private isClosed = false;
  private count = 0;

  private readonly startedMs: number;

  constructor(private readonly kernel: core.Kernel) {
    this.startedMs = kernel.find(core.CLOCK).nowMs();
  }

  phase(): fleetBook.Phase {
    if (this.isLeaving) return 'leaving';
    const tables = this.kernel.find(tablesBook.TABLES_BOOK);
    const endpoints = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    const isKnown = tables.current() && endpoints.nextOffset() > 0;
    return isKnown ? 'ready' : 'starting';
  }

  leave(): void {
    this.isLeaving = true;
  }

  close(): void {
    this.isClosed = true;
  }

  takesRequests(): boolean {
    return !this.isClosed;
  }

  enter(): () => void {
    this.count += 1;
    return () => {
      this.count -= 1;
    };
  }

  inFlight(): number {
    return this.count;
  }

  upS(): number {
    const upMs = this.kernel.find(core.CLOCK).nowMs() - this.startedMs;
    return Math.floor(upMs / 1_000);
  }
}
