/**
 * Admission control: whether an endpoint may take one more request now.
 */

/** Load of a pool, as known to the router that decides. */
export interface PoolLoad {
  /** Requests in flight over all live endpoints of the pool. */
  readonly inFlight: number;
  readonly liveEndpoints: number;
  /** Upper limit of an endpoint's load, as a multiple of the pool's mean. */
  readonly loadMultiple: number;
  /** Maximum number of requests in flight at one endpoint. */
  readonly maxInFlight: number;
}

/** Admission strategy. */
export interface Admission {
  /** Current maximum of requests in flight at one endpoint of the pool. */
  limit(pool: PoolLoad): number;
  /** Whether an endpoint with `inFlight` requests may take another one. */
  admits(inFlight: number, pool: PoolLoad): boolean;
}

/**
 * Subtracted before rounding up, so that a floating-point error above an
 * integer product does not raise the limit by one.
 */
const ROUNDING_TOLERANCE = 1e-9;

/** Options of `BoundedAdmission`. */
export interface BoundedAdmissionOptions {
  /**
   * Share of the pool's counted requests, 0 to 1, assumed to have ended since
   * they were counted. Counts from other routers lag; without a margin, an
   * endpoint exceeds its limit whenever the pool's load has just fallen.
   */
  readonly margin?: number;
}

/** Limits every endpoint to a multiple of the pool's mean load. */
export class BoundedAdmission implements Admission {
  private readonly margin: number;

  constructor({margin = 0}: BoundedAdmissionOptions = {}) {
    this.margin = margin;
  }

  limit(pool: PoolLoad): number {
    const liveEndpoints = Math.max(1, pool.liveEndpoints);
    const minInFlight = pool.inFlight * (1 - this.margin);
    const mean = (minInFlight + 1) / liveEndpoints;
    const limit = Math.ceil(pool.loadMultiple * mean - ROUNDING_TOLERANCE);
    return Math.min(pool.maxInFlight, Math.max(1, limit));
  }

  admits(inFlight: number, pool: PoolLoad): boolean {
    return inFlight + 1 <= this.limit(pool);
  }
}

/** Baseline: limits every endpoint to `maxInFlight`, whatever the mean load. */
export class NaiveAdmission implements Admission {
  limit(pool: PoolLoad): number {
    return pool.maxInFlight;
  }

  admits(inFlight: number, pool: PoolLoad): boolean {
    return inFlight + 1 <= this.limit(pool);
  }
}
