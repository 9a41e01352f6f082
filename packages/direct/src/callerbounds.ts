/**
 * Bounds on what callers may take of this process: one budget of bytes for all
 * listeners, and seats for the connections of each. What gives way is decided
 * by `decide.HeldBytesBudget` and `decide.ConnectionSeats`; this service passes
 * it on to the connections, counts it, and logs it.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import type * as settings from './settings.js';

/** Part of the memory that requests and answers may hold by default. */
const HELD_PART = 0.25;

const BYTES_PER_MB = 1_048_576;

/** Descriptors that are left to files. */
const FILE_DESCRIPTORS = 200;

/**
 * Parts of the other descriptors that connections of callers may take: at the
 * listener for requests, and at each other one. The rest is for own connections.
 */
const ENTRY_PART = 0.5;
const AUXILIARY_PART = 0.0625;
const MIN_SEATS = 16;

/** Interval between checks for callers that stand still, in ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Maximum number of cuts that are logged in a second. */
const MAX_LINES_PER_SECOND = 10;

/** Bounds on the connections of callers. */
export interface CallerBounds extends core.Lifecycle {
  /** The bounds of a listener. */
  of(listener: string): core.ConnectionBounds;
}

/** The contract under which the bounds of callers are registered. */
export const CALLER_BOUNDS = core.contract<CallerBounds>('caller-bounds', [
  'of',
]);

/** Bytes that may be held for requests and answers of callers. */
export function heldLimitBytes({heldMb, memoryMb}: settings.Settings): number {
  return BYTES_PER_MB * (heldMb > 0 ? heldMb : memoryMb * HELD_PART);
}

/** Bounds by the settings. */
export class BudgetedCallerBounds
  extends core.TaskService
  implements CallerBounds
{
  readonly budget: decide.HeldBytesBudget;
  private readonly turns = new core.SingleLoopTurns();
  private readonly cuts: prom.Counter<'listener' | 'reason'>;
  private readonly quota: core.LogQuota;
  private readonly seatsByListener = new Map<string, decide.ConnectionSeats>();

  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    super(kernel, 'caller-bounds');
    const {stallMs} = routerSettings;
    const limitBytes = heldLimitBytes(routerSettings);
    this.budget = new decide.HeldBytesBudget({limitBytes, stallMs});
    const log = kernel.find(core.LOGGER);
    this.quota = new core.LogQuota('caller_cut', MAX_LINES_PER_SECOND, log);
    this.cuts = this.registerMetrics(limitBytes);
  }

  of(listener: string): core.ConnectionBounds {
    const seats = new decide.ConnectionSeats(() => this.seatLimit(listener));
    this.seatsByListener.set(listener, seats);
    return {
      turns: this.turns,
      admit: connection => {
        const memory = new BoundedMemory(this, seats, connection, listener);
        return memory.isAdmitted ? memory : undefined;
      },
    };
  }

  /** Counts and logs that a connection gave way. */
  recordCut(
    listener: string,
    address: string,
    reason: core.CutReason,
    heldBytes: number,
  ): void {
    this.cuts.inc({listener, reason});
    if (!this.quota.consume(this.nowMs())) return;
    this.kernel.find(core.LOGGER).warn('caller_cut', {
      listener,
      address,
      reason,
      held_bytes: heldBytes,
      all_held_bytes: this.budget.heldBytes,
      connections: this.seatsByListener.get(listener)?.taken,
    });
  }

  nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }

  get collector(): core.HeapCollector {
    return this.kernel.find(core.HEAP_COLLECTOR);
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.find(core.CLOCK).sleep(CHECK_INTERVAL_MS, signal);
      this.budget.cutStalled(this.nowMs());
    }
  }

  private seatLimit(listener: string): number {
    const sockets = this.routerSettings.maxFds - FILE_DESCRIPTORS;
    const part = listener === 'entry' ? ENTRY_PART : AUXILIARY_PART;
    return Math.max(MIN_SEATS, Math.floor(sockets * part));
  }

  private registerMetrics(
    limitBytes: number,
  ): prom.Counter<'listener' | 'reason'> {
    const registers = [this.kernel.find(core.METRICS).registry()];
    const {budget, seatsByListener} = this;
    new prom.Gauge({
      name: 'oleander_held_bytes',
      help: 'Bytes held for requests and answers of callers.',
      registers,
      collect() {
        this.set(budget.heldBytes);
      },
    });
    new prom.Gauge({
      name: 'oleander_held_limit_bytes',
      help: 'Bytes that may be held for requests and answers of callers.',
      registers,
    }).set(limitBytes);
    new prom.Gauge({
      name: 'oleander_caller_connections',
      help: 'Open connections of callers.',
      labelNames: ['listener'],
      registers,
      collect() {
        for (const [listener, {taken}] of seatsByListener) {
          this.set({listener}, taken);
        }
      },
    });
    return new prom.Counter({
      name: 'oleander_callers_cut_total',
      help: 'Connections of callers that gave way, by reason.',
      labelNames: ['listener', 'reason'],
      registers,
    });
  }
}

