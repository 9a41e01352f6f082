/** Request trace: where a request was sent and why, across all routers. */
import * as core from '@oleanderrock/core';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as fleetQuery from './fleetquery.js';
import * as requestTraces from './requesttraces.js';

/** Merges the trace steps of all routers, ordered by time. */
export class WhyResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    const [requestId, ...rest] = request.segments;
    if (!requestId || rest.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await fleetQuery.queryRouters<
      readonly requestTraces.Step[]
    >(this.kernel, {
      readLocal: () =>
        this.kernel.find(requestTraces.REQUEST_TRACES).find(requestId),
      callRemote: router => calls.steps(router, requestId),
    });
    const steps = reports
      .flatMap(({result}) => (result.ok ? result.value : []))
      .sort((left, right) => left.at_ms - right.at_ms);
    const unanswered = fleetQuery.unansweredRouters(reports);
    if (steps.length === 0) return requestNotFound(requestId, unanswered);
    return resource.reply({request_id: requestId, steps, silent: unanswered});
  }
}

function requestNotFound(requestId: string, unanswered: readonly string[]) {
  const suffix =
    unanswered.length > 0 ? `; no answer from: ${unanswered.join(', ')}` : '';
  const detail = `no router has a trace of request ${requestId}${suffix}`;
  return core.fail('not_found', detail);
}
