/**
 * The oracle, a reference for cache reuse: simulates the tokens that returning
 * chats would find cached if a single cache of the size of all engines' caches
 * served the whole trace. It has the same losses: a stopped engine loses its
 * cache.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import type * as traces from './trace.js';

/** A stop of an engine, which loses its cache, or a start with an empty one. */
export interface ChurnEvent {
  readonly atMs: number;
  readonly engine: string;
  readonly change: 'stopped' | 'started';
}

/** Options of the oracle. */
export interface OracleOptions {
  readonly engines: readonly string[];
  /** Cache capacity of each engine, in tokens. */
  readonly cacheTokens: number;
  /** In order of time. */
  readonly churn?: readonly ChurnEvent[];
}

/** Cached tokens found by returning chats. */
export interface Reuse {
  readonly returns: number;
  /** Tokens of context that were computed in earlier turns. */
  readonly possibleTokens: number;
  readonly cachedTokens: number;
}

/**
 * The shared cache. Rendezvous hashing assigns each chat to an engine, until
 * that engine stops. Entries of a stopped engine stay in the cache under keys
 * that are no longer used, and so take up the capacity lost with the engine.
 */
class OracleCache {
  private readonly cache: standins.PrefixCache;
  private readonly liveEngines: Set<string>;
  private readonly engineByChat = new Map<string, string>();
  private readonly stopsByEngine = new Map<string, number>();

  constructor({engines, cacheTokens}: OracleOptions) {
    this.cache = new standins.PrefixCache(cacheTokens * engines.length);
    this.liveEngines = new Set(engines);
  }

  apply({engine, change}: ChurnEvent): void {
    if (change === 'started') {
      this.liveEngines.add(engine);
      return;
    }
    this.liveEngines.delete(engine);
    this.stopsByEngine.set(engine, (this.stopsByEngine.get(engine) ?? 0) + 1);
  }

  serveCall(call: traces.ChatCall): number {
    const cacheKey = this.cacheKey(call.chat);
    const cachedTokens = this.cache.match(cacheKey, call.promptTokens);
    this.cache.store(cacheKey, call.promptTokens + call.outputTokens);
    return cachedTokens;
  }

  private cacheKey(chat: string): string {
    let engine = this.engineByChat.get(chat);
    if (engine === undefined || !this.liveEngines.has(engine)) {
      [engine = ''] = core.rankNodes(chat, [...this.liveEngines]);
      this.engineByChat.set(chat, engine);
    }
    return `${chat} ${engine} ${this.stopsByEngine.get(engine) ?? 0}`;
  }
}

/** Simulates a trace on the oracle's cache. */
export function simulateOracle(
  trace: readonly traces.Call[],
  options: OracleOptions,
): Reuse {
  const cache = new OracleCache(options);
  const churn = [...(options.churn ?? [])];
  const served: Array<{call: traces.ChatCall; cachedTokens: number}> = [];
  for (const call of trace) {
    while (churn[0] && churn[0].atMs <= call.atMs) cache.apply(churn.shift()!);
    if (call.type !== 'chat') continue;
    served.push({call, cachedTokens: cache.serveCall(call)});
  }
  return sumReuse(served);
}

/** Sums up the cache reuse of returning chats; first turns do not count. */
export function sumReuse(
  served: ReadonlyArray<{
    readonly call: traces.Call;
    readonly cachedTokens: number;
  }>,
): Reuse {
  const contextTokensByChat = new Map<string, number>();
  let returns = 0;
  let possibleTokens = 0;
  let reusedTokens = 0;
  const servedByTime = [...served].sort((a, b) => a.call.atMs - b.call.atMs);
  for (const {call, cachedTokens} of servedByTime) {
    if (call.type !== 'chat') continue;
    const contextTokens = contextTokensByChat.get(call.chat) ?? 0;
    contextTokensByChat.set(call.chat, call.promptTokens + call.outputTokens);
    if (call.turn === 1) continue;
    returns += 1;
    possibleTokens += contextTokens;
    reusedTokens += cachedTokens;
  }
  return {returns, possibleTokens, cachedTokens: reusedTokens};
}

/** Share of the tokens computed in earlier turns that were cached. */
export function reuseShare(reuse: Reuse): number {
  return reuse.cachedTokens / Math.max(1, reuse.possibleTokens);
}
