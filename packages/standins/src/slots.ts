/** Slots of an engine: a semaphore that serves waiters in order of arrival. */

/** A fixed number of slots. */
export class Slots {
  private readonly waiters = new Set<() => void>();
  private usedCount = 0;

  constructor(private readonly size: number) {}

  /** Number of requests that wait for a slot. */
  get queued(): number {
    return this.waiters.size;
  }

  /** Acquires a slot in order of arrival; false if `signal` aborts first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.usedCount < this.size) {
      this.usedCount += 1;
      return true;
    }
    return this.waitForSlot(signal);
  }

  /** Releases a slot, to the longest-waiting request if there is one. */
  release(): void {
    const [grantNext] = this.waiters;
    if (grantNext) grantNext();
    else this.usedCount -= 1;
  }

  private waitForSlot(signal: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
      const abandon = () => {
        this.waiters.delete(grant);
        resolve(false);
      };
      const grant = () => {
        this.waiters.delete(grant);
        signal.removeEventListener('abort', abandon);
        resolve(true);
      };
      this.waiters.add(grant);
      signal.addEventListener('abort', abandon, {once: true});
    });
  }
}
