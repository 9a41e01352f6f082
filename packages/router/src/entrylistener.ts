/**
 * The HTTP listener for callers: requests by route, `/where`, health, readiness
 * and metrics.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as drain from './drain.js';
import type * as exchange from './exchange.js';
import * as requestHandler from './requesthandler.js';
import * as httpAnswer from './httpanswer.js';
import * as listeningService from './listeningservice.js';
import type * as settings from './settings.js';

const HEADER_VALUE_PATTERN = /^[\x21-\x7e]{1,128}$/;
const ANONYMOUS_CUSTOMER = 'anonymous';

/** Listener for the requests of callers. */
export interface EntryListener {
  port(): number;
  /** Closes each connection after its next answer. */
  disableKeepAlive(): void;
  /** Accepts no more connections and waits until the open ones have ended. */
  drain(timeoutMs: number): Promise<void>;
}

/** The contract under which the listener is registered. */
export const ENTRY_LISTENER = core.contract<EntryListener>('entry', [
  'port',
  'disableKeepAlive',
]);

/** The HTTP listener for callers. */
export class HttpEntryListener
  extends listeningService.ListeningService
  implements EntryListener
{
  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, {
      name: 'entry',
      port: routerSettings.entryPort,
      maxHeaderBytes: routerSettings.maxHeaderBytes,
      keepAliveMs: routerSettings.keepAliveMs,
    });
  }

  disableKeepAlive(): void {
    this.listener.disableKeepAlive();
  }

  drain(timeoutMs: number): Promise<void> {
    return this.listener.drain(timeoutMs);
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const [path = ''] = (call.request.url ?? '').split('?');
    if (path === '/where') return this.serveWhere(call);
    if (path === '/health') {
      return core.listener.sendJson(call.response, 200, {});
    }
    if (path === '/ready') return this.serveReady(call);
    if (path === '/metrics') {
      const metrics = this.kernel.find(core.METRICS);
      return core.responses.sendMetrics(call.response, metrics);
    }
    return this.serveRequest(call);
  }

  private serveWhere({request, response}: core.listener.Call): void {
    const {searchParams: query} = new URL(request.url ?? '', 'http://router');
    const path = query.get('path');
    const id = core.createId();
    if (!path?.startsWith('/')) {
      const detail =
        '/where needs ?path=/..., and accepts chat, key and method';
      core.listener.sendProblem(response, {kind: 'bad_request', detail}, id);
      return;
    }
    const addresses = this.kernel
      .find(requestHandler.REQUEST_HANDLER)
      .findRouters({
        path,
        chat: query.get('chat') ?? undefined,
        key: query.get('key') ?? undefined,
        method: query.get('method') ?? undefined,
      });
    if (!addresses.ok) {
      core.listener.sendProblem(response, addresses.failure, id);
      return;
    }
    core.listener.sendJson(response, 200, {
      addresses: addresses.value,
      keep_ms: this.routerSettings.whereKeepMs,
    });
  }

  private serveReady({response}: core.listener.Call): void {
    const readiness = this.kernel
      .find(requestHandler.REQUEST_HANDLER)
      .readiness();
    if (!readiness.ok) {
      core.listener.sendProblem(response, readiness.failure, core.createId());
    } else if (this.kernel.find(drain.DRAIN).isDraining()) {
      const detail = 'the router is shutting down';
      core.listener.sendProblem(response, {kind: 'draining', detail}, '');
    } else {
      core.listener.sendJson(response, 200, {});
    }
  }

  private async serveRequest(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    const id = core.createId();
    const answer = new httpAnswer.HttpAnswer(response, {
      requestId: id,
      isForPeer: false,
    });
    const fault = findHeaderFault(request);
    if (fault) {
      answer.refuse({kind: 'bad_request', detail: fault});
      return;
    }
    const body = await core.listener.readBody(
      request,
      this.routerSettings.maxBodyBytes,
    );
    if (!body.ok) {
      answer.refuse(body.failure);
      return;
    }
    const routerRequest = toRouterRequest(request, id, body.value);
    await this.kernel
      .find(requestHandler.REQUEST_HANDLER)
      .serve(routerRequest, answer);
  }
}

/** What is wrong with the caller's headers, if anything. */
function findHeaderFault(request: http.IncomingMessage): string | undefined {
  const checkedHeaders = [
    core.headers.CUSTOMER,
    core.headers.CHAT,
    core.headers.IDEMPOTENCY_KEY,
  ];
  for (const name of checkedHeaders) {
    const value = request.headers[name];
    if (value === undefined) continue;
    if (typeof value !== 'string' || !HEADER_VALUE_PATTERN.test(value)) {
      return `${name} must be 1 to 128 printable characters without spaces`;
    }
  }
  return undefined;
}

function toRouterRequest(
  request: http.IncomingMessage,
  id: string,
  body: Buffer,
): exchange.RouterRequest {
  const header = (name: string) => request.headers[name] as string | undefined;
  return {
    id,
    customer: header(core.headers.CUSTOMER) ?? ANONYMOUS_CUSTOMER,
    chat: header(core.headers.CHAT),
    // UUIDs are case-insensitive: both spellings must map to the same stream.
    key: header(core.headers.IDEMPOTENCY_KEY)?.toLowerCase(),
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: httpAnswer.forwardedHeaders(request.headers),
    body,
    hops: 0,
  };
}
