/** The slots of an engine; requests above them wait in order of arrival. */

/** A bounded number of places. */
export class Slots {
  private readonly waiting = new Set<() => void>();
  private taken = 0;

  constructor(private readonly size: number) {}

  /** How many requests wait. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Takes a slot, in order of arrival; false where `signal` aborts first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.taken < this.size) {
      this.taken += 1;
      return true;
    }
    return this.queue(signal);
  }

  /** Gives a slot back, to the request that waits longest. */
  release(): void {
    const [next] = this.waiting;
    if (next) next();
    else this.taken -= 1;
  }

  private queue(signal: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
      const leave = () => {
        this.waiting.delete(enter);
        resolve(false);
      };
      const enter = () => {
        this.waiting.delete(enter);
        signal.removeEventListener('abort', leave);
        resolve(true);
      };
      this.waiting.add(enter);
      signal.addEventListener('abort', leave, {once: true});
    });
  }
}
