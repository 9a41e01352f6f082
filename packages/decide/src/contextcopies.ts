/**
 * Copies of a prompt's context (KV cache) between endpoints: an endpoint that
 * is to serve a prefix that it does not hold may copy the context from one that
 * does, instead of processing the prompt again.
 */

/** A request for which a copy of the context is considered. */
export interface CopyRequest {
  /** The endpoint that will serve the request. */
  readonly target: string;
  /** Reachable endpoints that hold the prefix, most recently used first. */
  readonly homes: readonly string[];
  readonly prefixTokens: number;
  /** Microseconds to copy one token; absent if the pool cannot copy context. */
  readonly copyUsPerToken?: number;
}

/** Strategy that decides whether context is copied, and from where. */
export interface ContextCopyPolicy {
  /** The endpoint to copy from; undefined if a copy does not pay off. */
  chooseSource(request: CopyRequest): string | undefined;
}

/** Minimum number of tokens for which a copy with its set-up pays off. */
const MIN_TOKENS = 256;

/**
 * Maximum time to copy one token at which a copy pays off, in microseconds:
 * about a third of the time in which an engine processes one.
 */
const MAX_US_PER_TOKEN = 4;

/** Copies from the endpoint that used the prefix last, if copying is fast. */
export class FastCopyPolicy implements ContextCopyPolicy {
  chooseSource(request: CopyRequest): string | undefined {
    const {target, homes, prefixTokens, copyUsPerToken} = request;
    if (copyUsPerToken === undefined || copyUsPerToken > MAX_US_PER_TOKEN) {
      return undefined;
    }
    if (prefixTokens < MIN_TOKENS || homes.includes(target)) return undefined;
    return homes[0];
  }
}

/** Baseline: never copies. */
export class NoCopyPolicy implements ContextCopyPolicy {
  chooseSource(): string | undefined {
    return undefined;
  }
}
