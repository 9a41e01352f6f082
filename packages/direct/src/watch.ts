/**
 * The watch over requests at endpoints: one task looks for those that have
 * heard nothing for a while. Where the endpoint crashed, its requests end at
 * once instead of at their deadlines. Where it is only silent, those end that
 * another endpoint may serve; the others lose nothing by waiting, since this
 * router's own link may be what is slow.
 */
import * as core from '@oleanderrock/core';
import * as liveness from './liveness.js';
import type * as model from './model.js';

/** Pause between looks, in ms. */
const LOOK_MS = 150;

/** Silence after which the endpoint is checked, in ms. */
const CHECK_AFTER_MS = 400;

/** Pause between checks of one endpoint for one request, in ms. */
const CHECK_AGAIN_MS = 1_000;

/**
 * Silence after which a request that may go on elsewhere does so, in ms: well
 * before callers give a stream up, after 2 s or more.
 */
const MOVE_AFTER_MS = 1_500;

/** A request at an endpoint. */
export interface Watched {
  readonly endpoint: model.Endpoint;
  /** Whether events come; a plain answer may take long to begin. */
  readonly isStream: boolean;
  /** Whether it may be sent to another endpoint. */
  readonly mayMove: boolean;
  /** Ends the request early. */
  end(cause: 'dead' | 'silent'): void;
}

/** A request under watch. */
export interface Handle {
  /** Bytes came. */
  heard(): void;
  done(): void;
}

/** Watch over requests. */
export interface Watch {
  add(watched: Watched): Handle;
}

/** The contract under which the watch is registered. */
export const WATCH = core.contract<Watch>('watch', ['add']);

interface Entry {
  readonly watched: Watched;
  heardMs: number;
  checkedMs: number;
}

/** Watch by one periodic task. */
export class SilenceWatch extends core.TaskService implements Watch {
  private readonly entries = new Set<Entry>();

  constructor(kernel: core.Kernel) {
    super(kernel, 'watch');
  }

  add(watched: Watched): Handle {
    const entry = {watched, heardMs: this.nowMs(), checkedMs: 0};
    this.entries.add(entry);
    return {
      heard: () => {
        entry.heardMs = this.nowMs();
      },
      done: () => this.entries.delete(entry),
    };
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.find(core.CLOCK).sleep(LOOK_MS, signal);
      const nowMs = this.nowMs();
      for (const entry of this.entries) this.look(entry, nowMs);
    }
  }

  private look(entry: Entry, nowMs: number): void {
    const {watched} = entry;
    const silentMs = nowMs - entry.heardMs;
    if (silentMs < CHECK_AFTER_MS) return;
    if (silentMs >= MOVE_AFTER_MS && watched.isStream && watched.mayMove) {
      this.entries.delete(entry);
      watched.end('silent');
      return;
    }
    if (nowMs - entry.checkedMs < CHECK_AGAIN_MS) return;
    entry.checkedMs = nowMs;
    void this.check(entry);
  }

  private async check(entry: Entry): Promise<void> {
    const {endpoint, mayMove} = entry.watched;
    const result = await this.kernel.find(liveness.LIVENESS).check(endpoint);
    const mayEnd = result === 'silent' ? mayMove : result === 'refused';
    if (mayEnd && this.entries.delete(entry)) entry.watched.end('dead');
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
