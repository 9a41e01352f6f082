/**
 * The platform's instance list. Each change creates a version, which becomes
 * visible after `list_lag_ms`. The visible version never decreases, even if the
 * lag is raised.
 */
import * as core from '@oleanderrock/core';
import type * as control from './control.js';
import * as conditionVariable from './conditionvariable.js';
import * as platformFaults from './platformfaults.js';

interface PendingVersion {
  readonly list: core.InstanceList;
  readonly createdMs: number;
}

/** Instance list whose versions become visible after a lag. */
export class VersionedInstanceList {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly listChanged: conditionVariable.ConditionVariable;
  private readonly instancesByName = new Map<string, core.Instance>();
  private visibleList: core.InstanceList = {version: 0, instances: []};
  private readonly pendingVersions: PendingVersion[] = [];
  private newestVersion = 0;

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.listChanged = new conditionVariable.ConditionVariable(this.clock);
    this.faults.watch(() => this.listChanged.notifyAll());
  }

  /** Adds or replaces an instance. */
  put(instance: core.Instance): void {
    this.instancesByName.set(instance.name, instance);
    this.addVersion();
  }

  /** Removes an instance; false if there was none. */
  remove(name: string): boolean {
    if (!this.instancesByName.delete(name)) return false;
    this.addVersion();
    return true;
  }

  /** Newest visible version of the list. */
  read(): core.InstanceList {
    const visibleBeforeMs =
      this.clock.nowMs() - this.faults.current.list_lag_ms;
    while (
      this.pendingVersions[0] &&
      this.pendingVersions[0].createdMs <= visibleBeforeMs
    ) {
      this.visibleList = this.pendingVersions[0].list;
      this.pendingVersions.shift();
    }
    return this.visibleList;
  }

  /** Waits up to `waitMs` for a version other than `knownVersion`. */
  async poll(
    knownVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.InstanceList> {
    const deadlineMs = this.clock.nowMs() + waitMs;
    for (;;) {
      const list = this.read();
      const remainingMs = deadlineMs - this.clock.nowMs();
      if (list.version !== knownVersion || remainingMs <= 0) return list;
      if (signal.aborted || this.faults.current.list_down) return list;
      await this.listChanged.wait(
        Math.min(remainingMs, this.msUntilNextVersion()),
        signal,
      );
    }
  }

  private msUntilNextVersion(): number {
    const next = this.pendingVersions[0];
    if (!next) return Number.POSITIVE_INFINITY;
    const dueMs = next.createdMs + this.faults.current.list_lag_ms;
    return Math.max(1, Math.ceil(dueMs - this.clock.nowMs()));
  }

  private addVersion(): void {
    this.newestVersion += 1;
    const instances = [...this.instancesByName.values()];
    const list = {version: this.newestVersion, instances};
    this.pendingVersions.push({list, createdMs: this.clock.nowMs()});
    this.listChanged.notifyAll();
  }
}

/** Contract of the instance list. */
export const INSTANCE_LIST = core.contract<VersionedInstanceList>(
  'instance-list',
  ['put', 'remove', 'read', 'poll'],
);
