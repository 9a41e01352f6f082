/**
 * Long-lived tasks. Each connection and each peer has one task, an async
 * function that performs its steps in sequence. A group starts tasks, logs their
 * failures and stops them together.
 */
import * as events from 'node:events';
import type * as clocks from './clock.js';
import * as errors from './errors.js';
import type * as logger from './logger.js';

/** Function that a task runs; it must return soon after `signal` aborts. */
export type TaskBody = (signal: AbortSignal) => Promise<void>;

/** Pause before a service's task that failed runs again, in ms. */
const RESTART_DELAY_MS = 500;

/**
 * Runs an operation whose end nobody waits for. If it fails, the error is logged
 * with its name.
 */
export function detach(
  log: logger.Logger,
  name: string,
  operation: () => Promise<unknown>,
): void {
  const run = async () => {
    try {
      await operation();
    } catch (error) {
      logFailure(log, name, error);
    }
  };
  void run();
}

function logFailure(log: logger.Logger, name: string, error: unknown): void {
  const reason = errors.errorMessage(error);
  log.error('task_failed', {task: name, reason});
}

/** A group of running tasks that are stopped together. */
export class TaskGroup {
  private readonly runningTasks = new Set<Promise<void>>();
  private readonly controller = new AbortController();

  constructor(private readonly log: logger.Logger) {
    // Each sleeping task adds a listener to the signal; above the default
    // limit on listeners, Node.js would warn of a memory leak.
    events.EventEmitter.setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when the group stops. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Number of running tasks. */
  get size(): number {
    return this.runningTasks.size;
  }

  /** Starts a task; if it throws, the error is logged with its name. */
  spawn(name: string, body: TaskBody): void {
    const task = this.runAndLogFailure(name, body);
    this.runningTasks.add(task);
    void task.then(() => this.runningTasks.delete(task));
  }

  /**
   * Starts the task of a service, which runs until the group stops; if it
   * throws, the error is logged and the task runs again.
   */
  supervise(name: string, clock: clocks.Clock, body: TaskBody): void {
    this.spawn(name, async signal => {
      while (!signal.aborted) {
        try {
          return await body(signal);
        } catch (error) {
          if (signal.aborted) return;
          logFailure(this.log, name, error);
          await clock.sleep(RESTART_DELAY_MS, signal);
        }
      }
    });
  }

  /** Aborts the signal; resolves when all tasks have returned. */
  async stop(): Promise<void> {
    this.controller.abort();
    await Promise.all(this.runningTasks);
  }

  private async runAndLogFailure(name: string, body: TaskBody): Promise<void> {
    try {
      await body(this.controller.signal);
    } catch (error) {
      if (this.controller.signal.aborted) return;
      logFailure(this.log, name, error);
    }
  }
}
