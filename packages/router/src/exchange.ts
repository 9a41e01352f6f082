/**
 * A request and the writer of its answer, independent of any encoding. Each
 * front end converts its messages into these types, so that all of them use the
 * same decisions.
 */
import * as core from '@oleanderrock/core';

/** A request as the router handles it. */
export interface RouterRequest {
  readonly id: string;
  readonly customer: string;
  readonly chat?: string;
  /** Idempotency key of an at-most-once call. */
  readonly key?: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Headers that are forwarded to the endpoint; names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** How many times the request was forwarded between routers. */
  readonly hops: number;
  /** The endpoint that the forwarding router chose. */
  readonly targetEndpoint?: string;
  /** The chat's last endpoint in the forwarding router's chat memory. */
  readonly lastEndpoint?: string;
  /** The claim attempt under which the call may be dispatched. */
  readonly claimAttempt?: string;
}

/** Head of an answer, with the endpoint and why it was chosen. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly endpoint: string;
  readonly reason: string;
}

/** Writes the answer of one request; each front end implements it. */
export interface Answer {
  /** Whether the head was sent; after that the request cannot be retried. */
  readonly hasSentHead: boolean;
  /** Aborts when the caller closes its connection. */
  readonly callerGone: AbortSignal;
  /** Begins an answer; its head may be held back until the first byte. */
  begin(head: AnswerHead): void;
  /** Writes a chunk of the body; resolves when the next may be written. */
  write(chunk: Buffer): Promise<void>;
  /** Completes the answer. */
  end(): void;
  /**
   * Aborts the answer so that it cannot be mistaken for a complete one. If no
   * head was sent, another answer may begin.
   */
  abort(): void;
  /** Answers with an error; aborts the answer if its head was sent. */
  refuse(failure: core.Failure): void;
}

/** The result of one attempt to have a request answered. */
export type Outcome =
  | {
      readonly type: 'answered';
      readonly endpoint: string;
      readonly status: number;
      readonly tokens: number;
      readonly cachedTokens: number;
      /** Whether the answer said that the endpoint is leaving. */
      readonly isLeaving: boolean;
    }
  | {
      readonly type: 'failed';
      readonly failure: core.Failure;
      /** Whether the connection broke during the request, as after a crash. */
      readonly isDisconnected: boolean;
    };

/** Creates the outcome of a failed attempt. */
export function failed(
  kind: core.ErrorKind,
  detail: string,
  options: {isDisconnected?: boolean; retryAfterMs?: number} = {},
): Outcome {
  const {isDisconnected = false, retryAfterMs} = options;
  return {
    type: 'failed',
    failure: {kind, detail, retryAfterMs},
    isDisconnected,
  };
}

/** Creates the outcome of a request that was refused with this failure. */
export function refused(failure: core.Failure): Outcome {
  return {type: 'failed', failure, isDisconnected: false};
}

/**
 * The outcome to report after two attempts. An answer wins; of two failures,
 * the earlier one wins if the request may have run in it, else the later one.
 */
export function combineOutcomes(
  previous: Outcome | undefined,
  latest: Outcome,
): Outcome {
  if (previous?.type !== 'failed' || latest.type === 'answered') return latest;
  const mayHaveRun = core.ERROR_RESPONSES[previous.failure.kind].ran !== 'no';
  return mayHaveRun ? previous : latest;
}

/** Parses a header that counts tokens; 0 unless it is a whole number. */
export function parseTokenCount(value: string | string[] | undefined): number {
  const parsed = Number(value);
  return Number.isSafeInteger(parsed) && parsed > 0 ? parsed : 0;
}
