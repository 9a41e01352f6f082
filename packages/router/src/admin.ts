/** The listener for operators: the administration interface, version 1. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as configuration from './configuration.js';
import * as listener from './listener.js';
import type * as settings from './settings.js';
import * as status from './status.js';

const PREFIX = '/admin/v1';

/** The listener for operators. */
export interface Admin {
  port(): number;
}

/** The contract under which the listener is registered. */
export const ADMIN = core.contract<Admin>('admin', ['port']);

const editBodySchema = v.object({
  operator: core.nameSchema,
  changes: v.pipe(v.array(core.changeSchema), v.minLength(1)),
});

/** Listener over HTTP. */
export class HttpAdmin implements Admin, core.Lifecycle {
  private readonly listener: listener.Listener;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.listener = new listener.Listener({
      name: 'admin',
      host: own.host,
      port: own.adminPort,
      maxHeaderBytes: own.maxHeaderBytes,
      requestTimeoutMs: own.requestTimeoutMs,
      log: kernel.find(core.LOGGER),
      serve: call => this.serve(call),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  port(): number {
    return this.listener.port;
  }

  private async serve(call: listener.Call): Promise<void> {
    const {request, response} = call;
    const id = core.createId();
    const given = String(request.headers.authorization ?? '');
    if (!core.equalSecrets(given, `Bearer ${this.own.adminToken}`)) {
      const detail = 'send Authorization: Bearer with the admin token';
      listener.sendProblem(response, {kind: 'unauthorized', detail}, id);
      return;
    }
    const [path] = (request.url ?? '').split('?');
    if (path === `${PREFIX}/edits` && request.method === 'POST') {
      return this.submit(call, id);
    }
    if (path === `${PREFIX}/tables`) {
      const config = this.kernel.find(configuration.CONFIGURATION);
      return listener.sendJson(response, 200, config.tables());
    }
    if (path === `${PREFIX}/status`) {
      const own = this.kernel.find(status.STATUS).describe();
      return listener.sendJson(response, 200, own);
    }
    const detail = `${request.method} ${path}`;
    listener.sendProblem(response, {kind: 'not_found', detail}, id);
  }

  private async submit(call: listener.Call, id: string): Promise<void> {
    const {request, response} = call;
    const body = await listener.readBody(request, this.own.maxBodyBytes);
    if (!body.ok) return listener.sendProblem(response, body.failure, id);
    const parsed = v.safeParse(editBodySchema, parse(body.value));
    if (!parsed.success) {
      const detail = parsed.issues[0].message;
      listener.sendProblem(response, {kind: 'bad_request', detail}, id);
      return;
    }
    const config = this.kernel.find(configuration.CONFIGURATION);
    const verdict = await config.submit({
      type: 'edit',
      edit_id: id,
      at_ms: this.kernel.find(core.CLOCK).wallMs(),
      ...parsed.output,
    });
    if (verdict.ok) listener.sendJson(response, 200, verdict.value);
    else listener.sendProblem(response, verdict.failure, id);
  }
}

function parse(raw: Buffer): unknown {
  try {
    return JSON.parse(raw.toString('utf8'));
  } catch {
    return undefined;
  }
}
