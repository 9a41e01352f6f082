/**
 * Chat memory: which endpoint last served each chat. Bounded, and kept at the
 * router that owns the endpoint.
 */
import * as lruCache from 'lru-cache';

/** A chat and the endpoint that last served it. */
export interface ChatEntry {
  readonly chat: string;
  readonly endpoint: string;
}

/** Map from chats to the endpoints that last served them. */
export interface ChatMemory {
  /** The endpoint that last served the chat; undefined if not remembered. */
  recall(chat: string): string | undefined;
  remember(entry: ChatEntry): void;
  /** Removes all chats of an endpoint that has lost its cache. */
  forget(endpoint: string): void;
  /**
   * Removes and returns up to `limit` entries for which `matches` holds, most
   * recently used first, for the caller to hand over to other routers.
   */
  removeMatching(
    matches: (entry: ChatEntry) => boolean,
    limit: number,
  ): readonly ChatEntry[];
  /** Number of remembered chats. */
  readonly size: number;
}

/** Options of `LruChatMemory`. */
export interface LruChatMemoryOptions {
  /** Capacity; beyond it, the least recently used chat is evicted. */
  readonly maxChats: number;
}

/**
 * LRU cache of chats, with an index by endpoint: when an endpoint crashes while
 * the router is busy, its chats are removed without a scan over all entries.
 */
export class LruChatMemory implements ChatMemory {
  private readonly endpointByChat: lruCache.LRUCache<string, string>;
  private readonly chatsByEndpoint = new Map<string, Set<string>>();

  constructor(options: LruChatMemoryOptions) {
    this.endpointByChat = new lruCache.LRUCache({
      max: options.maxChats,
      dispose: (endpoint, chat) => this.removeFromIndex(endpoint, chat),
    });
  }

  recall(chat: string): string | undefined {
    return this.endpointByChat.get(chat);
  }

  remember({chat, endpoint}: ChatEntry): void {
    this.endpointByChat.set(chat, endpoint);
    const chats = this.chatsByEndpoint.get(endpoint);
    if (chats) chats.add(chat);
    else this.chatsByEndpoint.set(endpoint, new Set([chat]));
  }

  forget(endpoint: string): void {
    const chats = [...(this.chatsByEndpoint.get(endpoint) ?? [])];
    for (const chat of chats) this.endpointByChat.delete(chat);
  }

  removeMatching(
    matches: (entry: ChatEntry) => boolean,
    limit: number,
  ): readonly ChatEntry[] {
    const removed: ChatEntry[] = [];
    for (const [chat, endpoint] of this.endpointByChat.entries()) {
      if (removed.length >= limit) break;
      const entry = {chat, endpoint};
      if (matches(entry)) removed.push(entry);
    }
    for (const entry of removed) this.endpointByChat.delete(entry.chat);
    return removed;
  }

  get size(): number {
    return this.endpointByChat.size;
  }

  private removeFromIndex(endpoint: string, chat: string): void {
    const chats = this.chatsByEndpoint.get(endpoint);
    chats?.delete(chat);
    if (chats?.size === 0) this.chatsByEndpoint.delete(endpoint);
  }
}
