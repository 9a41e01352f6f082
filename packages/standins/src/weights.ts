/** The platform's rate-limited store of weights. */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as platformFaults from './platformfaults.js';
import * as ratelimit from './ratelimit.js';

/** Weights by key; a key without one weighs 1. */
export class Weights {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly limit = new ratelimit.RateLimit();
  private readonly weights = new Map<string, number>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
  }

  /** Whether one more call is within the rate limit. */
  admit(): boolean {
    const perSecond = this.faults.now.weight_calls_per_second;
    return this.limit.take(this.clock.nowMs(), perSecond);
  }

  get(key: string): number {
    return this.weights.get(key) ?? 1;
  }

  set(key: string, weight: number): void {
    this.weights.set(key, weight);
  }
}

/** The contract under which the weights are registered. */
export const WEIGHTS = core.contract<Weights>('weights', [
  'admit',
  'get',
  'set',
]);
