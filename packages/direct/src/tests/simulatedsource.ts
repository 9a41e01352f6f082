/** Test support: what the routers of a simulated fleet fetch from each other. */
import type * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as direct from '../index.js';
import * as tablesDifference from '../tablesdifference.js';
import * as simulatedTransfers from './simulatedtransfers.js';
import type * as virtualClock from './virtualclock.js';

/** Time of a fetch where transfers cost nothing else, in ms. */
const FETCH_MS = 4;

/** A router that fetches from others and serves them. */
export interface SourceRouter extends simulatedTransfers.TransferPeer {
  readonly kernel: core.Kernel;
  readonly isCut: boolean;
  /** The updates that it serves, kept as the product keeps them. */
  updates:
    | direct.tablesUpdate.KeptUpdates<direct.tablesUpdate.TablesUpdate>
    | undefined;
}

/** Fetches over the simulated network. */
export class SimulatedStateSource implements direct.StateSource {
  constructor(
    private readonly router: SourceRouter,
    private readonly network: {
      readonly clock: virtualClock.VirtualClock;
      readonly transfers: simulatedTransfers.Transfers | undefined;
      readonly find: (address: string) => SourceRouter | undefined;
      readonly onStateFetch: () => void;
    },
  ) {
    router.updates = new direct.tablesUpdate.KeptUpdates(
      router.kernel,
      update => update,
    );
  }

  fetchTables(
    address: string,
    request: direct.tablesUpdate.TablesRequest,
  ): Promise<direct.Fetched<direct.tablesUpdate.TablesUpdate>> {
    const collect = (peer: SourceRouter) =>
      simulatedTransfers.servedUpdate(updateOf(peer, request));
    return this.fetch(address, collect, request.summary?.length);
  }

  fetchState(
    address: string,
  ): Promise<direct.Fetched<direct.routerState.RouterState>> {
    return this.fetch(address, ({kernel}) => {
      this.network.onStateFetch();
      const value = direct.routerState.collect(kernel);
      return {value, parts: [value]};
    });
  }

  /** What a router serves, as another would fetch it over HTTP. */
  private async fetch<T>(
    address: string,
    collect: (peer: SourceRouter) => simulatedTransfers.Served<T>,
    requestBytes = 0,
  ): Promise<direct.Fetched<T>> {
    const {router} = this;
    const {clock, transfers, find} = this.network;
    const peer = find(address);
    if (transfers) {
      const sender = peer?.isCut || router.isCut ? undefined : peer;
      const collectFrom = () => collect(sender!);
      return transfers.fetch(router, sender, collectFrom, requestBytes);
    }
    await clock.sleep(FETCH_MS);
    if (!peer?.isRunning || peer.isCut || router.isCut) {
      return {type: 'failed', detail: 'no connection'};
    }
    return {type: 'fetched', value: collect(peer).value};
  }
}

function updateOf(
  {updates}: SourceRouter,
  {version, summary}: direct.tablesUpdate.TablesRequest,
): direct.tablesUpdate.TablesUpdate {
  if (!summary) return updates!.encode(version);
  const hashes = v.parse(tablesDifference.summarySchema, summary);
  return updates!.encodeDifference(version, hashes);
}
