/** What the tests of failures share: a fleet with tables, and raw HTTP. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

const POLL_MS = 20;
const UNTIL_MS = 20_000;
const ROUTER = url.fileURLToPath(new URL('../main.js', import.meta.url));

/** What a fleet is made of. */
export interface Parts {
  readonly routers?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly routerFlags?: readonly string[];
  readonly engineFlags?: readonly string[];
  /** Added to the row of the route `/chat` and its pool. */
  readonly route?: object;
  readonly pool?: object;
}

function names(prefix: string, count = 0): string[] {
  return [...Array(count).keys()].map(index => `${prefix}${index + 1}`);
}

/** Starts a fleet whose route /chat has all engines, /order all services. */
export async function startFleet(parts: Parts): Promise<standins.Fleet> {
  const fleet = new standins.Fleet({routerProgram: ROUTER});
  await fleet.start();
  const {routerFlags, engineFlags} = parts;
  await Promise.all([
    ...names('e', parts.engines).map(name =>
      fleet.addEngine({name, flags: engineFlags, labels: {kind: 'engine'}}),
    ),
    ...names('s', parts.services).map(name =>
      fleet.addService({name, labels: {kind: 'service'}}),
    ),
    ...names('r', parts.routers).map(name =>
      fleet.addRouter({name, flags: routerFlags}),
    ),
  ]);
  await setTables(fleet, parts);
  return fleet;
}

async function setTables(fleet: standins.Fleet, parts: Parts): Promise<void> {
  const pool = {name: 'engines', endpoint_label: 'kind=engine', ...parts.pool};
  const match = {path_prefix: '/chat'};
  const route = {name: 'chat', match, pool: 'engines', ...parts.route};
  await edit(fleet, [
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
  await ready(fleet, '/chat');
}

/** Resolves once all routers know the path's route. */
export async function ready(
  fleet: standins.Fleet,
  path: string,
): Promise<void> {
  await until(async () => {
    const all = fleet.addresses().map(address => knows(address, path));
    return (await Promise.all(all)).every(is => is);
  });
}

async function knows(address: string, path: string): Promise<boolean> {
  const answer = await call(address, path);
  return !/no_route|not_ready|pool_empty/.test(answer.text);
}

/** A row as an operator writes it: whatever the schema lets out may lack. */
export interface Row {
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Adds new rows in one edit at the first router. */
export async function edit(
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

/** Resolves once `condition` holds; throws where it takes too long. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = Date.now() + UNTIL_MS;
  while (!(await condition())) {
    if (Date.now() > deadlineMs) throw new Error('waited in vain');
    await timers.setTimeout(POLL_MS);
  }
}

/** Resolves after a time that the promise under test names. */
export const pause = (delayMs: number) => timers.setTimeout(delayMs);

/** A caller of all routers. */
export function caller(fleet: standins.Fleet): standins.Caller {
  const routers = fleet
    .instances('router')
    .map(({address, port}) => ({address, port}));
  return new standins.Caller({routers});
}

/** What a stand-in endpoint counts. */
export interface Counts {
  readonly started: number;
  readonly finished: number;
  readonly cut: number;
  readonly in_flight: number;
  readonly connections: number;
  readonly admissions: ReadonlyArray<{at_ms: number}>;
  readonly runs_by_request: Readonly<Record<string, number>>;
}

/** The counts of a stand-in endpoint. */
export async function counts(
  fleet: standins.Fleet,
  name: string,
): Promise<Counts> {
  return (await fleet.stats(name)) as Counts;
}

/** Requests that run at the endpoints now. */
export async function running(
  fleet: standins.Fleet,
  endpoints: readonly string[],
): Promise<number> {
  const all = await Promise.all(endpoints.map(name => counts(fleet, name)));
  return all.reduce((sum, item) => sum + item.in_flight, 0);
}

/** What one raw HTTP call gave. */
export interface Raw {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** Whether Node's client took the answer for whole. */
  readonly isWhole: boolean;
  readonly error?: string;
}

/** One call over Node's client, whatever comes of it. */
export function call(
  address: string,
  path: string,
  options: http.RequestOptions & {body?: string} = {},
): Promise<Raw> {
  const {body, ...rest} = options;
  const target = new URL(path, `http://${address}`);
  return new Promise(resolve => {
    const fail = (error: Error) =>
      resolve({
        status: 0,
        headers: {},
        text: '',
        isWhole: false,
        error: error.message,
      });
    const request = http.request(target, {method: 'POST', ...rest});
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
          isWhole: response.complete && !error,
          error: error?.message,
        });
      response.once('error', end);
      response.once('close', () => end());
    });
    request.end(body);
  });
}
