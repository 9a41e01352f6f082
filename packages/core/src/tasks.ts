/**
 * Long-lived tasks. Each connection and each peer has one task, an async
 * function written straight down; a group starts them, reports those that fail
 * and ends them together.
 */
import * as events from 'node:events';
import type * as logger from './logger.js';

/** A task's body. It returns soon after `signal` aborts. */
export type TaskBody = (signal: AbortSignal) => Promise<void>;

/** A set of running tasks that end together. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();
  private readonly controller = new AbortController();

  constructor(private readonly log: logger.Logger) {
    // Each sleeping task listens to the signal, so their number has no limit.
    events.EventEmitter.setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when the group stops. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** How many tasks run. */
  get size(): number {
    return this.running.size;
  }

  /** Starts a task; an error it throws is logged under its name. */
  spawn(name: string, body: TaskBody): void {
    const task = this.guard(name, body);
    this.running.add(task);
    void task.then(() => this.running.delete(task));
  }

  /** Aborts all tasks and resolves when the last has returned. */
  async stop(): Promise<void> {
    this.controller.abort();
    await Promise.all(this.running);
  }

  private async guard(name: string, body: TaskBody): Promise<void> {
    try {
      await body(this.controller.signal);
    } catch (error) {
      if (this.controller.signal.aborted) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.log.error('task_failed', {task: name, reason});
    }
  }
}
