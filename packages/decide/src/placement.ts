/**
 * Placement: in which order a request tries the endpoints of its pool.
 */

/** What placement may know of a request. */
export interface PlacementRequest {
  readonly requestId: string;
  /** The chat that the request continues; absent for calls without one. */
  readonly chat?: string;
}

/** An endpoint that could take the request. */
export interface Candidate {
  readonly name: string;
  /** Requests in flight, exact for owned endpoints, else the newest known. */
  readonly inFlight: number;
  /** False while the endpoint has come back too recently to be a home. */
  readonly isSettled: boolean;
}

/** Why an endpoint stands where it does in the order. */
export type PlacementReason =
  'memory' | 'home' | 'next' | 'least_load' | 'turn';

/** One endpoint of the order, with the reason for its place. */
export interface Choice {
  readonly endpoint: string;
  readonly reason: PlacementReason;
}

/** Strategy that orders the endpoints for a request. */
export interface Placement {
  /** All candidates, the best first. */
  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly Choice[];
}
