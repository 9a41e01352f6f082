/**
 * An engine's cache of prompt prefixes: for each chat the tokens that are kept,
 * bounded in tokens, the least recently used chat going first.
 */
import * as lruCache from 'lru-cache';

/** Called when a chat's prefix is stored or evicted. */
export type CacheListener = (type: 'stored' | 'evicted', chat: string) => void;

/** Tokens kept by chat. */
export class PrefixCache {
  private readonly kept: lruCache.LRUCache<string, number> | undefined;

  /** @param maxTokens bound on the sum of all tokens; 0 keeps nothing */
  constructor(
    private readonly maxTokens: number,
    private readonly listener: CacheListener = () => {},
  ) {
    if (maxTokens <= 0) return;
    this.kept = new lruCache.LRUCache<string, number>({
      maxSize: maxTokens,
      sizeCalculation: tokens => tokens,
      dispose: (tokens, chat, cause) => {
        if (cause === 'evict') this.listener('evicted', chat);
      },
    });
  }

  /** How many of the first `promptTokens` are kept; counts as a use. */
  match(chat: string, promptTokens: number): number {
    return Math.min(this.kept?.get(chat) ?? 0, promptTokens);
  }

  /** Keeps `tokens` for the chat, or as many as the cache holds. */
  store(chat: string, tokens: number): void {
    const size = Math.min(tokens, this.maxTokens);
    if (size <= 0 || !this.kept) return;
    this.kept.set(chat, size);
    this.listener('stored', chat);
  }

  /** Tokens that are kept for all chats. */
  get tokens(): number {
    return this.kept?.calculatedSize ?? 0;
  }
}
