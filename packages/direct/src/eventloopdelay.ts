/**
 * Measures by how much the event loop is held up: how late a timer fires. While
 * it is, the process answers nobody.
 */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';

/** Interval between measurements, in ms. */
const INTERVAL_MS = 1_000;

/** The contract under which the measurement is registered. */
export const EVENT_LOOP_DELAY = core.contract<core.Lifecycle>(
  'event-loop-delay',
  ['start', 'stop'],
);

/** Reports the largest delay since the metrics were last read. */
export class EventLoopDelay extends core.TaskService {
  private maxDelayMs = 0;

  constructor(kernel: core.Kernel) {
    super(kernel, 'event-loop-delay');
    const take = () => this.takeMaxDelayMs();
    new prom.Gauge({
      name: 'oleander_event_loop_delay_ms',
      help: 'Largest delay of the event loop since the last read, in ms.',
      registers: [kernel.find(core.METRICS).registry()],
      collect() {
        this.set(take());
      },
    });
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      const startMs = clock.nowMs();
      await clock.sleep(INTERVAL_MS, signal);
      const delayMs = clock.nowMs() - startMs - INTERVAL_MS;
      this.maxDelayMs = Math.max(this.maxDelayMs, delayMs);
    }
  }

  private takeMaxDelayMs(): number {
    const {maxDelayMs} = this;
    this.maxDelayMs = 0;
    return maxDelayMs;
  }
}
