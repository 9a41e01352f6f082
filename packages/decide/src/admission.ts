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
