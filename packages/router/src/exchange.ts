/**
 * One request and the place where its answer goes, free of any encoding. A
 * front end turns its messages into these, so that another front end can use
 * the same decisions.
 */
import * as core from '@oleanderrock/core';

/** A request as the router handles it. */
export interface RouterRequest {
  readonly id: string;
  readonly customer: string;
  readonly chat?: string;
  /** Key of a call that may not be repeated. */
  readonly key?: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Headers that go on to the endpoint, names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** How many routers have passed the request on. */
  readonly hops: number;
  /** The endpoint that the passing router chose. */
  readonly target?: string;
  /** The endpoint that last served the chat, as the passing router knows. */
  readonly last?: string;
  /** The claim attempt under which the call may be dispatched. */
  readonly attempt?: string;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly endpoint: string;
  readonly reason: string;
}

/** Where an answer goes; each front end has a class of its own. */
export interface Answer {
  /** True once the head has left; after that nothing can be repeated. */
  readonly hasBegun: boolean;
  /** Aborts when the caller is gone. */
  readonly gone: AbortSignal;
  begin(head: AnswerHead): void;
  /** Resolves when the caller can take more. */
  write(chunk: Buffer): Promise<void>;
  end(): void;
  /**
   * Breaks the answer off, so that it cannot be taken for a whole one; where no
   * head has left, another answer may begin.
   */
  cut(): void;
  refuse(failure: core.Failure): void;
}

/** What became of one try to have a request answered. */
export type Outcome =
  | {
      readonly type: 'answered';
      readonly endpoint: string;
      readonly status: number;
      readonly tokens: number;
      readonly cachedTokens: number;
      /** The endpoint said that it is leaving. */
      readonly isLeaving: boolean;
    }
  | {
      readonly type: 'failed';
      readonly failure: core.Failure;
      /** The connection broke under the request, as in a crash. */
      readonly isBroken: boolean;
    };

/** Makes the outcome of a failed try. */
export function failed(
  kind: core.Kind,
  detail: string,
  options: {isBroken?: boolean; retryAfterMs?: number} = {},
): Outcome {
  const {isBroken = false, retryAfterMs} = options;
  return {type: 'failed', failure: {kind, detail, retryAfterMs}, isBroken};
}

/** The outcome of a refusal that left no trace at an endpoint. */
export function refused(failure: core.Failure): Outcome {
  return {type: 'failed', failure, isBroken: false};
}

/** What to tell after two tries: not run only where neither may have run. */
export function worse(before: Outcome | undefined, outcome: Outcome): Outcome {
  if (before?.type !== 'failed' || outcome.type === 'answered') return outcome;
  const mayHaveRun = core.ANSWERS[before.failure.kind].ran !== 'no';
  return mayHaveRun ? before : outcome;
}
