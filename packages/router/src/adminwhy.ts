/** Where a request went and why, whichever routers served it. */
import * as core from '@oleanderrock/core';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as survey from './survey.js';
import * as trails from './trails.js';

/** Merges the steps of all routers by time. */
export class WhyResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    const [requestId, ...rest] = ask.path;
    if (!requestId || rest.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await survey.survey<readonly trails.Step[]>(this.kernel, {
      own: () => this.kernel.find(trails.TRAILS).find(requestId),
      ask: router => calls.steps(router, requestId),
    });
    const steps = reports
      .flatMap(({result}) => (result.ok ? result.value : []))
      .sort((left, right) => left.at_ms - right.at_ms);
    const silent = survey.silent(reports);
    if (steps.length === 0) return notKnown(requestId, silent);
    return resource.reply({request_id: requestId, steps, silent});
  }
}

function notKnown(requestId: string, silent: readonly string[]) {
  const unheard = silent.length > 0 ? `; not heard: ${silent.join(', ')}` : '';
  const detail = `no router remembers request ${requestId}${unheard}`;
  return core.fail('not_found', detail);
}
