/** Base class of services that consist of one long-lived task. */
import * as clocks from './clock.js';
import type * as kernels from './kernel.js';
import * as logger from './logger.js';
import * as tasks from './tasks.js';

/** Base class of services that run one task from start to stop. */
export abstract class TaskService implements kernels.Lifecycle {
  private readonly tasks: tasks.TaskGroup;

  constructor(
    protected readonly kernel: kernels.Kernel,
    private readonly taskName: string,
  ) {
    this.tasks = new tasks.TaskGroup(kernel.find(logger.LOGGER));
  }

  start(): Promise<void> {
    const clock = this.kernel.find(clocks.CLOCK);
    this.tasks.supervise(this.taskName, clock, signal => this.run(signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  /**
   * Body of the task, which runs again if it throws; must return soon after
   * `signal` aborts.
   */
  protected abstract run(signal: AbortSignal): Promise<void>;
}
