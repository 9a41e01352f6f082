/** An endpoint's load over time, so that its report can lag. */
import type * as core from '@oleanderrock/core';

const KEPT_MS = 60_000;

/** The load at one time. */
export interface Load {
  readonly in_flight: number;
  readonly queued: number;
  readonly state: 'live' | 'leaving';
}

interface Sample {
  readonly atMs: number;
  readonly load: Load;
}

const IDLE: Load = {in_flight: 0, queued: 0, state: 'live'};

/** Samples of the load, one for each change. */
export class LoadHistory {
  private readonly samples: Sample[] = [];

  constructor(private readonly clock: core.Clock) {}

  /** Adds the load as it is now. */
  add(load: Load): void {
    const atMs = this.clock.nowMs();
    this.samples.push({atMs, load});
    if ((this.samples[1]?.atMs ?? atMs) < atMs - KEPT_MS) this.samples.shift();
  }

  /** The load as it was `lagMs` ago. */
  read(lagMs: number): Load {
    const atMs = this.clock.nowMs() - lagMs;
    return this.samples.findLast(sample => sample.atMs <= atMs)?.load ?? IDLE;
  }
}
