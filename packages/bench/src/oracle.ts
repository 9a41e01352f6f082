/**
 * The oracle: the cached tokens that chats would find on their return if one
 * place with the cache of all engines served them all. It sees the whole trace
 * and suffers the same losses: an engine that stops loses its cache.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import type * as traces from './trace.js';

/** A time at which an engine stops with its cache, or is there again. */
export interface Churn {
  readonly atMs: number;
  readonly engine: string;
  readonly change: 'stopped' | 'started';
}

/** Options of the oracle. */
export interface OracleOptions {
  readonly engines: readonly string[];
  /** Bound of each engine's cache. */
  readonly cacheTokens: number;
  /** In the order of time. */
  readonly churn?: readonly Churn[];
}

/** What chats find in the caches when they return. */
export interface Reuse {
  readonly returns: number;
  /** Tokens of context that were computed before. */
  readonly possibleTokens: number;
  readonly cachedTokens: number;
}

/**
 * A chat belongs to its first engine by rendezvous until that engine stops.
 * What a stopped engine held stays in the bounded cache under names that
 * nobody asks for, in place of the room that went with the engine.
 */
class Place {
  private readonly cache: standins.PrefixCache;
  private readonly live: Set<string>;
  private readonly homes = new Map<string, string>();
  private readonly losses = new Map<string, number>();

  constructor({engines, cacheTokens}: OracleOptions) {
    this.cache = new standins.PrefixCache(cacheTokens * engines.length);
    this.live = new Set(engines);
  }

  change({engine, change}: Churn): void {
    if (change === 'started') {
      this.live.add(engine);
      return;
    }
    this.live.delete(engine);
    this.losses.set(engine, (this.losses.get(engine) ?? 0) + 1);
  }

  serve(call: traces.ChatCall): number {
    const name = this.name(call.chat);
    const cachedTokens = this.cache.match(name, call.promptTokens);
    this.cache.store(name, call.promptTokens + call.outputTokens);
    return cachedTokens;
  }

  private name(chat: string): string {
    let home = this.homes.get(chat);
    if (home === undefined || !this.live.has(home)) {
      [home = ''] = core.rankNodes(chat, [...this.live]);
      this.homes.set(chat, home);
    }
    return `${chat} ${home} ${this.losses.get(home) ?? 0}`;
  }
}

/** What the chats of a trace would find with the oracle. */
export function foresee(
  trace: readonly traces.Call[],
  options: OracleOptions,
): Reuse {
  const place = new Place(options);
  const churn = [...(options.churn ?? [])];
  const found: Array<{call: traces.ChatCall; cachedTokens: number}> = [];
  for (const call of trace) {
    while (churn[0] && churn[0].atMs <= call.atMs) place.change(churn.shift()!);
    if (call.type !== 'chat') continue;
    found.push({call, cachedTokens: place.serve(call)});
  }
  return sum(found);
}

/** Sums up what returning chats found; first turns do not count. */
export function sum(
  served: ReadonlyArray<{
    readonly call: traces.Call;
    readonly cachedTokens: number;
  }>,
): Reuse {
  const contexts = new Map<string, number>();
  let returns = 0;
  let possibleTokens = 0;
  let reusedTokens = 0;
  const inOrder = [...served].sort((a, b) => a.call.atMs - b.call.atMs);
  for (const {call, cachedTokens} of inOrder) {
    if (call.type !== 'chat') continue;
    const context = contexts.get(call.chat) ?? 0;
    contexts.set(call.chat, call.promptTokens + call.outputTokens);
    if (call.turn === 1) continue;
    returns += 1;
    possibleTokens += context;
    reusedTokens += cachedTokens;
  }
  return {returns, possibleTokens, cachedTokens: reusedTokens};
}

/** The cached share of the tokens that were computed before. */
export function share(reuse: Reuse): number {
  return reuse.cachedTokens / Math.max(1, reuse.possibleTokens);
}
