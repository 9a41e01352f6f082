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
  /**
   * Part of `firstEventMs` that work of other requests and the pace of the
   * endpoint add, in ms; absent if it is not known.
   */
  readonly delayMs?: number;
}

/** The load that an endpoint told with a response. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** Requests that it runs at once; absent if it does not say. */
  readonly slots?: number;
  /**
   * How long work takes at this moment; 100 is as usual. Absent if the endpoint
   * does not say.
   */
  readonly pacePercent?: number;
}

/** A request that was sent, as known to the estimates. */
export interface SentWork {
  readonly work: RequestWork;
  readonly endpoint: EstimatedEndpoint;
  readonly sentAtMs: number;
  /** Absent if too little was known. */
  readonly estimate?: StartEstimate;
}

/** Estimates when endpoints can answer. */
export interface StartEstimates {
  /** Whether estimates are made at all. */
  readonly isOn: boolean;
  /** Undefined as long as too little is known of the pool. */
  estimate(
    work: RequestWork,
    endpoint: EstimatedEndpoint,
    nowMs: number,
  ): StartEstimate | undefined;
}

/** Observes what endpoints do, so that estimates can be learned from it. */
export interface WorkObserver {
  recordSend(
    work: RequestWork,
    endpoint: EstimatedEndpoint,
    nowMs: number,
  ): SentWork;
  /**
   * Records the first event of a stream, or a response without events, that is
   * no failure.
   */
  recordFirstEvent(sent: SentWork, nowMs: number): void;
  /**
   * Records that the request has ended or was given up.
   * @param isComplete whether its response arrived as a whole
   */
  recordEnd(sent: SentWork, nowMs: number, isComplete: boolean): void;
  recordLoad(endpoint: string, load: EndpointLoad, nowMs: number): void;
}

/** Baseline: knows nothing, so that requests are placed by their number. */
export class UnknownStartEstimates implements StartEstimates, WorkObserver {
  readonly isOn = false;

  estimate(): undefined {}

  recordSend(
    work: RequestWork,
    endpoint: EstimatedEndpoint,
    nowMs: number,
  ): SentWork {
    return {work, endpoint, sentAtMs: nowMs};
  }

  recordFirstEvent(): void {}

  recordEnd(): void {}

  recordLoad(): void {}
}
