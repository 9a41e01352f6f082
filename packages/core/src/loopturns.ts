/**
 * Turns of the event loop for work that can wait. Node.js accepts one new
 * connection in a turn, so what many connections do in the same turn keeps new
 * callers out.
 */

/** Hands out turns of the event loop. */
export interface LoopTurns {
  /** Resolves in a later turn of the event loop. */
  next(): Promise<void>;
}

/** Lets one go on in each turn, in order of arrival. */
export class SingleLoopTurns implements LoopTurns {
  private readonly waiting: Array<() => void> = [];

  next(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      if (this.waiting.length === 1) this.schedule();
    });
  }

  private schedule(): void {
    setImmediate(() => {
      this.waiting.shift()?.();
      if (this.waiting.length > 0) this.schedule();
    });
  }
}
