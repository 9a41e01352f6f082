/**
 * What a router knows of the runs of one request. Each send is recorded before
 * its first byte can leave, and counts as a run until its result proves that
 * there was none. Only this record decides whether the request may be sent again
 * and whether its caller may be told that it did not run.
 */

/** What the result of a send tells about a run. */
export type SendResult =
  /** No byte of the request left the router. */
  | 'not_sent'
  /** The endpoint stated that it did not run the request. */
  | 'not_run'
  /** The endpoint may have run it, but crashed and runs it no longer. */
  | 'ended'
  /** The endpoint may have run it, or may still run it. */
  | 'may_run';

/** What the route of a request allows. */
export interface RunRules {
  /** Whether a request that may have run may be sent again. */
  readonly isRepeatable: boolean;
  /** Maximum number of endpoints that may run the request. */
  readonly maxRuns: number;
}

/** Shown for a send whose result is not known yet. */
const OPEN = 'open';

/** The runs of one request. */
export class RequestRuns {
  private readonly results: SendResult[] = [];
  private openCount = 0;

  constructor(private readonly rules: RunRules) {}

  /** Records that the request is about to be sent. */
  begin(): void {
    if (this.openCount > 0) {
      throw new Error('the send before has no result yet');
    }
    this.openCount = 1;
  }

  /** Records that the request is about to be sent beside an open send. */
  beginSecond(): void {
    if (this.openCount !== 1) throw new Error('there is not one open send');
    if (!this.maySendAfterOpen()) throw new Error('no further run is allowed');
    this.openCount = 2;
  }

  /** Records the result of an open send. */
  end(result: SendResult): void {
    if (this.openCount === 0) throw new Error('no send was begun');
    this.openCount -= 1;
    this.results.push(result);
  }

  /** Whether the request may be sent to another endpoint now. */
  maySend(): boolean {
    return this.openCount === 0 && this.mayFollow(this.results);
  }

  /**
   * Whether the request could be sent to another endpoint if the open sends were
   * given up, or beside them.
   */
  maySendAfterOpen(): boolean {
    const openRuns = Array.from(
      {length: Math.max(1, this.openCount)},
      () => 'may_run' as const,
    );
    return this.mayFollow([...this.results, ...openRuns]);
  }

  /** Whether it is certain that no endpoint ran the request or will run it. */
  get isKnownNotRun(): boolean {
    return this.openCount === 0 && !this.results.some(isPossibleRun);
  }

  /** The results in order, for the log. */
  toString(): string {
    const names: string[] = [...this.results];
    for (let open = 0; open < this.openCount; open++) names.push(OPEN);
    return names.join(',');
  }

  private mayFollow(results: readonly SendResult[]): boolean {
    if (!results.some(isPossibleRun)) return true;
    const {isRepeatable, maxRuns} = this.rules;
    return isRepeatable && countMayRun(results) < maxRuns;
  }
}

function isPossibleRun(result: SendResult): boolean {
  return result === 'may_run' || result === 'ended';
}

function countMayRun(results: readonly SendResult[]): number {
  return results.filter(result => result === 'may_run').length;
}
