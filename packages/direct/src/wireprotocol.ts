/**
 * The wire protocol: reads and writes the headers, paths and bodies exchanged
 * with callers and endpoints. The platform's adapter implements it, so that
 * decisions do not depend on names on the wire, and another front end can
 * supply its own protocol.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as model from './model.js';

/** Head of a caller's request, without method, path and body. */
export interface CallerRequestHead {
  /** The caller's id of this attempt; responses carry the same id. */
  readonly requestId: string;
  readonly host: string;
  readonly apiKey?: string;
  /** How long the caller waits from the arrival of the request, in ms. */
  readonly callerTimeoutMs?: number;
  /** Id of the longest prompt prefix that other requests share. */
  readonly sharedPrefix?: string;
  /** Number of prompt tokens up to the end of that prefix. */
  readonly sharedPrefixTokens: number;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedParts: readonly string[];
  /** Tokens of the whole prompt; 0 for requests without one. */
  readonly promptTokens: number;
  /** Id of the last event that the caller has of a stream that it takes up. */
  readonly lastEventId?: string;
  /** The caller's attempt that brought the first event of that stream. */
  readonly resumedRequestId?: string;
  /** Output tokens that the caller expects; absent if it does not say. */
  readonly expectedOutputTokens?: number;
}

/** Headers that the router adds to a request to an endpoint. */
export interface EndpointRequestHead {
  /**
   * Id of the endpoint's lifetime that may run the request; an endpoint with
   * another id must refuse it.
   */
  readonly endpointId: string;
  /** Time until the deadline, in ms. */
  readonly timeoutMs: number;
  readonly customer?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Id of the last event that the caller received; the endpoint resumes after
   * it.
   */
  readonly lastEventId?: string;
  /** Address of an endpoint to copy the prompt's context from, as `ip:port`. */
  readonly contextFrom?: string;
}

/**
 * What a response says of the requests a second that its endpoint takes from
 * all routers together.
 */
export type NamedLimit =
  | {readonly type: 'none'}
  | {readonly type: 'limit'; readonly perSecond: number}
  /** The value is malformed, so what was said before still holds. */
  | {readonly type: 'unreadable'};

/** Head of an endpoint's response. */
export interface EndpointResponseHead {
  readonly requestId?: string;
  /** Whether the response carries the endpoint's seal. */
  readonly isSealed: boolean;
  /**
   * Whether the endpoint guarantees that it did not and will not run the
   * request.
   */
  readonly isNotRun: boolean;
  /** Whether another endpoint now uses the address. */
  readonly isMisdirected: boolean;
  /** Whether the endpoint shuts down and wants no further requests. */
  readonly isLeaving: boolean;
  /**
   * How long the endpoint wants no requests of this router, in ms; absent if it
   * does not say so.
   */
  readonly holdOffMs?: number;
  readonly namedLimit: NamedLimit;
  /** Absent if the endpoint does not tell its load. */
  readonly load?: decide.EndpointLoad;
  /** How long the endpoint is still cold, in ms; absent if it does not say. */
  readonly coldMs?: number;
}

/** A prompt prefix whose context is in an endpoint's cache. */
export interface CachedPrefix {
  /** Id of the prefix. */
  readonly prefix: string;
  readonly tokens: number;
}

/** Headers to send; an array repeats the header. */
export type HeaderMap = Record<string, string | string[]>;

/** Reads and writes messages on the wire. */
export interface WireProtocol {
  readCallerRequest(headers: http.IncomingHttpHeaders): CallerRequestHead;
  /**
   * Builds the headers of the request to an endpoint from those of the caller.
   */
  endpointRequestHeaders(
    headers: http.IncomingHttpHeaders,
    head: EndpointRequestHead,
  ): HeaderMap;
  readEndpointResponse(
    status: number,
    headers: http.IncomingHttpHeaders,
  ): EndpointResponseHead;
  /** Selects the headers of an endpoint's response that the caller receives. */
  callerResponseHeaders(headers: http.IncomingHttpHeaders): HeaderMap;
  /** Headers of a failure that the router itself reports. */
  failureHeaders(requestId: string, retryAfterMs?: number): HeaderMap;
  /**
   * Parses a request for router addresses; returns the caller's failure domain,
   * or undefined if the URL is for something else.
   */
  readAddressQuery(url: string): {zone?: string} | undefined;
  addressListBody(
    routers: readonly model.Router[],
    entryPort: number,
    validMs: number,
  ): unknown;
  /** Path at which an endpoint lists the prefixes in its cache. */
  cachedPrefixesPath(): string;
  /** Parses an endpoint's list of cached prefixes; undefined if malformed. */
  readCachedPrefixes(body: unknown): readonly CachedPrefix[] | undefined;
  /** Whether the URL is that of the platform's readiness check. */
  isReadinessCheck(url: string): boolean;
}

/** The contract under which the wire protocol is registered. */
export const WIRE_PROTOCOL = core.contract<WireProtocol>('wire-protocol', [
  'readCallerRequest',
  'endpointRequestHeaders',
  'readEndpointResponse',
  'callerResponseHeaders',
  'failureHeaders',
  'readAddressQuery',
  'addressListBody',
  'cachedPrefixesPath',
  'readCachedPrefixes',
  'isReadinessCheck',
]);
