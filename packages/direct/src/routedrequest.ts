/**
 * A caller's request after routing, the response to the caller, and the
 * outcome.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as wireProtocol from './wireprotocol.js';
import type * as model from './model.js';

/** A caller's request with the route, pool and customer that it matched. */
export interface RoutedRequest {
  readonly head: wireProtocol.CallerRequestHead;
  readonly method: string;
  /** Path with query string, as the caller sent it. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  readonly route: model.Route;
  readonly pool: string;
  /** Absent if the route requires no API key. */
  readonly customer?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Monotonic times of arrival and of the deadline, which is the earlier of the
   * caller's and the route's.
   */
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** What it may have in common with other requests that crash endpoints. */
  readonly crashKeys: readonly string[];
}

/** What the request lets one expect of the work of an endpoint. */
export function workOf({head, pool, route}: RoutedRequest): decide.RequestWork {
  return {
    pool,
    route: route.name,
    promptTokens: head.promptTokens,
    sharedTokens: head.sharedPrefixTokens,
    expectedOutputTokens: head.expectedOutputTokens,
  };
}

/**
 * How the end of a response body is marked: `marked` is by content-length or
 * chunked encoding, `connection` by closing the connection.
 *
 * A body that ends with its connection may be truncated without the router
 * noticing; only its content can tell, as the events of a stream do. The router
 * relays it with the same framing.
 */
export type Framing = 'marked' | 'connection';

/** The response to the caller. */
export interface CallerResponse {
  /** What the request and its response hold. */
  readonly memory: core.CallMemory;
  /** Whether the head was sent. */
  readonly hasBegun: boolean;
  /** Aborts when the caller disconnects before the response is complete. */
  readonly callerGone: AbortSignal;
  writeHead(
    status: number,
    headers: wireProtocol.HeaderMap,
    framing: Framing,
  ): void;
  /** Resolves when the next chunk may be written; undefined if it may at once. */
  write(chunk: Buffer): Promise<void> | undefined;
  /** Writes several chunks as `write` does one. */
  writeAll(chunks: readonly Buffer[]): Promise<void> | undefined;
  /** Ends a complete response. */
  end(): void;
  /** Ends a response whose whole body is in these chunks. */
  endWith(chunks: readonly Buffer[]): void;
  /**
   * Closes the connection of a response that has begun, so that the caller sees
   * that it is truncated.
   */
  abort(): void;
}

/** The placement of a request, and the source of its context. */
export interface PlacementDecision extends decide.DirectChoice {
  /** The endpoint that the chosen one was to copy context from. */
  readonly contextSource?: string;
  /** Version of the endpoint's software. */
  readonly softwareVersion?: string;
}

/** Whether the second of two sends that were open together answered first. */
export type SecondSendResult = 'won' | 'lost';

/** How often a request was sent to endpoints, and what is known of its runs. */
export interface SendSummary {
  readonly sendCount: number;
  /** Absent if the request was refused before it was dispatched. */
  readonly runs?: decide.RequestRuns;
  /** The last placement; absent if no endpoint was chosen. */
  readonly placement?: PlacementDecision;
  /** Time for which the request waited for room, in ms. */
  readonly waitedMs?: number;
  /** Absent if no second send was open beside the first. */
  readonly secondSend?: SecondSendResult;
}

/** The outcome of a request. */
export type RequestOutcome = SendSummary &
  (
    | {
        readonly type: 'answered';
        readonly status: number;
        readonly endpoint: string;
      }
    | {readonly type: 'failed'; readonly failure: core.Failure}
  );

/**
 * Whether a request of the route may be sent again although it may already have
 * run.
 */
export function isRetryable({repeat, isResumable}: model.Route): boolean {
  return repeat === 'idempotent' || (repeat === 'stream' && isResumable);
}
