/**
 * Memory of where chats were last served, bounded, at the owner of the
 * endpoint that served them.
 */
import * as lruCache from 'lru-cache';

/** Where one chat was last served. */
export interface ChatEntry {
  readonly chat: string;
  readonly endpoint: string;
}

/** Store of the endpoints that served chats last. */
export interface ChatMemory {
  /** The endpoint that served the chat last, where it is remembered. */
  recall(chat: string): string | undefined;
  remember(entry: ChatEntry): void;
  /** Forgets all chats of an endpoint whose cache is gone. */
  forget(endpoint: string): void;
  /**
   * Takes out entries for which `isWanted` holds, the newest first, at most
   * `limit`; the caller hands them to the routers that will need them.
   */
  select(
    isWanted: (entry: ChatEntry) => boolean,
    limit: number,
  ): readonly ChatEntry[];
  /** How many chats are remembered. */
  readonly size: number;
}

/** How much a memory of chats keeps. */
export interface LruChatMemoryOptions {
  /** Chats kept; beyond them the one not used for longest is dropped. */
  readonly maxChats: number;
}

/**
 * Keeps the chats used last. An index finds an endpoint's chats without a walk
 * over all of them, as an endpoint may crash while the router is busy.
 */
export class LruChatMemory implements ChatMemory {
  private readonly endpoints: lruCache.LRUCache<string, string>;
  private readonly chats = new Map<string, Set<string>>();

  constructor(options: LruChatMemoryOptions) {
    this.endpoints = new lruCache.LRUCache({
      max: options.maxChats,
      dispose: (endpoint, chat) => this.unlist(endpoint, chat),
    });
  }

  recall(chat: string): string | undefined {
    return this.endpoints.get(chat);
  }

  remember({chat, endpoint}: ChatEntry): void {
    this.endpoints.set(chat, endpoint);
    const chats = this.chats.get(endpoint);
    if (chats) chats.add(chat);
    else this.chats.set(endpoint, new Set([chat]));
  }

  forget(endpoint: string): void {
    const chats = [...(this.chats.get(endpoint) ?? [])];
    for (const chat of chats) this.endpoints.delete(chat);
  }

  select(
    isWanted: (entry: ChatEntry) => boolean,
    limit: number,
  ): readonly ChatEntry[] {
    const taken: ChatEntry[] = [];
    for (const [chat, endpoint] of this.endpoints.entries()) {
      if (taken.length >= limit) break;
      const entry = {chat, endpoint};
      if (isWanted(entry)) taken.push(entry);
    }
    for (const entry of taken) this.endpoints.delete(entry.chat);
    return taken;
  }

  get size(): number {
    return this.endpoints.size;
  }

  private unlist(endpoint: string, chat: string): void {
    const chats = this.chats.get(endpoint);
    chats?.delete(chat);
    if (chats?.size === 0) this.chats.delete(endpoint);
  }
}
