/**
 * Hands the memory of chats over: when endpoints come back or owners change,
 * and when this router leaves, the routers that will place those chats are
 * told where they were last served.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as fleet from './fleet.js';
import * as memory from './memory.js';
import * as peerCalls from './peercalls.js';
import * as pools from './pools.js';

const TICK_MS = 500;
/** Entries that are looked for in one step, so that no step takes long. */
const STEP_ENTRIES = 200;
const STEP_PAUSE_MS = 50;

/** Hand-over of the memory. */
export interface HandOver {
  /** Hands everything over; for a router that leaves. */
  handAllOver(): Promise<void>;
}

/** The contract under which the hand-over is registered. */
export const HAND_OVER = core.contract<HandOver>('hand-over', ['handAllOver']);

/** Hand-over to the owners of the chats' homes. */
export class OwnerHandOver implements HandOver, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private homes = new Map<string, readonly string[]>();
  private key = '';

  constructor(private readonly kernel: core.Kernel) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.tasks.spawn('hand-over', signal => this.follow(signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  async handAllOver(): Promise<void> {
    this.homes = this.readHomes();
    await this.handOver();
  }

  /** Looks for entries to hand over each time the homes have changed. */
  private async follow(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      const homes = this.readHomes();
      const epoch = this.kernel.find(fleet.FLEET).epoch();
      const key = `${epoch}|${JSON.stringify([...homes])}`;
      if (signal.aborted || key === this.key) continue;
      this.key = key;
      this.homes = homes;
      await this.handOver(signal);
    }
  }

  private async handOver(signal?: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const chats = this.kernel.find(memory.MEMORY);
    let moved = 0;
    while (!signal?.aborted) {
      const entries = chats.select(
        entry => this.receiver(entry) !== undefined,
        STEP_ENTRIES,
      );
      if (entries.length === 0) break;
      moved += await this.send(entries);
      await clock.sleep(STEP_PAUSE_MS, signal);
    }
    if (moved === 0) return;
    this.kernel.find(core.LOGGER).info('handed_over', {chats: moved});
  }

  private async send(entries: readonly decide.ChatEntry[]): Promise<number> {
    const byRouter = new Map<string, decide.ChatEntry[]>();
    for (const entry of entries) {
      const router = this.receiver(entry);
      if (router === undefined) continue;
      byRouter.set(router, [...(byRouter.get(router) ?? []), entry]);
    }
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    let moved = 0;
    for (const [router, own] of byRouter) {
      const result = await calls.handOver(router, own);
      if (result.ok) moved += result.value;
    }
    return moved;
  }

  /** The router that will place the chat, where it is not this one. */
  private receiver(entry: decide.ChatEntry): string | undefined {
    const homes = this.homes.get(entry.endpoint);
    const known = this.kernel.find(fleet.FLEET);
    if (!homes) return undefined;
    const [home] = core.rank(entry.chat, homes);
    if (home === undefined || home === entry.endpoint) {
      return this.inheritor(entry);
    }
    const [owner] = known.owners(home);
    return owner === known.self() ? undefined : owner;
  }

  /** A leaving router's entries go to the endpoint's next owner. */
  private inheritor(entry: decide.ChatEntry): string | undefined {
    const known = this.kernel.find(fleet.FLEET);
    if (known.isLive(known.self())) return undefined;
    const [owner] = known.owners(entry.endpoint);
    return owner === known.self() ? undefined : owner;
  }

  /** For each endpoint, the settled endpoints of its pool. */
  private readHomes(): Map<string, readonly string[]> {
    const {pools: rows} = this.kernel
      .find(configuration.CONFIGURATION)
      .tables();
    const source = this.kernel.find(pools.POOLS);
    const homes = new Map<string, readonly string[]>();
    for (const {row} of Object.values(rows)) {
      const settled = source
        .view(row)
        .candidates.filter(item => item.isSettled)
        .map(item => item.name);
      for (const name of settled) homes.set(name, settled);
    }
    return homes;
  }
}
