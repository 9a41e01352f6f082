/**
 * Estimates that are made only where they are called for: always, or once an
 * endpoint has told how long work takes there. Endpoints that tell it share their
 * instances with others, so that the number of requests says little of what they
 * still have to do. Elsewhere nothing is learned, which saves its work.
 */
import type * as learnedEstimates from './learnedestimates.js';
import type * as startEstimates from './startestimates.js';

/** Options of `OnDemandStartEstimates`. */
export interface OnDemandStartEstimatesOptions {
  readonly learned: learnedEstimates.LearnedStartEstimates;
  readonly isAlwaysOn: boolean;
}

/** Passes on to learned estimates while they are called for. */
export class OnDemandStartEstimates
  implements startEstimates.StartEstimates, startEstimates.WorkObserver
{
  private readonly learned: learnedEstimates.LearnedStartEstimates;
  private isCalledFor: boolean;

  constructor({learned, isAlwaysOn}: OnDemandStartEstimatesOptions) {
    this.learned = learned;
    this.isCalledFor = isAlwaysOn;
  }

  get isOn(): boolean {
    return this.isCalledFor;
  }

  estimate(
    work: startEstimates.RequestWork,
    endpoint: startEstimates.EstimatedEndpoint,
    nowMs: number,
  ): startEstimates.StartEstimate | undefined {
    if (!this.isCalledFor) return undefined;
    return this.learned.estimate(work, endpoint, nowMs);
  }

  recordSend(
    work: startEstimates.RequestWork,
    endpoint: startEstimates.EstimatedEndpoint,
    nowMs: number,
  ): startEstimates.SentWork {
    if (!this.isCalledFor) return {work, endpoint, sentAtMs: nowMs};
    return this.learned.recordSend(work, endpoint, nowMs);
  }

  recordFirstEvent(sent: startEstimates.SentWork, nowMs: number): void {
    this.learned.recordFirstEvent(sent, nowMs);
  }

  recordEnd(
    sent: startEstimates.SentWork,
    nowMs: number,
    isComplete: boolean,
  ): void {
    this.learned.recordEnd(sent, nowMs, isComplete);
  }

  recordLoad(
    endpoint: string,
    load: startEstimates.EndpointLoad,
    nowMs: number,
  ): void {
    if (load.pacePercent !== undefined) this.isCalledFor = true;
    if (this.isCalledFor) this.learned.recordLoad(endpoint, load, nowMs);
  }
}
