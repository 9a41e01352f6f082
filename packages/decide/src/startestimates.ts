/**
 * The estimate of when an endpoint can answer a request. Placement, waiting,
 * refusals, retry-after times and second sends all use this one estimate. It is
 * a guess: promises about runs, budgets and limits never depend on it.
 */

/** What is known of a request's work before it is sent. */
export interface RequestWork {
  readonly pool: string;
  /** Requests of one route resemble one another. */
  readonly route: string;
  /** Tokens of the whole prompt; 0 for requests without one. */
  readonly promptTokens: number;
  /** Tokens of the prompt that an endpoint with its prefix need not process. */
  readonly sharedTokens: number;
  /** Output tokens that the caller expects; absent if it does not say. */
  readonly expectedOutputTokens?: number;
}

/** An endpoint that could run a request. */
export interface EstimatedEndpoint {
  readonly id: string;
  /** Whether the endpoint holds the context of the prompt's shared part. */
  readonly holdsPrefix: boolean;
}

/** When an endpoint could answer, from the time of the estimate on. */
export interface StartEstimate {
  /**
   * Time until the first event of a stream, or until the response of a request
   * without events, in ms.
   */
  readonly firstEventMs: number;
  /** Time until the response is complete, in ms. */
  readonly completeMs: number;
  /** Processing time that the request adds to the endpoint's work, in ms. */
  readonly workMs: number;
}

/** Estimates when endpoints can answer. */
export interface StartEstimates {
  /** Undefined as long as too little is known of the pool. */
  estimate(
    work: RequestWork,
    endpoint: EstimatedEndpoint,
    nowMs: number,
  ): StartEstimate | undefined;
}

/** Baseline: knows nothing, so that requests are placed by their number. */
export class UnknownStartEstimates implements StartEstimates {
  estimate(): undefined {}
}
