/** The routers to use for a chat or a key, as callers are told. */
import * as core from '@oleanderrock/core';
import * as gate from './gate.js';
import * as resource from './resource.js';
import * as settings from './settings.js';

/** Tells the same addresses as `where` on the callers' port. */
export class WhereResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    return Promise.resolve(this.find(ask));
  }

  private find(ask: resource.Ask): core.Result<resource.Reply> {
    if (ask.path.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const path = ask.query.get('path');
    if (!path?.startsWith('/')) {
      const detail = 'path: where needs ?path=/..., and chat or key';
      return core.fail('bad_request', detail);
    }
    const addresses = this.kernel.find(gate.GATE).where({
      path,
      chat: ask.query.get('chat') ?? undefined,
      key: ask.query.get('key') ?? undefined,
      method: ask.query.get('method') ?? undefined,
    });
    if (!addresses.ok) return addresses;
    return resource.reply({
      addresses: addresses.value,
      keep_ms: this.kernel.find(settings.SETTINGS_SERVICE).get().whereKeepMs,
    });
  }
}
