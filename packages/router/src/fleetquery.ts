/** Sends the same query to every router and collects the results. */
import * as core from '@oleanderrock/core';
import * as fleet from './fleet.js';

/** Maximum number of concurrent calls, to bound the load on a large fleet. */
const MAX_CONCURRENT_CALLS = 64;

/** One router's result, or the failure of the call to it. */
export interface RouterReport<T> {
  readonly router: string;
  readonly result: core.Result<T>;
}

/** How to read a value at this router, and how to call another one for it. */
export interface RouterQuery<T> {
  readLocal(): T;
  callRemote(router: string): Promise<core.Result<T>>;
}

/** Queries all listed routers; the reports are sorted by router name. */
export async function queryRouters<T>(
  kernel: core.Kernel,
  query: RouterQuery<T>,
): Promise<ReadonlyArray<RouterReport<T>>> {
  const fleetView = kernel.find(fleet.FLEET);
  const self = fleetView.self();
  const remaining = fleetView.peers().map(peer => peer.name);
  const reports: Array<RouterReport<T>> = [
    {router: self, result: core.succeed(query.readLocal())},
  ];
  const runWorker = async () => {
    for (let router = remaining.pop(); router; router = remaining.pop()) {
      reports.push({router, result: await query.callRemote(router)});
    }
  };
  const workerCount = Math.min(MAX_CONCURRENT_CALLS, remaining.length);
  await Promise.all(Array.from({length: workerCount}, runWorker));
  return reports.sort((left, right) => left.router.localeCompare(right.router));
}

/** Names of the routers whose call failed. */
export function unansweredRouters(
  reports: ReadonlyArray<RouterReport<unknown>>,
): readonly string[] {
  return reports.filter(item => !item.result.ok).map(item => item.router);
}
