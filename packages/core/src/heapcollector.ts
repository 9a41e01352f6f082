/**
 * Keeps the heap close to the size of its live objects. V8 lets a small heap
 * grow by 8 MB and more before it collects the old generation. On instances
 * with little memory, that growth costs more than an occasional collection of a
 * few milliseconds. Does nothing without the Node.js flag `--expose-gc`.
 */
import * as kernels from './kernel.js';
import * as clock from './clock.js';
import * as logger from './logger.js';
import * as tasks from './tasks.js';

/** Interval between checks of the heap size, in ms. */
const CHECK_INTERVAL_MS = 2_000;

/** Heap growth since the last collection that triggers the next, in bytes. */
const TRIGGER_GROWTH_BYTES = 768 * 1_024;

/** Part of the released bytes after which bytes that passed are collected. */
const PASSED_PART = 0.5;

/** Service that triggers garbage collections. */
export interface HeapCollector extends kernels.Lifecycle {
  /** Records bytes outside the heap that were held and are held no longer. */
  recordReleased(bytes: number): void;
  /** Records bytes outside the heap that were held for a moment only. */
  recordPassed(bytes: number): void;
}

/** Kernel contract of the heap collector. */
export const HEAP_COLLECTOR = kernels.contract<HeapCollector>(
  'heap-collector',
  ['start', 'stop', 'recordReleased', 'recordPassed'],
);

/** Triggers a collection when the used heap has grown by a fixed amount. */
export class GrowthHeapCollector implements HeapCollector {
  private readonly tasks: tasks.TaskGroup;
  private releasedBytes = 0;
  private passedBytes = 0;

  /**
   * @param triggerBytes released bytes outside the heap after which a collection
   *     follows at once; V8 waits for tens of MB of them
   */
  constructor(
    private readonly kernel: kernels.Kernel,
    private readonly triggerBytes: number,
  ) {
    this.tasks = new tasks.TaskGroup(kernel.find(logger.LOGGER));
  }

  start(): Promise<void> {
    const {gc} = globalThis;
    if (gc) this.tasks.spawn('heap-collector', signal => this.run(gc, signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  recordReleased(bytes: number): void {
    this.releasedBytes += bytes;
    if (this.releasedBytes < this.triggerBytes) return;
    this.releasedBytes = 0;
    this.passedBytes = 0;
    void globalThis.gc?.();
  }

  recordPassed(bytes: number): void {
    this.passedBytes += bytes;
    if (this.passedBytes < PASSED_PART * this.triggerBytes) return;
    this.passedBytes = 0;
    void globalThis.gc?.({type: 'minor'});
  }

  private async run(
    collect: NodeJS.GCFunction,
    signal: AbortSignal,
  ): Promise<void> {
    const timeSource = this.kernel.find(clock.CLOCK);
    let liveBytes = 0;
    while (!signal.aborted) {
      const {heapUsed} = process.memoryUsage();
      if (heapUsed > liveBytes + TRIGGER_GROWTH_BYTES) {
        collect();
        this.releasedBytes = 0;
        liveBytes = process.memoryUsage().heapUsed;
      }
      await timeSource.sleep(CHECK_INTERVAL_MS, signal);
    }
  }
}
