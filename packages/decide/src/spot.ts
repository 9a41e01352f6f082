/** Endpoints that a request may go to, and the choice among them. */

/** An endpoint that may be chosen. */
export interface Spot {
  readonly id: string;
  readonly zone: string;
  /** Requests in flight there, over all routers. */
  readonly inFlight: number;
}

/** What a placement knows of a request. */
export interface PlacementAsk {
  /** Names the shared part of the prompt; absent: none is shared. */
  readonly prefix?: string;
  /** Tokens that an endpoint without the prefix has to read. */
  readonly prefixTokens?: number;
  /** Endpoints that hold the prefix. */
  readonly homes?: readonly string[];
  /** Failure domain of the router. */
  readonly zone: string;
}

/** Why an endpoint was chosen. */
export type SpotReason =
  /** It holds the prefix. */
  | 'home'
  /** Nobody holds the prefix; its rank is the first. */
  | 'rank'
  /** Those that hold the prefix are at their bound. */
  | 'spill'
  /** Least runs there. */
  | 'least'
  /** No prefix is shared; less runs there than at another. */
  | 'two';

/** An endpoint that was chosen, with what decided it. */
export interface SpotChoice {
  readonly spot: Spot;
  readonly reason: SpotReason;
  /** Load from which on an endpoint is passed by; absent: none was set. */
  readonly limit?: number;
}

/** Strategy of placement. */
export interface SpotPlacement {
  /** The endpoint to use, or undefined where there is none. */
  choose(ask: PlacementAsk, spots: readonly Spot[]): SpotChoice | undefined;
}
