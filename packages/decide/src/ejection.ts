/**
 * Ejection: which endpoints get no new work because they fail, and which have
 * come back too recently to be trusted with a chat's home.
 */

/** Health of the endpoints as one router observes it. */
export interface Ejection {
  /** An endpoint was seen on the list (`isLive`) or was missed. */
  observe(endpoint: string, isLive: boolean, nowMs: number): void;
  succeeded(endpoint: string, nowMs: number): void;
  /** A connection failed or an answer broke. */
  failed(endpoint: string, nowMs: number): void;
  /**
   * The endpoints of one pool that may get work: all but the ejected ones.
   * Where most of the pool would be ejected, the router suspects its own view
   * and ejects none.
   */
  usable(pool: readonly string[], nowMs: number): readonly string[];
  /** Whether the endpoint has been live long enough to be a chat's home. */
  isSettled(endpoint: string, nowMs: number): boolean;
  /** Whether the endpoint is ejected now, before the guard. */
  isEjected(endpoint: string, nowMs: number): boolean;
}
