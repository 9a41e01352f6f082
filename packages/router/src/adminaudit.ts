/** The audit log: who edited what and when, with the verdict and its reason. */
import * as core from '@oleanderrock/core';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const LIMIT_PARAMETER = {fallback: 50, min: 1, max: 500};

/**
 * Lists the newest verdicts on edits. Every router reaches the same ones, since
 * all replay the same log.
 */
export class AuditResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    return Promise.resolve(this.listVerdicts(request));
  }

  private listVerdicts(
    request: resource.AdminRequest,
  ): core.Result<resource.AdminReply> {
    if (request.segments.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const limit = resource.readNumberParameter(
      request,
      'limit',
      LIMIT_PARAMETER,
    );
    if (!limit.ok) return limit;
    const config = this.kernel.find(configuration.CONFIGURATION);
    const newest = [...config.verdicts()].reverse().slice(0, limit.value);
    return resource.reply({verdicts: newest});
  }
}
