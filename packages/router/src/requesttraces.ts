/**
 * Request traces: the routing decisions for each of the latest requests, from
 * which an operator can find out how a request was routed and why.
 */
import * as core from '@oleanderrock/core';
import * as lru from 'lru-cache';

/** One routing step of a request at one router. */
export type Step = core.TraceStep;

/** Store of the steps of the latest requests. */
export interface RequestTraces {
  /** Adds a step to the trace of a request. */
  record(
    requestId: string,
    step: string,
    detail: string,
    endpoint?: string,
  ): void;
  /** The steps of a request at this router, the oldest first. */
  find(requestId: string): readonly Step[];
}

/** The contract under which the request traces are registered. */
export const REQUEST_TRACES = core.contract<RequestTraces>('request-traces', [
  'record',
  'find',
]);

/** Options of the bounded request traces. */
export interface BoundedRequestTracesOptions {
  /** The name of this router, which each step carries. */
  readonly router: string;
  /** Capacity; beyond it, the least recently used trace is evicted. */
  readonly maxRequests: number;
}

/** Traces of the latest requests; each step is also logged. */
export class BoundedRequestTraces implements RequestTraces {
  private readonly stepsByRequest: lru.LRUCache<string, Step[]>;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: BoundedRequestTracesOptions,
  ) {
    this.stepsByRequest = new lru.LRUCache({max: options.maxRequests});
  }

  record(
    requestId: string,
    step: string,
    detail: string,
    endpoint?: string,
  ): void {
    const {router} = this.options;
    const clock = this.kernel.find(core.CLOCK);
    const steps = this.stepsByRequest.get(requestId) ?? [];
    steps.push({at_ms: clock.wallClockMs(), router, step, endpoint, detail});
    this.stepsByRequest.set(requestId, steps);
    const log = this.kernel.find(core.LOGGER);
    log.info('route', {request: requestId, step, endpoint, detail});
  }

  find(requestId: string): readonly Step[] {
    return this.stepsByRequest.get(requestId) ?? [];
  }
}
