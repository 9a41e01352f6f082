/**
 * The dialect: what callers and endpoints say in HTTP headers and paths, in the
 * product's words. The platform's adapter implements it, so that decisions
 * know nothing of names on the wire and another front end can bring its own.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** What a caller says of its request besides method, path and body. */
export interface CallerHead {
  /** The caller's id of this try; answers repeat it. */
  readonly requestId: string;
  readonly host: string;
  readonly apiKey?: string;
  /** How long the caller waits, from the arrival of the request. */
  readonly waitMs?: number;
  /** Names the longest part of the prompt that other requests share. */
  readonly sharedPrefix?: string;
  /** Tokens of the prompt up to the end of that part. */
  readonly sharedTokens: number;
}

/** What an endpoint is told besides what the caller said. */
export interface EndpointOrder {
  /** The only lifetime of the endpoint that may run the request. */
  readonly endpointId: string;
  /** What is left of the caller's and the route's time. */
  readonly leftMs: number;
  readonly customer?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The last event that the caller has; the endpoint goes on after it. */
  readonly lastEventId?: string;
  /** Where the endpoint copies context from that it lacks, as `ip:port`. */
  readonly contextFrom?: string;
}

/** What the head of an endpoint's answer says. */
export interface AnswerHead {
  readonly requestId?: string;
  /** Whether the endpoint vouches for the answer. */
  readonly isSealed: boolean;
  /** The endpoint's word that it did not and will not run the request. */
  readonly isNotRun: boolean;
  /** Whether another endpoint has the address now. */
  readonly isElsewhere: boolean;
}

/** A part of prompts whose context an endpoint holds. */
export interface HeldContext {
  /** Names the prompt up to the end of the part. */
  readonly prefix: string;
  readonly tokens: number;
}

/** Headers to send, single or repeated. */
export type Headers = Record<string, string | string[]>;

/** The names on the wire. */
export interface Dialect {
  readCaller(headers: http.IncomingHttpHeaders): CallerHead;
  /** Headers of the request to an endpoint, from those of the caller. */
  endpointHeaders(
    headers: http.IncomingHttpHeaders,
    order: EndpointOrder,
  ): Headers;
  readAnswer(status: number, headers: http.IncomingHttpHeaders): AnswerHead;
  /** Headers of an endpoint's answer that the caller gets. */
  callerHeaders(headers: http.IncomingHttpHeaders): Headers;
  /** Headers of the router's own failure. */
  failureHeaders(requestId: string, retryAfterMs?: number): Headers;
  /** The caller's failure domain where it asks for addresses; else undefined. */
  readAddressCall(url: string): {zone?: string} | undefined;
  writeAddresses(
    routers: readonly model.Router[],
    entryPort: number,
    keepMs: number,
  ): unknown;
  /** Path at which an endpoint lists the context that it holds. */
  contextsPath(): string;
  /** The parts of prompts in such a list; undefined where it is none. */
  readContexts(list: unknown): readonly HeldContext[] | undefined;
  /** Whether the platform asks if the router takes requests. */
  isReadyCall(url: string): boolean;
}

/** The contract under which the dialect is registered. */
export const DIALECT = core.contract<Dialect>('dialect', [
  'readCaller',
  'endpointHeaders',
  'readAnswer',
  'callerHeaders',
  'failureHeaders',
  'readAddressCall',
  'writeAddresses',
  'contextsPath',
  'readContexts',
  'isReadyCall',
]);
