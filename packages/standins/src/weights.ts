/** The platform's store of weights, which limits the rate of calls. */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as platformFaults from './platformfaults.js';
import * as rateLimit from './ratelimit.js';

/** Weights by key; the default weight is 1. */
export class Weights {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly rateLimit = new rateLimit.RateLimit();
  private readonly weightByKey = new Map<string, number>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
  }

  /** Admits and counts a call; false if it exceeds the rate limit. */
  tryAdmit(): boolean {
    const perSecond = this.faults.current.weight_calls_per_second;
    return this.rateLimit.tryAdmit(this.clock.nowMs(), perSecond);
  }

  get(key: string): number {
    return this.weightByKey.get(key) ?? 1;
  }

  set(key: string, weight: number): void {
    this.weightByKey.set(key, weight);
  }
}

/** Contract of the weights. */
export const WEIGHTS = core.contract<Weights>('weights', [
  'tryAdmit',
  'get',
  'set',
]);
