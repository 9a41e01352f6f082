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

const TICK_MS = 100;
/** Entries that are looked for in one pass over the memory. */
const PASS_ENTRIES = 5_000;
/** Most entries of one call. */
const CALL_ENTRIES = 50;
/** Budget of the hand-over, and what an entry and a call take of it. */
const BYTES_PER_SECOND = 4_000;
const ENTRY_BYTES = 60;
const CALL_BYTES = 400;
const MS_PER_SECOND = 1_000;
/** Longest time that a leaving router takes to hand over. */
const FAREWELL_MS = 10_000;

/** Hand-over of the memory. */
export interface HandOver {
  /** Hands everything over; for a router that leaves. */
  handAllOver(): Promise<void>;
}

/** The contract under which the hand-over is registered. */
export const HAND_OVER = core.contract<HandOver>('hand-over', ['handAllOver']);

/** Hand-over to the owners of the chats' homes. */
export class OwnerHandOver extends core.TaskService implements HandOver {
  private homes = new Map<string, readonly string[]>();
  private key = '';

  constructor(kernel: core.Kernel) {
    super(kernel, 'hand-over');
  }

  async handAllOver(): Promise<void> {
    this.homes = this.readHomes();
    await this.handOver(AbortSignal.timeout(FAREWELL_MS));
  }

  /** Looks for entries to hand over each time the homes have changed. */
  protected async run(signal: AbortSignal): Promise<void> {
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

  private async handOver(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const chats = this.kernel.find(memory.MEMORY);
    let moved = 0;
    while (!signal.aborted) {
      const entries = chats.select(
        entry => this.receiver(entry) !== undefined,
        PASS_ENTRIES,
      );
      for (const [router, part] of this.calls(entries)) {
        if (signal.aborted) break;
        moved += await this.send(router, part);
        const bytes = CALL_BYTES + part.length * ENTRY_BYTES;
        const pauseMs = (bytes * MS_PER_SECOND) / BYTES_PER_SECOND;
        await clock.sleep(pauseMs, signal);
      }
      if (entries.length < PASS_ENTRIES) break;
    }
    if (moved === 0) return;
    this.kernel.find(core.LOGGER).info('handed_over', {chats: moved});
  }

  /** The calls to make: a router with a few entries each. */
  private *calls(
    entries: readonly decide.ChatEntry[],
  ): Generator<[string, readonly decide.ChatEntry[]]> {
    const byRouter = new Map<string, decide.ChatEntry[]>();
    for (const entry of entries) {
      const router = this.receiver(entry);
      if (router === undefined) continue;
      const part = byRouter.get(router) ?? [];
      byRouter.set(router, part);
      part.push(entry);
    }
    for (const [router, all] of byRouter) {
      for (let at = 0; at < all.length; at += CALL_ENTRIES) {
        yield [router, all.slice(at, at + CALL_ENTRIES)];
      }
    }
  }

  private async send(
    router: string,
    entries: readonly decide.ChatEntry[],
  ): Promise<number> {
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const result = await calls.handOver(router, entries);
    return result.ok ? result.value : 0;
  }

  /** The router that will place the chat, where it is not this one. */
  private receiver(entry: decide.ChatEntry): string | undefined {
    const homes = this.homes.get(entry.endpoint);
    const known = this.kernel.find(fleet.FLEET);
    if (!homes) return undefined;
    const home = core.best(entry.chat, homes);
    // Any router finds a chat that is at its home without being told.
    if (home === undefined || home === entry.endpoint) return undefined;
    const [owner] = known.owners(home);
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
