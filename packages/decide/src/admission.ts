/**
 * Admission: whether an endpoint may take one more request now.
 */

/** Load of a pool as the deciding router knows it. */
export interface PoolLoad {
  /** Requests in flight over all live endpoints of the pool. */
  readonly inFlight: number;
  readonly liveEndpoints: number;
  /** No endpoint carries more than this multiple of the mean. */
  readonly loadMultiple: number;
  /** Most requests that one endpoint runs at a time. */
  readonly maxInFlight: number;
}

/** Strategy that admits requests to an endpoint. */
export interface Admission {
  /** The most requests that one endpoint of the pool may carry now. */
  bound(pool: PoolLoad): number;
  /** Whether an endpoint with `inFlight` requests may take one more. */
  admits(inFlight: number, pool: PoolLoad): boolean;
}

/** Keeps a product that should be whole from being rounded up by its error. */
const ROUNDING = 1e-9;

/** Options of the bounded admission. */
export interface BoundedAdmissionOptions {
  /**
   * Share of the pool's load that may have ended since it was counted. Counts
   * of other routers are a little old; without a margin an endpoint goes above
   * its bound each time the pool's load has just fallen.
   */
  readonly margin?: number;
}

/** Holds every endpoint to a multiple of the pool's mean load. */
export class BoundedAdmission implements Admission {
  private readonly margin: number;

  constructor({margin = 0}: BoundedAdmissionOptions = {}) {
    this.margin = margin;
  }

  bound(pool: PoolLoad): number {
    const live = Math.max(1, pool.liveEndpoints);
    const certain = pool.inFlight * (1 - this.margin);
    const mean = (certain + 1) / live;
    const share = Math.ceil(pool.loadMultiple * mean - ROUNDING);
    return Math.min(pool.maxInFlight, Math.max(1, share));
  }

  admits(inFlight: number, pool: PoolLoad): boolean {
    return inFlight + 1 <= this.bound(pool);
  }
}

/** Holds every endpoint to its own limit only. */
export class NaiveAdmission implements Admission {
  bound(pool: PoolLoad): number {
    return pool.maxInFlight;
  }

  admits(inFlight: number, pool: PoolLoad): boolean {
    return inFlight + 1 <= this.bound(pool);
  }
}
