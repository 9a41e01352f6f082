/**
 * The listener for other routers: passed-on requests, and tRPC calls. It
 * admits only holders of the peers' secret.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as trpcHttp from '@trpc/server/adapters/node-http';
import * as drain from './drain.js';
import type * as exchange from './exchange.js';
import * as gate from './gate.js';
import * as httpAnswer from './httpanswer.js';
import * as listening from './listening.js';
import * as passer from './passer.js';
import * as peerApi from './peerapi.js';
import * as peerCalls from './peercalls.js';
import type * as settings from './settings.js';
import * as suspects from './suspects.js';

const MAX_HOPS = 2;

/** The listener for other routers. */
export interface PeerServer {
  port(): number;
}

/** The contract under which the listener is registered. */
export const PEER_SERVER = core.contract<PeerServer>('peer-server', ['port']);

/** Listener over HTTP. */
export class HttpPeerServer
  extends listening.ListeningService
  implements PeerServer
{
  constructor(kernel: core.Kernel, own: settings.Settings) {
    super(kernel, own, {
      name: 'peer',
      port: own.peerPort,
      maxHeaderBytes: 2 * own.maxHeaderBytes,
    });
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    const token = request.headers[passer.PEER_TOKEN];
    if (!core.equalSecrets(String(token ?? ''), this.own.peerToken)) {
      const detail = 'only routers of this fleet connect here';
      core.listener.sendProblem(response, {kind: 'unauthorized', detail}, '');
      return;
    }
    const path = request.url ?? '';
    if (path.startsWith(`${peerCalls.TRPC_PREFIX}/`)) {
      await this.answerCall(call, path);
      return;
    }
    if (path.startsWith(`${passer.PASS_PREFIX}/`)) {
      await this.servePass(call, path.slice(passer.PASS_PREFIX.length));
      return;
    }
    core.listener.sendProblem(response, {kind: 'not_found', detail: path}, '');
  }

  private async answerCall(
    call: core.listener.Call,
    path: string,
  ): Promise<void> {
    const prefix = `${peerCalls.TRPC_PREFIX}/`;
    await trpcHttp.nodeHTTPRequestHandler({
      req: call.request,
      res: call.response,
      path: path.slice(prefix.length).split('?')[0] ?? '',
      router: peerApi.peerRouter,
      createContext: () => ({kernel: this.kernel}),
      maxBodySize: this.own.maxBodyBytes,
    });
  }

  private async servePass(
    call: core.listener.Call,
    path: string,
  ): Promise<void> {
    const {request, response} = call;
    response.writeProcessing();
    const id = String(request.headers[core.headers.REQUEST_ID] ?? '');
    let passed: exchange.RouterRequest | undefined = undefined;
    const answer = new httpAnswer.HttpAnswer(response, {
      requestId: id,
      isPeer: true,
      marks: () => (passed ? suspects.mark(this.kernel, passed) : {}),
    });
    if (this.kernel.find(drain.DRAIN).isDraining()) {
      response.setHeader('connection', 'close');
      answer.refuse({kind: 'draining', detail: 'the router is shutting down'});
      return;
    }
    const body = await core.listener.readBody(request, this.own.maxBodyBytes);
    if (!body.ok) {
      answer.refuse(body.failure);
      return;
    }
    suspects.heed(this.kernel, request.headers[suspects.SUSPICION]);
    passed = readPass(request, path, body.value);
    if (passed.hops > MAX_HOPS) {
      const detail = `passed on ${passed.hops} times`;
      answer.refuse({kind: 'hop_limit', detail});
      return;
    }
    await this.kernel.find(gate.GATE).serve(passed, answer);
  }
}

function readPass(
  request: http.IncomingMessage,
  path: string,
  body: Buffer,
): exchange.RouterRequest {
  const text = (name: string) => {
    const value = request.headers[name];
    return typeof value === 'string' ? value : undefined;
  };
  const hops = Number(text(core.headers.HOPS));
  return {
    id: text(core.headers.REQUEST_ID) ?? '',
    customer: text(core.headers.CUSTOMER) ?? '',
    chat: text(core.headers.CHAT),
    key: text(core.headers.IDEMPOTENCY_KEY),
    method: request.method ?? 'GET',
    path,
    headers: httpAnswer.forwarded(request.headers),
    body,
    hops: Number.isInteger(hops) && hops > 0 ? hops : MAX_HOPS + 1,
    target: text(core.headers.TARGET),
    last: text(core.headers.LAST),
    attempt: text(core.headers.ATTEMPT),
  };
}
