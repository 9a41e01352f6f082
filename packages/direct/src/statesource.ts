/** Fetches the tables and the state of other routers. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as jsonFetch from './jsonfetch.js';
import * as routerState from './routerstate.js';
import type * as settings from './settings.js';
import * as tablesUpdate from './tablesupdate.js';

/** The fetched value, or why there is none. */
export type Fetched<T> =
  | {readonly type: 'fetched'; readonly value: T}
  | {readonly type: 'failed'; readonly detail: string};

/** Fetches from other routers. */
export interface StateSource {
  /** Fetches the tables of the router at the address, if they are newer. */
  fetchTables(
    address: string,
    request: tablesUpdate.TablesRequest,
    signal: AbortSignal,
  ): Promise<Fetched<tablesUpdate.TablesUpdate>>;
  /** Fetches the state of the router at the address. */
  fetchState(
    address: string,
    signal: AbortSignal,
  ): Promise<Fetched<routerState.RouterState>>;
}

/** The contract under which the source of state is registered. */
export const STATE_SOURCE = core.contract<StateSource>('state-source', [
  'fetchTables',
  'fetchState',
]);

/** Fetches over HTTP. */
export class HttpStateSource implements StateSource {
  constructor(private readonly routerSettings: settings.Settings) {}

  fetchTables(
    address: string,
    {version, summary}: tablesUpdate.TablesRequest,
    signal: AbortSignal,
  ): Promise<Fetched<tablesUpdate.TablesUpdate>> {
    const path = tablesUpdate.tablesUrl(version);
    const schema = tablesUpdate.tablesUpdateSchema;
    return this.fetch({address, path, signal, body: summary}, schema);
  }

  fetchState(
    address: string,
    signal: AbortSignal,
  ): Promise<Fetched<routerState.RouterState>> {
    const path = routerState.STATE_PATH;
    return this.fetch({address, path, signal}, routerState.stateSchema);
  }

  private async fetch<T>(
    options: Omit<jsonFetch.FetchOptions, 'port'>,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<Fetched<T>> {
    const port = this.routerSettings.peerPort;
    const result = await jsonFetch.fetchJson({...options, port});
    if (result.type === 'failed') return result;
    const parsed = v.safeParse(schema, result.value);
    if (parsed.success) return {type: 'fetched', value: parsed.output};
    return {type: 'failed', detail: 'the response has an unexpected format'};
  }
}
