/**
 * What endpoints have announced about themselves in their responses. A notice
 * holds for one lifetime of an endpoint, whatever older sources say of it.
 */

/** Keeps the notices of endpoints. */
export interface EndpointNotices {
  /**
   * Records that the endpoint shuts down. Returns false if that was known.
   * @param lifetime key of one lifetime of the endpoint
   */
  recordLeaving(lifetime: string): boolean;
  /** Whether the endpoint accepts requests of this router. */
  isWilling(lifetime: string): boolean;
  /** Drops the notices of a lifetime that has ended for good. */
  forget(lifetime: string): void;
}

/** Maximum number of lifetimes whose notices are kept. */
const MAX_LIFETIMES = 4_096;

/** Keeps the notices of the lifetimes that gave one last. */
export class RecentEndpointNotices implements EndpointNotices {
  /** In the order in which they were recorded. */
  private readonly leaving = new Set<string>();

  constructor(private readonly maxLifetimes = MAX_LIFETIMES) {}

  recordLeaving(lifetime: string): boolean {
    // Deleting first moves a known lifetime to the end.
    const isKnown = this.leaving.delete(lifetime);
    this.leaving.add(lifetime);
    if (this.leaving.size > this.maxLifetimes) {
      const [oldest] = this.leaving;
      this.leaving.delete(oldest!);
    }
    return !isKnown;
  }

  isWilling(lifetime: string): boolean {
    return !this.leaving.has(lifetime);
  }

  forget(lifetime: string): void {
    this.leaving.delete(lifetime);
  }
}

/** Baseline: every endpoint counts as willing. */
export class NaiveEndpointNotices implements EndpointNotices {
  recordLeaving(): boolean {
    return false;
  }

  isWilling(): boolean {
    return true;
  }

  forget(): void {}
}
