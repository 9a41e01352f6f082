/**
 * Keeps the heap near its live size. V8 lets a small heap grow by 8 MB and more
 * before it collects the old generation; on instances where memory is dear, a
 * collection of a few milliseconds now and then costs less. It needs the flag
 * `--expose-gc`, and does nothing without it.
 */
import * as kernel from './kernel.js';
import * as clock from './clock.js';
import * as logger from './logger.js';
import * as tasks from './tasks.js';

/** Pause between looks at the heap, in ms. */
const LOOK_MS = 2_000;

/** Growth since the last collection that brings the next one, in bytes. */
const GROWTH_BYTES = 768 * 1_024;

/** Keeper of the heap. */
export type HeapKeeper = kernel.Lifecycle;

/** The contract under which the keeper is registered. */
export const HEAP = kernel.contract<HeapKeeper>('heap', ['start', 'stop']);

/** Collects by the growth of the used heap. */
export class GrowthHeapKeeper implements HeapKeeper {
  private readonly group: tasks.TaskGroup;

  constructor(private readonly services: kernel.Kernel) {
    this.group = new tasks.TaskGroup(services.find(logger.LOGGER));
  }

  start(): Promise<void> {
    const {gc} = globalThis;
    if (gc) this.group.spawn('heap', signal => this.run(gc, signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.group.stop();
  }

  private async run(
    collect: NodeJS.GCFunction,
    signal: AbortSignal,
  ): Promise<void> {
    const time = this.services.find(clock.CLOCK);
    let liveBytes = 0;
    while (!signal.aborted) {
      const {heapUsed} = process.memoryUsage();
      if (heapUsed > liveBytes + GROWTH_BYTES) {
        collect();
        liveBytes = process.memoryUsage().heapUsed;
      }
      await time.sleep(LOOK_MS, signal);
    }
  }
}
