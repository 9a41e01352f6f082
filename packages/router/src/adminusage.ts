/** Usage by customer, route and pool, summed over all routers. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as survey from './survey.js';
import * as usage from './usage.js';

const MAX_LIMIT = 1_000;
const LIMIT = {fallback: 50, min: 1, max: MAX_LIMIT};

/** Sums what the routers counted since their starts. */
export class UsageResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    if (ask.path.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const limit = resource.readNumber(ask, 'limit', LIMIT);
    if (!limit.ok) return limit;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await survey.survey<readonly decide.Usage[]>(this.kernel, {
      own: () => this.kernel.find(usage.USAGE).totals(MAX_LIMIT),
      ask: router => calls.usage(router, MAX_LIMIT),
    });
    const rows = reports.flatMap(({result}) => (result.ok ? result.value : []));
    return resource.reply({
      usage: add(rows).slice(0, limit.value),
      silent: survey.silent(reports),
    });
  }
}

function add(rows: readonly decide.Usage[]): readonly decide.Usage[] {
  const sums = new Map<string, decide.Usage>();
  for (const row of rows) {
    const key = JSON.stringify([row.customer, row.route, row.pool]);
    const old = sums.get(key) ?? {requests: 0, tokens: 0};
    const requests = old.requests + row.requests;
    const tokens = old.tokens + row.tokens;
    sums.set(key, {...row, requests, tokens});
  }
  return [...sums.values()].sort(
    (left, right) =>
      right.tokens - left.tokens || right.requests - left.requests,
  );
}
