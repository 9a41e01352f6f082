/**
 * Workload of a plain service. A request counts as a run of its idempotency key
 * once its body has been read completely.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as control from './control.js';
import * as delay from './delay.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import type * as replies from './reply.js';

const requestSchema = v.object({nonce: v.optional(v.string(), '')});
const bodySchema = v.pipe(v.string(), v.parseJson(), requestSchema);

function readNonce(call: endpoint.Call): string {
  if (call.method === 'GET') return call.url.searchParams.get('nonce') ?? '';
  const parsed = v.safeParse(bodySchema, call.body);
  return parsed.success ? parsed.output.nonce : '';
}

/**
 * Runs each request for `work_ms`, a GET without delay, and answers with its
 * idempotency key, run number and nonce.
 */
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
    const run = this.runs.noteStart(call);
    let delivery: replies.Delivery = 'cut';
    try {
      if (call.method !== 'GET') await this.delayRun(call);
      delivery = await call.reply.sendJson(200, {key: call.key, run, nonce});
    } finally {
      this.runs.noteEnd(delivery);
    }
  }

  getResource(): undefined {
    return undefined;
  }

  stats(): object {
    return {};
  }

  private delayRun(call: endpoint.Call): Promise<void> {
    const workMs = this.faults.current.work_ms;
    return delay.pause(this.clock, workMs, call.reply.abortSignal);
  }
}
