/** Helpers for fault tests: a fleet with routing tables, and raw HTTP calls. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

const POLL_MS = 20;
const CONDITION_TIMEOUT_MS = 20_000;
const ROUTER_PROGRAM = url.fileURLToPath(
  new URL('../main.js', import.meta.url),
);

/** Numbers and settings of a fleet's processes. */
export interface FleetOptions {
  readonly routers?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly routerFlags?: readonly string[];
  readonly engineFlags?: readonly string[];
  /** Fields added to the row of the route `/chat`. */
  readonly route?: object;
  /** Fields added to the row of the engines' pool. */
  readonly pool?: object;
}

function numberedNames(prefix: string, count = 0): string[] {
  return [...Array(count).keys()].map(index => `${prefix}${index + 1}`);
}

/** Starts a fleet that routes /chat to engines and /order to services. */
export async function startFleet(
  options: FleetOptions,
): Promise<standins.Fleet> {
  const fleet = new standins.Fleet({routerProgram: ROUTER_PROGRAM});
  await fleet.start();
  const {routerFlags, engineFlags} = options;
  await Promise.all([
    ...numberedNames('e', options.engines).map(name =>
      fleet.addEngine({name, flags: engineFlags, labels: {kind: 'engine'}}),
    ),
    ...numberedNames('s', options.services).map(name =>
      fleet.addService({name, labels: {kind: 'service'}}),
    ),
    ...numberedNames('r', options.routers).map(name =>
      fleet.addRouter({name, flags: routerFlags}),
    ),
  ]);
  await setTables(fleet, options);
  return fleet;
}

async function setTables(
  fleet: standins.Fleet,
  options: FleetOptions,
): Promise<void> {
  const pool = {
    name: 'engines',
    endpoint_label: 'kind=engine',
    ...options.pool,
  };
  const match = {path_prefix: '/chat'};
  const route = {name: 'chat', match, pool: 'engines', ...options.route};
  await createRows(fleet, [
    ['pools', pool],
    ['routes', route],
    ['pools', {name: 'services', endpoint_label: 'kind=service'}],
    [
      'routes',
      {
        name: 'order',
        match: {path_prefix: '/order'},
        pool: 'services',
        repeatable: false,
      },
    ],
  ]);
  await waitForRoute(fleet, '/chat');
}

/** Resolves once all routers have a route and a live endpoint for the path. */
export async function waitForRoute(
  fleet: standins.Fleet,
  path: string,
): Promise<void> {
  await until(async () => {
    const checks = fleet
      .entryAddresses()
      .map(address => hasRoute(address, path));
    return (await Promise.all(checks)).every(isRouted => isRouted);
  });
}

async function hasRoute(address: string, path: string): Promise<boolean> {
  const answer = await call(address, path);
  return !/no_route|not_ready|pool_empty/.test(answer.text);
}

/** A row as an operator sends it; optional fields may be absent. */
export interface Row {
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Creates rows by one edit at the first router; retries until it succeeds. */
export async function createRows(
  fleet: standins.Fleet,
  rows: ReadonlyArray<readonly [core.TableName, Row]>,
): Promise<void> {
  const [router] = fleet.instances('router');
  const changes = rows.map(([table, row]) => ({
    table,
    name: row.name,
    expected_version: 0,
    row,
  }));
  await until(async () => {
    const answer = await fetch(
      `http://${router!.address}:${router!.admin_port}/admin/v1/edits`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${fleet.options.adminToken}`},
        body: JSON.stringify({operator: 'test', changes}),
      },
    );
    return answer.ok;
  });
}

/** Resolves once `condition` holds; throws after a time-out. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = Date.now() + CONDITION_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > deadlineMs) throw new Error('condition timed out');
    await timers.setTimeout(POLL_MS);
  }
}

/** Waits for a period that is itself part of the tested behaviour. */
export const pause = (delayMs: number) => timers.setTimeout(delayMs);

/** Creates a caller with the addresses of all routers. */
export function createCaller(fleet: standins.Fleet): standins.Caller {
  const routers = fleet
    .instances('router')
    .map(({address, port}) => ({address, port}));
  return new standins.Caller({routers});
}

/** Counters of a stand-in endpoint. */
export interface EndpointCounts {
  readonly started: number;
  readonly finished: number;
  readonly cut: number;
  readonly in_flight: number;
  readonly connections: number;
  readonly admissions: ReadonlyArray<{at_ms: number}>;
  readonly runs_by_request: Readonly<Record<string, number>>;
}

/** Reads the counters of a stand-in endpoint. */
export async function readCounts(
  fleet: standins.Fleet,
  name: string,
): Promise<EndpointCounts> {
  return (await fleet.stats(name)) as EndpointCounts;
}

/** Number of requests in flight at the endpoints. */
export async function countInFlight(
  fleet: standins.Fleet,
  endpoints: readonly string[],
): Promise<number> {
  const counts = await Promise.all(
    endpoints.map(name => readCounts(fleet, name)),
  );
  return counts.reduce((sum, item) => sum + item.in_flight, 0);
}

/** Outcome of one raw HTTP call. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** Whether Node's client received the answer completely. */
  readonly isComplete: boolean;
  readonly error?: string;
}

/** Sends one request; an error before the answer resolves with status 0. */
export function call(
  address: string,
  path: string,
  options: http.RequestOptions & {body?: string} = {},
): Promise<RawAnswer> {
  const {body, ...rest} = options;
  const target = new URL(path, `http://${address}`);
  return new Promise(resolve => {
    const fail = (error: Error) =>
      resolve({
        status: 0,
        headers: {},
        text: '',
        isComplete: false,
        error: error.message,
      });
    const request = http.request(target, {method: 'POST', ...rest});
    core.responseEnds.follow(request);
    request.on('error', fail);
    request.on('response', response => {
      const {statusCode: status = 0, headers} = response;
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      const end = (error?: Error) =>
        resolve({
          status,
          headers,
          text,
          isComplete: core.responseEnds.isWhole(response) && !error,
          error: error?.message,
        });
      response.once('error', end);
      response.once('close', () => end());
    });
    request.end(body);
  });
}
