/**
 * Test data for the hosted platform: configuration as operators write it,
 * headers as callers send them, and free ports.
 */
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as hostedEndpoint from './hostedendpoint.js';

/** Kind of a route, which decides whether its requests may be repeated. */
export type HostedRouteKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** Fields of a configuration or of a part of it. */
export type HostedConfigFields = Record<string, unknown>;

/** Route with default values; `overrides` replaces fields. */
export function hostedRoute(
  host: string,
  pathPrefix: string,
  kind: HostedRouteKind,
  overrides: HostedConfigFields = {},
): HostedConfigFields {
  return {
    name: `r${pathPrefix.replaceAll('/', '-')}`,
    host,
    pathPrefix,
    kind,
    service: 'pool',
    timeoutMs: 2_000,
    goalMs: 100,
    priority: 1,
    maxAttempts: kind === 'non_idempotent' ? 1 : 2,
    public: false,
    resumable: kind === 'streaming',
    ...overrides,
  };
}

/** Configuration with one customer and default limits. */
export function hostedConfig(
  version: number,
  routes: readonly HostedConfigFields[],
  customer: {readonly name: string; readonly key: string},
): HostedConfigFields {
  return {
    version,
    routes,
    services: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headerMs: 3_000,
      idleMs: 15_000,
    },
    tenants: [{name: customer.name, keys: [customer.key]}],
  };
}

/** Request data that a caller sends in headers. */
export interface HostedCallerHead {
  readonly host: string;
  /** Id of this attempt of the request. */
  readonly attemptId: string;
  /** API key of the customer. */
  readonly apiKey: string;
  /** How long the caller waits for the answer. */
  readonly deadlineMs: number;
}

/** Headers as an endpoint sends them besides the required ones. */
export const SAMPLE_ENDPOINT_HEADERS = {
  'server-load': '3,0,8',
  'content-type': 'text/event-stream',
  'keep-alive': 'timeout=30',
};

/** Headers as a caller with a prompt sends them besides the required ones. */
export const SAMPLE_CALLER_HEADERS = {
  'content-type': 'application/json',
  'prompt-prefix': 'p1:512,p2-17:9000,u-77:1300',
  'token-counts': '10812,160',
  'length-hint': '80',
  'idempotency-note': 'none',
};

/** Headers of a caller's request. */
export function callerHeaders(head: HostedCallerHead): Record<string, string> {
  return {
    host: head.host,
    'attempt-id': head.attemptId,
    'deadline-ms': String(head.deadlineMs),
    'x-api-key': head.apiKey,
  };
}

/** Whether an answer carries the attempt id and an endpoint's seal for it. */
export function isAnswerTo(
  id: string,
  headers: http.IncomingHttpHeaders,
): boolean {
  const seal = String(headers['response-seal']);
  return headers['attempt-id'] === id && seal.endsWith(`.${id}`);
}

/** Attempt and customer of a request that an endpoint ran. */
export interface RunOrigin {
  readonly id: string;
  readonly customer?: string;
  /** API key, which a router must not forward to endpoints. */
  readonly key?: string;
}

/** Reads the attempt and customer of a run from its headers. */
export function readRunOrigin({
  headers,
}: hostedEndpoint.RecordedRun): RunOrigin {
  const header = (name: string) => headers[name]?.toString();
  return {
    id: header('attempt-id') ?? '',
    customer: header('tenant'),
    key: header('x-api-key'),
  };
}

/** Returns distinct ports that are free on all addresses. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, '0.0.0.0', resolve));
    ports.push((server.address() as net.AddressInfo).port);
  }
  // All are open at this point; a port closed earlier could be chosen again.
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return ports;
}
