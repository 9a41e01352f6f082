/** Address look-up: which routers a caller should use for a chat or a key. */
import * as core from '@oleanderrock/core';
import * as requestHandler from './requesthandler.js';
import * as resource from './resource.js';
import * as settings from './settings.js';

/** Returns the same addresses as `/where` on the entry port. */
export class WhereResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    return Promise.resolve(this.findAddresses(request));
  }

  private findAddresses(
    request: resource.AdminRequest,
  ): core.Result<resource.AdminReply> {
    if (request.segments.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const path = request.query.get('path');
    if (!path?.startsWith('/')) {
      const detail =
        'path: give ?path=/..., and chat or key where the call has one';
      return core.fail('bad_request', detail);
    }
    const addresses = this.kernel
      .find(requestHandler.REQUEST_HANDLER)
      .findRouters({
        path,
        chat: request.query.get('chat') ?? undefined,
        key: request.query.get('key') ?? undefined,
        method: request.query.get('method') ?? undefined,
      });
    if (!addresses.ok) return addresses;
    return resource.reply({
      addresses: addresses.value,
      keep_ms: this.kernel.find(settings.SETTINGS_SERVICE).get().whereKeepMs,
    });
  }
}
