/**
 * Copies of a prompt's context between endpoints: one that is to serve a prefix
 * without holding it may copy the context from one that does, instead of
 * reading the prompt again.
 */

/** A request that goes to an endpoint. */
export interface CopyAsk {
  readonly target: string;
  /** Reachable endpoints that hold the prefix, the last used first. */
  readonly homes: readonly string[];
  readonly prefixTokens: number;
  /** How long the pool takes to copy a token, in us; absent: it cannot. */
  readonly copyUsPerToken?: number;
}

/** Strategy of copies. */
export interface ContextCopies {
  /** The endpoint to copy from; undefined where the target had better read. */
  source(ask: CopyAsk): string | undefined;
}

/** Tokens from which on a copy is sooner done than a read, set-up included. */
const MIN_TOKENS = 256;

/**
 * Slowest copy of a token that is worth it, in us: about a third of the time
 * in which an engine reads one.
 */
const MAX_COPY_US = 4;

/** Copies from the endpoint that used the prefix last, where that is quick. */
export class QuickCopies implements ContextCopies {
  source(ask: CopyAsk): string | undefined {
    const {target, homes, prefixTokens, copyUsPerToken} = ask;
    if (copyUsPerToken === undefined || copyUsPerToken > MAX_COPY_US) {
      return undefined;
    }
    if (prefixTokens < MIN_TOKENS || homes.includes(target)) return undefined;
    return homes[0];
  }
}

/** Never copies: the naive version. */
export class NoCopies implements ContextCopies {
  source(): string | undefined {
    return undefined;
  }
}
