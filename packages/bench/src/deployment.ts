/** Sizes, tables and members of the deployments of the demo and the bench. */
import type * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

/** Number of processes of each kind, and their location. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly failureDomains: number;
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
}

/** Deployment of the size of Erdwerk's. */
export const ERDWERK: Deployment = {
  name: 'erdwerk',
  region: 'zurich',
  failureDomains: 4,
  routers: 18,
  engines: 8,
  services: 4,
};

/** Deployment of the size of Fraser Valley's. */
export const FRASER_VALLEY: Deployment = {
  name: 'fraser-valley',
  region: 'bc',
  failureDomains: 3,
  routers: 19,
  engines: 6,
  services: 3,
};

/** Capacity and speed of each engine. */
export const ENGINE_SPEED: standins.EngineCapacity = {
  cacheTokens: 120_000,
  slots: 16,
  prefillUsPerToken: 60,
  tokenMs: 8,
};

/** Paths of the routes, by type of call. */
export const PATHS = {
  chat: '/chat',
  draft: '/drafts',
  status: '/status',
  certificate: '/certificates',
} as const;

const CHAT_WAIT_MS = 3_000;
const DRAFT_WAIT_MS = 5_000;
const CERTIFICATE_WAIT_MS = 2_000;
const MODEL_POOL = 'language-model';
const SERVICE_POOL = 'test-sheets';

/** Rows of the tables, by table, as `oleanderctl apply` reads them. */
export interface TableRows {
  readonly pools: ReadonlyArray<Partial<core.Pool> & {name: string}>;
  readonly routes: ReadonlyArray<
    Pick<core.Route, 'name' | 'match' | 'pool'> & Partial<core.Route>
  >;
}

/** Settings of the engines' pool that experiments change. */
export interface RowOptions {
  /** Maximum load of an engine, as a multiple of the mean. */
  readonly loadMultiple?: number;
  /** Maximum of requests in flight on an engine. */
  readonly maxInFlight?: number;
}

/** Creates the rows of both tables. */
export function createRows(options: RowOptions = {}): TableRows {
  const {loadMultiple = 1.25, maxInFlight = ENGINE_SPEED.slots} = options;
  return {
    pools: [
      {
        name: MODEL_POOL,
        endpoint_label: `pool=${MODEL_POOL}`,
        load_multiple: loadMultiple,
        max_in_flight: maxInFlight,
      },
      {name: SERVICE_POOL, endpoint_label: `pool=${SERVICE_POOL}`},
    ],
    routes: [
      {
        name: 'chat',
        match: {path_prefix: PATHS.chat},
        pool: MODEL_POOL,
        wait_ms: CHAT_WAIT_MS,
      },
      {
        name: 'drafts',
        match: {path_prefix: PATHS.draft},
        pool: MODEL_POOL,
        priority: 'low',
        wait_ms: DRAFT_WAIT_MS,
      },
      {
        name: 'status',
        match: {path_prefix: PATHS.status},
        pool: SERVICE_POOL,
        priority: 'high',
        wait_ms: 0,
      },
      {
        name: 'certificates',
        match: {path_prefix: PATHS.certificate},
        pool: SERVICE_POOL,
        repeatable: false,
        wait_ms: CERTIFICATE_WAIT_MS,
      },
    ],
  };
}

function memberNames(kind: string, count: number): string[] {
  return [...Array(count).keys()].map(index => `${kind}-${index + 1}`);
}

/** Names of the routers. */
export function routerNames({routers}: Deployment): string[] {
  return memberNames('router', routers);
}

/** Names of the engines. */
export function engineNames({engines}: Deployment): string[] {
  return memberNames('engine', engines);
}

/** Names of the plain services. */
export function serviceNames({services}: Deployment): string[] {
  return memberNames('service', services);
}

/** Options to start the named member of the deployment. */
export function memberOptions(
  deployment: Deployment,
  name: string,
): standins.MemberOptions {
  const number = Number(name.split('-').at(-1));
  const domain = (number % deployment.failureDomains) + 1;
  const [kind] = name.split('-');
  const pool = kind === 'engine' ? MODEL_POOL : SERVICE_POOL;
  return {
    name,
    region: deployment.region,
    failureDomain: `${deployment.region}-${domain}`,
    labels: kind === 'router' ? {} : {pool},
    flags: kind === 'engine' ? engineFlags() : [],
  };
}

function engineFlags(): string[] {
  return [
    ['--cache-tokens', ENGINE_SPEED.cacheTokens],
    ['--slots', ENGINE_SPEED.slots],
    ['--prefill-us-per-token', ENGINE_SPEED.prefillUsPerToken],
    ['--token-ms', ENGINE_SPEED.tokenMs],
  ].flatMap(([flag, value]) => [String(flag), String(value)]);
}
