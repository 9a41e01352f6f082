/** The audit: who changed what and when, accepted or refused, and why. */
import * as core from '@oleanderrock/core';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const LIMIT = {fallback: 50, min: 1, max: 500};

/** Tells the newest verdicts, as every reader of the log reaches them. */
export class AuditResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    return Promise.resolve(this.list(ask));
  }

  private list(ask: resource.Ask): core.Result<resource.Reply> {
    if (ask.path.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const limit = resource.readNumber(ask, 'limit', LIMIT);
    if (!limit.ok) return limit;
    const config = this.kernel.find(configuration.CONFIGURATION);
    const newest = [...config.verdicts()].reverse().slice(0, limit.value);
    return resource.reply({verdicts: newest});
  }
}
