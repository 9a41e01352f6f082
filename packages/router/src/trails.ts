/**
 * Trails: what was considered and decided for each of the last requests, so
 * that an operator can ask where a request went and why.
 */
import * as core from '@oleanderrock/core';
import * as lru from 'lru-cache';

/** One step of a request at one router. */
export type Step = core.Step;

/** Store of the steps of the last requests. */
export interface Trails {
  note(
    requestId: string,
    step: string,
    detail: string,
    endpoint?: string,
  ): void;
  /** The steps of a request at this router, the oldest first. */
  find(requestId: string): readonly Step[];
}

/** The contract under which the trails are registered. */
export const TRAILS = core.contract<Trails>('trails', ['note', 'find']);

/** Options of the bounded trails. */
export interface BoundedTrailsOptions {
  readonly router: string;
  readonly maxRequests: number;
}

/** Trails of the newest requests; each step is also a line of the log. */
export class BoundedTrails implements Trails {
  private readonly steps: lru.LRUCache<string, Step[]>;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: BoundedTrailsOptions,
  ) {
    this.steps = new lru.LRUCache({max: options.maxRequests});
  }

  note(
    requestId: string,
    step: string,
    detail: string,
    endpoint?: string,
  ): void {
    const {router} = this.options;
    const clock = this.kernel.find(core.CLOCK);
    const steps = this.steps.get(requestId) ?? [];
    steps.push({at_ms: clock.wallMs(), router, step, endpoint, detail});
    this.steps.set(requestId, steps);
    const log = this.kernel.find(core.LOGGER);
    log.info('route', {request: requestId, step, endpoint, detail});
  }

  find(requestId: string): readonly Step[] {
    return this.steps.get(requestId) ?? [];
  }
}
