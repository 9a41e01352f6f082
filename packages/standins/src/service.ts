/**
 * A plain service's workload: each request that is not a GET counts as a run of
 * its idempotency key once it was read as a whole.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as control from './control.js';
import * as delay from './delay.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import type * as replies from './reply.js';

const orderSchema = v.object({nonce: v.optional(v.string(), '')});
const bodySchema = v.pipe(v.string(), v.parseJson(), orderSchema);

function readNonce(call: endpoint.Call): string {
  if (call.method === 'GET') return call.url.searchParams.get('nonce') ?? '';
  const order = v.safeParse(bodySchema, call.body);
  return order.success ? order.output.nonce : '';
}

/** Runs orders and answers lookups. */
export class Service implements endpoint.Workload {
  readonly queued = 0;
  private readonly clock: core.Clock;
  private readonly runs: endpoint.RunLog;
  private readonly faults: control.Faults<endpointFaults.EndpointFaults>;

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.runs = kernel.find(endpoint.RUN_LOG);
    this.faults = kernel.find(endpointFaults.ENDPOINT_FAULTS);
  }

  async run(call: endpoint.Call): Promise<void> {
    const nonce = readNonce(call);
    const run = this.runs.begin(call);
    let delivery: replies.Delivery = 'cut';
    try {
      if (call.method !== 'GET') await this.work(call);
      delivery = await call.reply.json(200, {key: call.key, run, nonce});
    } finally {
      this.runs.end(delivery);
    }
  }

  page(): undefined {
    return undefined;
  }

  stats(): object {
    return {};
  }

  private work(call: endpoint.Call): Promise<void> {
    const workMs = this.faults.now.work_ms;
    return delay.pause(this.clock, workMs, call.reply.signal);
  }
}
