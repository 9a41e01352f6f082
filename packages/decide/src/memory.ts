/**
 * Memory of where chats were last served, bounded, at the owner of the
 * endpoint that served them.
 */

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
