/**
 * The platform's list of instances. Each change makes a version, and a version
 * becomes visible only after the lag; what was visible never goes back.
 */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as notice from './notice.js';
import * as platformFaults from './platformfaults.js';

interface Version {
  readonly list: core.InstanceList;
  readonly madeMs: number;
}

/** The list of instances and its versions. */
export class Instances {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly changed: notice.Notice;
  private readonly current = new Map<string, core.Instance>();
  private visible: core.InstanceList = {version: 0, instances: []};
  private readonly pending: Version[] = [];
  private version = 0;

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.changed = new notice.Notice(this.clock);
    this.faults.watch(() => this.changed.announce());
  }

  /** Adds or replaces an instance. */
  put(instance: core.Instance): void {
    this.current.set(instance.name, instance);
    this.commit();
  }

  /** Removes an instance; false where there was none. */
  remove(name: string): boolean {
    if (!this.current.delete(name)) return false;
    this.commit();
    return true;
  }

  /** The newest version whose lag has passed. */
  read(): core.InstanceList {
    const newestMs = this.clock.nowMs() - this.faults.now.list_lag_ms;
    while (this.pending[0] && this.pending[0].madeMs <= newestMs) {
      this.visible = this.pending[0].list;
      this.pending.shift();
    }
    return this.visible;
  }

  /** Waits up to `waitMs` for a version other than `known`. */
  async poll(
    known: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.InstanceList> {
    const endMs = this.clock.nowMs() + waitMs;
    for (;;) {
      const list = this.read();
      const leftMs = endMs - this.clock.nowMs();
      if (list.version !== known || leftMs <= 0) return list;
      if (signal.aborted || this.faults.now.list_down) return list;
      await this.changed.wait(Math.min(leftMs, this.nextMs()), signal);
    }
  }

  private nextMs(): number {
    const next = this.pending[0];
    if (!next) return Number.POSITIVE_INFINITY;
    const dueMs = next.madeMs + this.faults.now.list_lag_ms;
    return Math.max(1, Math.ceil(dueMs - this.clock.nowMs()));
  }

  private commit(): void {
    this.version += 1;
    const instances = [...this.current.values()];
    const list = {version: this.version, instances};
    this.pending.push({list, madeMs: this.clock.nowMs()});
    this.changed.announce();
  }
}

/** The contract under which the list of instances is registered. */
export const INSTANCES = core.contract<Instances>('instances', [
  'put',
  'remove',
  'read',
  'poll',
]);
