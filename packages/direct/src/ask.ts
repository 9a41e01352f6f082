/** A caller's request with the rows that it matched, and its answer. */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as dialect from './dialect.js';
import type * as model from './model.js';

/** A request to serve. */
export interface Ask {
  readonly head: dialect.CallerHead;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  readonly route: model.Route;
  readonly pool: string;
  /** Absent on routes without keys. */
  readonly customer?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time of arrival, and the end of the caller's and route's time. */
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Names the request for the suspects; the same for a resend. */
  readonly signature: string;
}

/**
 * What ends an answer: its length or last chunk, or the end of its connection.
 * An answer that ends with its connection may lack its end, and only its
 * reader can tell; it is passed on in the same way.
 */
export type Framing = 'marked' | 'connection';

/** The caller's side of a request. */
export interface CallerAnswer {
  readonly hasBegun: boolean;
  /** Aborts when the caller has left. */
  readonly gone: AbortSignal;
  begin(status: number, headers: dialect.Headers, framing: Framing): void;
  /** Resolves when the next piece may come. */
  write(piece: Buffer): Promise<void>;
  /** Ends the answer as whole. */
  end(): void;
  /** Ends an answer that has begun, visibly cut. */
  cut(): void;
}

/** What decided the choice of an endpoint. */
export interface Placed extends decide.SpotChoice {
  /** The endpoint from which context was to be copied. */
  readonly source?: string;
}

/** What a request took. */
export interface Sent {
  readonly sends: number;
  /** What decided the last choice of an endpoint; absent: none was chosen. */
  readonly placed?: Placed;
}

/** How a request ended. */
export type Outcome = Sent &
  (
    | {
        readonly type: 'answered';
        readonly status: number;
        readonly endpoint: string;
      }
    | {readonly type: 'failed'; readonly failure: core.Failure}
  );

/** Whether the request may run again after a run whose end is unknown. */
export function mayRepeat({repeat, isResumable}: model.Route): boolean {
  return repeat === 'idempotent' || (repeat === 'stream' && isResumable);
}