/** The account and the seat of one connection. */
class BoundedMemory implements core.ConnectionMemory {
  readonly isAdmitted: boolean;
  private readonly account: decide.ByteAccount;
  private readonly seat: decide.Seat;

  constructor(
    private readonly bounds: BudgetedCallerBounds,
    private readonly seats: decide.ConnectionSeats,
    private readonly connection: core.BoundedConnection,
    private readonly listener: string,
  ) {
    const nowMs = bounds.nowMs();
    this.seat = {
      address: connection.address,
      restsSinceMs: nowMs,
      hasAsked: false,
      vacate: () => this.cut('seats'),
    };
    this.account = bounds.budget.open({cut: reason => this.cut(reason)}, nowMs);
    this.isAdmitted = seats.take(this.seat, nowMs);
    if (this.isAdmitted) return;
    this.recordCut('seats');
    this.close();
  }

  hold(bytes: number): boolean {
    const {budget} = this.bounds;
    return budget.hold(this.account, bytes, this.bounds.nowMs());
  }

  holdWaiting(bytes: number): boolean {
    return this.bounds.budget.holdWaiting(this.account, bytes);
  }

  endWaiting(bytes: number): void {
    this.bounds.budget.endWaiting(this.account, bytes);
  }

  release(bytes: number): void {
    const releasedBytes = this.bounds.budget.release(this.account, bytes);
    this.bounds.collector.recordReleased(releasedBytes);
  }

  recordProgress(): void {
    const nowMs = this.bounds.nowMs();
    this.account.progressMs = nowMs;
    if (this.seat.restsSinceMs !== undefined) this.seat.restsSinceMs = nowMs;
  }

  setAwaitsCaller(isAwaiting: boolean): void {
    const {account, seat} = this;
    account.awaitsCaller = isAwaiting;
    if (!account.isServed) {
      seat.restsSinceMs = isAwaiting ? account.progressMs : undefined;
    }
    this.recordProgress();
  }

  setServed(isServed: boolean): void {
    this.account.isServed = isServed;
    if (isServed) this.seat.restsSinceMs = undefined;
    this.recordProgress();
  }

  setResting(isResting: boolean): void {
    this.seat.hasAsked = true;
    this.seat.restsSinceMs = isResting ? this.bounds.nowMs() : undefined;
  }

  recordPassed(bytes: number): void {
    this.bounds.collector.recordPassed(bytes);
  }

  recordCut(reason: core.CutReason): void {
    const {heldBytes} = this.account;
    const {address} = this.connection;
    this.bounds.recordCut(this.listener, address, reason, heldBytes);
  }

  close(): void {
    this.bounds.collector.recordReleased(this.account.heldBytes);
    this.bounds.budget.close(this.account);
    this.seats.leave(this.seat);
  }

  private cut(reason: core.CutReason): void {
    const {heldBytes} = this.account;
    this.recordCut(reason);
    this.connection.cut(reason);
    this.bounds.collector.recordReleased(heldBytes);
  }
}
