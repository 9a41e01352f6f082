/**
 * Hand-over of the chat memory. When endpoints come back, owners change or this
 * router stops, it sends the last endpoint of each affected chat to the router
 * that will place that chat: the owner of the chat's home, which is the settled
 * endpoint that rendezvous hashing ranks first.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import * as fleet from './fleet.js';
import * as chatMemory from './chatmemory.js';
import * as peerCalls from './peercalls.js';
import * as pools from './pools.js';

/** How often the owners and settled endpoints are checked for a change. */
const CHECK_INTERVAL_MS = 100;
/** Maximum number of entries that one scan of the memory removes. */
const MAX_SCAN_ENTRIES = 5_000;
/** Maximum number of entries in one call. */
const MAX_CALL_ENTRIES = 50;
/** Bandwidth limit of the hand-over. */
const BYTES_PER_SECOND = 4_000;
/** Assumed size of an entry in a call. */
const ENTRY_COST_BYTES = 60;
/** Assumed size of a call without its entries. */
const CALL_COST_BYTES = 400;
const MS_PER_SECOND = 1_000;
/** Time limit of the hand-over when the router stops. */
const SHUTDOWN_HAND_OVER_MS = 10_000;

/** Hand-over of the chat memory. */
export interface HandOver {
  /** Hands over all entries, for a router that stops. */
  handOverAll(): Promise<void>;
}

/** The contract under which the hand-over is registered. */
export const HAND_OVER = core.contract<HandOver>('hand-over', ['handOverAll']);

/** Hand-over to the owners of the chats' homes. */
export class OwnerHandOver extends core.TaskService implements HandOver {
  /** For each endpoint, the settled endpoints of its pool. */
  private settledByEndpoint = new Map<string, readonly string[]>();
  private lastStateKey = '';

  constructor(kernel: core.Kernel) {
    super(kernel, 'hand-over');
  }

  async handOverAll(): Promise<void> {
    this.settledByEndpoint = this.readSettled();
    await this.handOverEntries(AbortSignal.timeout(SHUTDOWN_HAND_OVER_MS));
  }

  /** Hands over entries after each change of owners or settled endpoints. */
  protected async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const settledByEndpoint = this.readSettled();
      const epoch = this.kernel.find(fleet.FLEET).epoch();
      const stateKey = `${epoch}|${JSON.stringify([...settledByEndpoint])}`;
      if (signal.aborted || stateKey === this.lastStateKey) continue;
      this.lastStateKey = stateKey;
      this.settledByEndpoint = settledByEndpoint;
      await this.handOverEntries(signal);
    }
  }

  private async handOverEntries(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const memory = this.kernel.find(chatMemory.CHAT_MEMORY);
    let movedChats = 0;
    while (!signal.aborted) {
      const entries = memory.removeMatching(
        entry => this.receiverOf(entry) !== undefined,
        MAX_SCAN_ENTRIES,
      );
      for (const [router, batch] of this.planCalls(entries)) {
        if (signal.aborted) break;
        movedChats += await this.send(router, batch);
        const bytes = CALL_COST_BYTES + batch.length * ENTRY_COST_BYTES;
        const pauseMs = (bytes * MS_PER_SECOND) / BYTES_PER_SECOND;
        await clock.sleep(pauseMs, signal);
      }
      if (entries.length < MAX_SCAN_ENTRIES) break;
    }
    if (movedChats === 0) return;
    this.kernel.find(core.LOGGER).info('handed_over', {chats: movedChats});
  }

  /** Groups the entries into calls, each with its router. */
  private *planCalls(
    entries: readonly decide.ChatEntry[],
  ): Generator<[string, readonly decide.ChatEntry[]]> {
    const byRouter = new Map<string, decide.ChatEntry[]>();
    for (const entry of entries) {
      const router = this.receiverOf(entry);
      if (router === undefined) continue;
      const batch = byRouter.get(router) ?? [];
      byRouter.set(router, batch);
      batch.push(entry);
    }
    for (const [router, routerEntries] of byRouter) {
      for (
        let firstIndex = 0;
        firstIndex < routerEntries.length;
        firstIndex += MAX_CALL_ENTRIES
      ) {
        yield [
          router,
          routerEntries.slice(firstIndex, firstIndex + MAX_CALL_ENTRIES),
        ];
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

  /** The owner of the chat's home; undefined if it needs no hand-over. */
  private receiverOf(entry: decide.ChatEntry): string | undefined {
    const settledNames = this.settledByEndpoint.get(entry.endpoint);
    const fleetView = this.kernel.find(fleet.FLEET);
    if (!settledNames) return undefined;
    const home = core.topNode(entry.chat, settledNames);
    // Placement finds a chat at its home without a remembered endpoint.
    if (home === undefined || home === entry.endpoint) return undefined;
    const [owner] = fleetView.owners(home);
    return owner === fleetView.self() ? undefined : owner;
  }

  /** For each endpoint, the settled endpoints of its pool. */
  private readSettled(): Map<string, readonly string[]> {
    const {pools: poolRows} = this.kernel
      .find(configuration.CONFIGURATION)
      .tables();
    const poolViews = this.kernel.find(pools.POOLS);
    const settledByEndpoint = new Map<string, readonly string[]>();
    for (const {row} of Object.values(poolRows)) {
      const settled = poolViews
        .view(row)
        .candidates.filter(item => item.isSettled)
        .map(item => item.name);
      for (const name of settled) settledByEndpoint.set(name, settled);
    }
    return settledByEndpoint;
  }
}
