/** Usage by customer, route and pool, summed over all routers. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as fleetQuery from './fleetquery.js';
import * as usage from './usage.js';

const MAX_LIMIT = 1_000;
const LIMIT_PARAMETER = {fallback: 50, min: 1, max: MAX_LIMIT};

/** Sums the usage that each router has counted since it started. */
export class UsageResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    if (request.segments.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const limit = resource.readNumberParameter(
      request,
      'limit',
      LIMIT_PARAMETER,
    );
    if (!limit.ok) return limit;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await fleetQuery.queryRouters<readonly decide.Usage[]>(
      this.kernel,
      {
        readLocal: () => this.kernel.find(usage.USAGE).totals(MAX_LIMIT),
        callRemote: router => calls.usage(router, MAX_LIMIT),
      },
    );
    const rows = reports.flatMap(({result}) => (result.ok ? result.value : []));
    return resource.reply({
      usage: sumUsage(rows).slice(0, limit.value),
      silent: fleetQuery.unansweredRouters(reports),
    });
  }
}

function sumUsage(rows: readonly decide.Usage[]): readonly decide.Usage[] {
  const sums = new Map<string, decide.Usage>();
  for (const row of rows) {
    const key = JSON.stringify([row.customer, row.route, row.pool]);
    const sum = sums.get(key) ?? {requests: 0, tokens: 0};
    const requests = sum.requests + row.requests;
    const tokens = sum.tokens + row.tokens;
    sums.set(key, {...row, requests, tokens});
  }
  return [...sums.values()].sort(
    (left, right) =>
      right.tokens - left.tokens || right.requests - left.requests,
  );
}
