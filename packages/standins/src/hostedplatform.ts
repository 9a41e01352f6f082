/**
 * What callers, operators and endpoints of the users' platform write, for tests
 * and the soak: rows of the configuration, and headers of callers.
 */
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as hostedEndpoint from './hostedendpoint.js';

/** What may be repeated of a route's requests, as operators write it. */
export type HostedKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** Fields of a route that differ from the usual ones. */
export type HostedFields = Record<string, unknown>;

/** A route as operators write it. */
export function hostedRoute(
  host: string,
  pathPrefix: string,
  kind: HostedKind,
  more: HostedFields = {},
): HostedFields {
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
    ...more,
  };
}

/** A configuration as operators write it, with one customer. */
export function hostedConfig(
  version: number,
  routes: readonly HostedFields[],
  customer: {readonly name: string; readonly key: string},
): HostedFields {
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

/** What a caller says of its request. */
export interface HostedHead {
  readonly host: string;
  /** Names this try of the request. */
  readonly id: string;
  readonly key: string;
  /** How long the caller waits. */
  readonly waitMs: number;
}

/** A caller's headers. */
export function callerHeaders(head: HostedHead): Record<string, string> {
  return {
    host: head.host,
    'attempt-id': head.id,
    'deadline-ms': String(head.waitMs),
    'x-api-key': head.key,
  };
}

/** Whether an answer names the try and is vouched for by its endpoint. */
export function isAnswerTo(
  id: string,
  headers: http.IncomingHttpHeaders,
): boolean {
  const seal = String(headers['response-seal']);
  return headers['attempt-id'] === id && seal.endsWith(`.${id}`);
}

/** For whom an endpoint ran a request. */
export interface RanFor {
  readonly id: string;
  readonly customer?: string;
  /** A key that should not have been passed on. */
  readonly key?: string;
}

/** Reads for whom a request ran. */
export function ranFor({headers}: hostedEndpoint.SeenRun): RanFor {
  const text = (name: string) => headers[name]?.toString();
  return {
    id: text('attempt-id') ?? '',
    customer: text('tenant'),
    key: text('x-api-key'),
  };
}

/** Ports that are free on all addresses, each a different one. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, '0.0.0.0', resolve));
    ports.push((server.address() as net.AddressInfo).port);
  }
  // Only now, or one could be given twice.
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return ports;
}
