/**
 * An engine's cache of prompt prefixes. It holds a number of tokens for each
 * chat, is bounded by their sum, and evicts the least recently used chat.
 */
import * as lruCache from 'lru-cache';

/** Called when a chat's prefix is stored or evicted. */
export type CacheListener = (type: 'stored' | 'evicted', chat: string) => void;

/** Number of cached tokens by chat. */
export class PrefixCache {
  private readonly tokensByChat: lruCache.LRUCache<string, number> | undefined;

  /** @param maxTokens bound on the sum of all tokens; 0 disables the cache */
  constructor(
    private readonly maxTokens: number,
    private readonly listener: CacheListener = () => {},
  ) {
    if (maxTokens <= 0) return;
    this.tokensByChat = new lruCache.LRUCache<string, number>({
      maxSize: maxTokens,
      sizeCalculation: tokens => tokens,
      dispose: (tokens, chat, cause) => {
        if (cause === 'evict') this.listener('evicted', chat);
      },
    });
  }

  /** Number of the first `promptTokens` that are cached; counts as a use. */
  match(chat: string, promptTokens: number): number {
    return Math.min(this.tokensByChat?.get(chat) ?? 0, promptTokens);
  }

  /** Caches `tokens` for the chat, or as many as fit in the cache. */
  store(chat: string, tokens: number): void {
    const size = Math.min(tokens, this.maxTokens);
    if (size <= 0 || !this.tokensByChat) return;
    this.tokensByChat.set(chat, size);
    this.listener('stored', chat);
  }

  /** Sum of the cached tokens of all chats. */
  get totalTokens(): number {
    return this.tokensByChat?.calculatedSize ?? 0;
  }
}
