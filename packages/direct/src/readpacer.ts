/**
 * Paces the reading of connections by one budget of items. A connection beyond
 * its free rate is paused, and resumed at once if the budget allows; otherwise one
 * task resumes them in turn. Closes those that exceed a limit of their own.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';

/** Items in a second: some 20% of a core, at 4 to 6 us for each. */
const ITEMS_PER_S = 40_000;
const BURST_ITEMS = 10_000;
const MAX_DEBT_ITEMS = 200_000;

/** Delay from which on callers that send many items give way, in ms. */
const MAX_DELAY_MS = 1_000;

/** Shortest time between two resumed connections, in ms. */
const MIN_TURN_MS = 5;

/** Maximum number of closed connections that are logged in a second. */
const MAX_LINES_PER_SECOND = 10;

/** Paces by `decide.ItemBudget`. */
export class BudgetedReadPacer
  extends core.TaskService
  implements core.ReadPacer
{
  /** A property, since it is passed on for each piece of a body. */
  readonly nowMs = (): number => this.kernel.find(core.CLOCK).nowMs();
  private readonly budget = new decide.ItemBudget({
    itemsPerS: ITEMS_PER_S,
    burstItems: BURST_ITEMS,
    maxDebtItems: MAX_DEBT_ITEMS,
  });
  private readonly paused = new core.Mailbox<PacedMeter>();
  private readonly pauses: prom.Counter;
  private readonly stops: prom.Counter<'reason'>;
  private readonly quota: core.LogQuota;

  constructor(kernel: core.Kernel) {
    super(kernel, 'read-pacer');
    const registers = [kernel.find(core.METRICS).registry()];
    const {paused} = this;
    this.pauses = new prom.Counter({
      name: 'oleander_reading_paused_total',
      help: 'Pauses of connections that sent very many small items.',
      registers,
    });
    this.stops = new prom.Counter({
      name: 'oleander_reading_stopped_total',
      help: 'Connections closed for very many small items, by reason.',
      labelNames: ['reason'],
      registers,
    });
    new prom.Gauge({
      name: 'oleander_reading_waiting',
      help: 'Paused connections that wait for their turn to be read.',
      registers,
      collect() {
        this.set(paused.size);
      },
    });
    const log = kernel.find(core.LOGGER);
    this.quota = new core.LogQuota(
      'reading_stopped',
      MAX_LINES_PER_SECOND,
      log,
    );
  }

  meter(connection: core.PacedConnection): core.ItemMeter {
    return new PacedMeter(this, connection);
  }

  /** Charges items; returns whether so many are owed that callers give way. */
  charge(items: number): boolean {
    const nowMs = this.nowMs();
    this.budget.charge(items, nowMs);
    return this.budget.delayMs(nowMs) > MAX_DELAY_MS;
  }

  /** Resumes a paused connection, in its turn if need be. */
  settle(meter: PacedMeter): void {
    this.pauses.inc();
    if (this.budget.delayMs(this.nowMs()) === 0) meter.resume();
    else this.paused.put(meter);
  }

  /** Counts and logs that a connection was closed. */
  recordStop(
    {peer}: core.PacedConnection,
    reason: core.StopReason,
    items: number,
  ): void {
    this.stops.inc({reason});
    if (!this.quota.consume(this.nowMs())) return;
    const log = this.kernel.find(core.LOGGER);
    log.warn('reading_stopped', {peer, reason, items});
  }

  override stop(): Promise<void> {
    this.paused.close();
    return super.stop();
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      const meter = await this.paused.take();
      if (!meter) return;
      if (meter.isClosed) continue;
      const delayMs = this.budget.delayMs(this.nowMs());
      await clock.sleep(Math.max(MIN_TURN_MS, delayMs), signal);
      meter.resume();
    }
  }
}

/** The meter of one connection. */
class PacedMeter implements core.ItemMeter {
  isClosed = false;
  private readonly count = new decide.ItemCount();
  private isPaused = false;
  private excessItems = 0;

  constructor(
    private readonly pacer: BudgetedReadPacer,
    private readonly connection: core.PacedConnection,
  ) {}

  record(items: number): void {
    if (!this.count.add(items, this.pacer.nowMs)) return;
    if (this.isClosed) return;
    const excessItems = this.count.take(this.pacer.nowMs());
    this.excessItems += excessItems;
    const isOverdrawn = this.pacer.charge(excessItems);
    const {maxExcessItems = Number.POSITIVE_INFINITY} = this.connection;
    if (this.excessItems > maxExcessItems) {
      this.recordStop('small_items');
      this.close();
      this.connection.closeForItems();
    } else if (isOverdrawn && this.connection.giveWay) {
      this.close();
      this.connection.giveWay();
    } else {
      this.pause();
    }
  }

  recordStop(reason: core.StopReason): void {
    this.pacer.recordStop(this.connection, reason, this.excessItems);
  }

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.connection.resumeReading();
  }

  close(): void {
    this.isClosed = true;
    this.resume();
  }

  private pause(): void {
    if (this.isPaused) return;
    this.isPaused = true;
    this.connection.pauseReading();
    // What was read already is still parsed in this turn.
    setImmediate(() => {
      if (this.isPaused) this.pacer.settle(this);
    });
  }
}
