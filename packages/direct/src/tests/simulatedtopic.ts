/** Test support: a topic of the store with the newest record of each key. */
import type * as direct from '../index.js';

/** Whether the value stands for the removal of its key. */
function isWithdrawn(value: unknown): boolean {
  return (value as {is?: string}).is === 'withdrawn';
}

/** A record of a topic. */
export type Row<T> = direct.FeedRecord<T>;

/** One topic of the simulated store. */
export class SimulatedTopic<T> {
  readonly rows: Array<Row<T>> = [];
  private readonly waiters = new Set<() => void>();

  put(key: string, value: T | undefined): void {
    this.rows.push({key, offset: this.rows.length, value});
    for (const wake of this.waiters) wake();
    this.waiters.clear();
  }

  latest(): Array<Row<T>> {
    const newest = new Map(this.rows.map(row => [row.key, row]));
    return [...newest.values()].filter(
      ({value}) => value !== undefined && !isWithdrawn(value),
    );
  }

  waitForMore(): Promise<void> {
    return new Promise(resolve => this.waiters.add(resolve));
  }
}
