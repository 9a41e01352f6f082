/** History of an endpoint's load, from which delayed load reports are read. */
import type * as core from '@oleanderrock/core';

/** How long samples are kept. */
const KEEP_MS = 60_000;

/** Load of an endpoint at one moment. */
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

/** Load samples, one for each change. */
export class LoadHistory {
  private readonly samples: Sample[] = [];

  constructor(private readonly clock: core.Clock) {}

  /** Adds the current load and drops a sample that is no longer needed. */
  add(load: Load): void {
    const atMs = this.clock.nowMs();
    this.samples.push({atMs, load});
    if ((this.samples[1]?.atMs ?? atMs) < atMs - KEEP_MS) this.samples.shift();
  }

  /** Load as it was `lagMs` ago; idle if no sample is that old. */
  read(lagMs: number): Load {
    const atMs = this.clock.nowMs() - lagMs;
    return this.samples.findLast(sample => sample.atMs <= atMs)?.load ?? IDLE;
  }
}
